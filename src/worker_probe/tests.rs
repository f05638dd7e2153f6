//! Tests of the order of probes, their batches, and the fencing token that each carries.

use super::*;
use crate::clock::SECOND;

fn heartbeat(number: usize, tasks: &str) -> String {
    format!(
        r#"{{"host":"m-{number:06}","addr":"10.1.0.{}:9000","stint":2,"tally":7,"baton":1,"parts":[{tasks}]}}"#,
        number + 1
    )
}

/// Sends and answers all pending probes; returns their destinations and bodies, and the time afterwards.
fn send_all(probe: &mut WorkerProbe) -> (Vec<(SocketAddr, String)>, Micros) {
    let (mut tickets, mut sent, mut now) = (0, Vec::new(), 2 * SECOND);
    while probe.wake_at().is_some() {
        let mut outputs = Vec::new();
        probe.tick(now, 0, &mut tickets, &mut outputs);
        assert!(outputs.len() <= 4);
        for output in outputs {
            let Output::Call {
                ticket, dest, body, ..
            } = output
            else {
                panic!("a probe must be a call")
            };
            assert!(probe.finish_probe(ticket) && !probe.finish_probe(ticket));
            sent.push((dest, String::from_utf8(body).expect("UTF-8")));
        }
        now += BATCH_INTERVAL;
    }
    (sent, now)
}

#[test]
fn assigned_workers_are_probed_with_their_own_token_after_known_workers() {
    let mut probe = WorkerProbe::default();
    probe.note_heartbeat(SECOND, heartbeat(0, "").as_bytes());
    probe.begin_term(2 * SECOND, 3, 3 << 24, SECOND);
    let address = |number: usize| -> SocketAddr {
        let text = format!("10.1.0.{}:9000", number + 1);
        text.parse().expect("an address")
    };
    let rows: Vec<ProbeRow> = (0..30)
        .filter_map(|n| ProbeRow::new((3 << 24) + 5, &format!("m-{n:06}"), address(n)))
        .collect();
    assert_eq!(rows.len(), 30);
    probe.assign(2 * SECOND, &rows);
    let sent = send_all(&mut probe).0.into_iter().map(|(dest, body)| {
        let body: Commands = serde_json::from_str(&body).expect("commands");
        (dest, body.fencing_token & 0xff, body.agent_epoch)
    });
    let sent: Vec<_> = sent.collect();
    assert_eq!(
        sent[0],
        (address(0), 0, Some(2)),
        "a worker known by its heartbeat"
    );
    assert_eq!(sent[1], (address(0), 5, Some(2)), "an assigned worker");
    assert_eq!(
        sent[30],
        (address(29), 5, Some(1)),
        "an assigned worker with an unknown agent epoch"
    );
    assert_eq!(sent.len(), 31);
    assert!(ProbeRow::new(1, "a name of more than 24 letters", address(1)).is_none());
}

#[test]
fn workers_are_probed_once_per_term_in_batches_and_idle_ones_first() {
    let mut probe = WorkerProbe::default();
    let running = r#"{"part":"wk-1/0","try":1,"status":"running"}"#;
    for n in 0..60 {
        let tasks = if n < 40 { running } else { "" };
        probe.note_heartbeat(SECOND, heartbeat(n, tasks).as_bytes());
    }
    probe.note_heartbeat(0, heartbeat(99, "").as_bytes());
    assert!(probe.begin_term(2 * SECOND, 3, 3 << 24, SECOND));
    assert!(!probe.begin_term(2 * SECOND, 3, 3 << 24, SECOND));
    let (sent, now) = send_all(&mut probe);
    let expected = r#"{"baton":50331648,"stint":2,"orders":[]}"#;
    assert!(sent.iter().all(|(_, body)| body == expected));
    assert_eq!(
        sent.len(),
        60,
        "the worker whose heartbeat is too old is not probed"
    );
    assert!(now < 4 * SECOND);
    let last_running: SocketAddr = "10.1.0.40:9000".parse().expect("an address");
    let idle = |(dest, _): &(SocketAddr, String)| *dest > last_running;
    assert!(sent[..20].iter().all(idle));
    // A controller whose inputs wait for too long sends no probes.
    probe.begin_term(now, 4, 4 << 24, 0);
    let mut outputs = Vec::new();
    probe.tick(now, SECOND, &mut 0, &mut outputs);
    assert!(outputs.is_empty() && probe.wake_at().is_some());
}
