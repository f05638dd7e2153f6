//! Tests of the order in which the state client sends requests under a limited budget.

use super::*;
use crate::messages::Outcome;

/// Guards against starvation of the leader's own writes while clients submit continuously at the leader's node.
/// Clients' writes have the higher priority; both kinds must get through.
#[test]
fn endless_client_writes_do_not_starve_the_leader() {
    let addr = "10.2.0.1:2379".parse().expect("an address");
    let mut client: StateClient<&'static str> = StateClient::new(addr, 70.0, 25.0, 3);
    client.set_is_leader(true);
    let write = |changes: usize| {
        let transaction = (0..changes).fold(Transaction::default(), |transaction, n| {
            transaction.set(format!("k/{n}"), &n)
        });
        Op::Transaction(transaction)
    };
    let (mut last_ticket, mut sent) = (0, Vec::new());
    let mut by_leader = 0;
    for n in 0..500 {
        let now = SECOND + n * 20 * MILLISECOND;
        client.submit(
            now,
            "user",
            RequestPriority::Client,
            write(2),
            200 * MILLISECOND,
        );
        if client.queued(RequestPriority::Leader) == 0 {
            client.submit(now, "leader", RequestPriority::Leader, write(12), SECOND);
        }
        let mut outputs = Vec::new();
        client.send_queued(now, &mut last_ticket, &mut outputs);
        for output in outputs {
            let Output::Call { ticket, .. } = output else {
                continue;
            };
            let applied = Outcome::Reply {
                status: 200,
                body: br#"{"epoch": 7}"#.to_vec(),
            };
            let answered = client.handle_outcome(now, ticket, &applied);
            let (purpose, _, _) = answered.expect("an answer");
            by_leader += usize::from(purpose == "leader");
            sent.push(purpose);
        }
    }
    // Ten seconds at 20 changes per second, plus the initial budget and the credit.
    assert!(
        (5..=15).contains(&by_leader),
        "{by_leader} leader writes sent"
    );
    let by_clients = sent.len() - by_leader;
    assert!(by_clients >= 25, "{by_clients} client writes sent");
    assert!(
        by_clients * 2 + by_leader * 12 <= 245,
        "writes exceed the budget"
    );
}
