//! Chart of a run: what the cores were used for, how many tasks of each class waited, and which controller led.

use crate::outcome::Outcome;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Draws the chart of a run as SVG into a file.
pub fn draw(outcome: &Outcome, path: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (1100, 900)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!(
        "{}, seed {} (simulated machines)",
        outcome.day, outcome.seed
    );
    let area = area.titled(&title, ("sans-serif", 22))?;
    let (cores, rest) = area.split_vertically(400);
    let (queue, leader) = rest.split_vertically(320);
    let samples = &outcome.samples;
    let end = samples.last().map_or(1.0, |s| s.at as f64 / 1e6);

    type Layer = (&'static str, RGBColor, fn(&crate::outcome::Sample) -> f64);
    let layers: [Layer; 4] = [
        ("running", RGBColor(60, 120, 180), |s| s.running),
        ("fetching", RGBColor(120, 190, 220), |s| s.fetching),
        ("held", RGBColor(220, 120, 80), |s| s.held),
        ("idle", RGBColor(215, 215, 215), |s| s.idle),
    ];
    let total_cores = |s: &crate::outcome::Sample| s.running + s.fetching + s.held + s.idle;
    let maximum = samples.iter().map(total_cores).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&cores)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..maximum * 1.05)?;
    chart.configure_mesh().y_desc("cores").draw()?;
    // From the top of the stack downwards: each area is drawn over the one before, down to the axis.
    for (n, (name, color, _)) in layers.iter().enumerate().rev() {
        let stacked =
            |s: &crate::outcome::Sample| layers[..=n].iter().map(|p| (p.2)(s)).sum::<f64>();
        let line = samples.iter().map(|s| (s.at as f64 / 1e6, stacked(s)));
        let color = *color;
        chart
            .draw_series(AreaSeries::new(line, 0.0, color))?
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;

    let maximum = samples.iter().flat_map(|s| s.queue.iter()).max();
    let maximum = maximum.copied().unwrap_or(0).max(1) as f64;
    let mut chart = ChartBuilder::on(&queue)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..maximum * 1.05)?;
    chart.configure_mesh().y_desc("tasks waiting").draw()?;
    for (n, name) in outcome.class_names.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let line = samples
            .iter()
            .map(|s| (s.at as f64 / 1e6, s.queue[n] as f64));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()?;

    let nodes = outcome.controllers as f64;
    let mut chart = ChartBuilder::on(&leader)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..nodes)?;
    chart
        .configure_mesh()
        .y_desc("leader")
        .x_desc("s")
        .disable_mesh()
        .draw()?;
    chart.draw_series(samples.iter().filter_map(|s| {
        let (n, t) = (s.leader? as f64, s.at as f64 / 1e6);
        let color = Palette99::pick(n as usize).to_rgba();
        Some(Rectangle::new(
            [(t - 1.0, n + 0.1), (t, n + 0.9)],
            color.filled(),
        ))
    }))?;
    area.present()?;
    Ok(())
}
