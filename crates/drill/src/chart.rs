//! One picture of a day: where the cores were, what waited by class, who led.

use crate::outcome::Outcome;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Draws it as SVG into a file.
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

    type Part = (&'static str, RGBColor, fn(&crate::outcome::Sample) -> f64);
    let parts: [Part; 4] = [
        ("running", RGBColor(60, 120, 180), |s| s.running),
        ("fetching", RGBColor(120, 190, 220), |s| s.fetching),
        ("held", RGBColor(220, 120, 80), |s| s.held),
        ("idle", RGBColor(215, 215, 215), |s| s.idle),
    ];
    let all = |s: &crate::outcome::Sample| s.running + s.fetching + s.held + s.idle;
    let most = samples.iter().map(all).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&cores)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..most * 1.05)?;
    chart.configure_mesh().y_desc("cores").draw()?;
    // The last part first, from the top of the stack: each one covers what lies below it.
    for (n, (name, color, _)) in parts.iter().enumerate().rev() {
        let below = |s: &crate::outcome::Sample| parts[..=n].iter().map(|p| (p.2)(s)).sum::<f64>();
        let line = samples.iter().map(|s| (s.at as f64 / 1e6, below(s)));
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

    let most = samples.iter().flat_map(|s| s.queue.iter()).max();
    let most = most.copied().unwrap_or(0).max(1) as f64;
    let mut chart = ChartBuilder::on(&queue)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..most * 1.05)?;
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
        .y_desc("leads")
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
