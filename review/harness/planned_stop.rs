//! A planned stop of a node, while it waits for the answer to an order that is the first request of
//! its connection.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Setting, Verdict,
    deployment::{self, Node, Runs},
    http::{self, Seen},
    store::Store,
};

/// Deadline of the callers and timeout of the route.
const DEADLINE_MS: u64 = 8_000;
/// Time that a runner works on each order.
const WORK: Duration = Duration::from_millis(7_600);
/// Time from SIGTERM until the order is sent. The balancer takes a node out of rotation after two
/// misses of a check that it makes once a second.
const AFTER_STOP: Duration = Duration::from_millis(500);
/// Orders sent at the same time, each on a connection of its own.
const ORDERS: usize = 4;

pub fn play(setting: Setting<'_>) -> Verdict {
    let Setting { folder, record, trouble } = setting;
    let store = Store::open(deployment::listen(1));
    let route = "{\"name\":\"orders\",\"host\":\"shop.example\",\"prefix\":\"/orders/\",\
                 \"route_kind\":\"non_idempotent\",\"timeout_ms\":8000,\"slo_ms\":8000,\
                 \"priority\":1,\"service\":\"desk\",\"max_attempts\":1,\"public\":false}";
    store.put("op/config", &deployment::configuration(7, route, &["desk"]));
    let runs = Runs::default();
    let work: deployment::Work = Arc::new(|request, connection| {
        if request.body != b"warm-up" {
            deployment::work_for(WORK, connection)?;
        }
        deployment::complete(request, connection, "booked")
    });
    for (machine, id, zone) in [(21, "i-7f3a91c2", "zone-a"), (22, "i-02d9e6b4", "zone-b")] {
        deployment::start_runner(&store, machine, id, "desk", zone, &record, &runs, work.clone());
    }
    let mut nodes: Vec<Node> = [(11, "edge-1", "zone-a"), (12, "edge-2", "zone-b")]
        .into_iter()
        .map(|(machine, name, zone)| Node::start(folder, name, zone, machine, &store))
        .collect();
    if !deployment::wait_served(&nodes, "/orders/warm", "POST") {
        return Verdict::Failed("the nodes do not serve".to_owned());
    }
    if trouble {
        record.write(&format!("SIGTERM to {}", nodes[0].name));
        nodes[0].signal("TERM");
    }
    thread::sleep(AFTER_STOP);
    let front = nodes[0].front;
    let callers: Vec<_> = (0..ORDERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let attempt = format!("9c41d07be2a35f{number:02}");
                record.write(&format!("a caller sends order {attempt}"));
                let bytes =
                    deployment::request("POST", "/orders/2f", &attempt, DEADLINE_MS, "an order");
                let seen = http::call(front, &bytes, Duration::from_millis(DEADLINE_MS));
                record.write(&format!("the caller of order {attempt} sees: {seen}"));
                (attempt, seen)
            })
        })
        .collect();
    let seen: Vec<(String, Seen)> =
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect();
    if trouble {
        let ended = deployment::wait(Duration::from_secs(3), || nodes[0].ended().is_some());
        let how = nodes[0].ended().map_or("still runs".to_owned(), |status| status.to_string());
        record.write(&format!("{} after the stop: {how}", nodes[0].name));
        if !ended {
            record.write("the node had not ended when the last caller was answered");
        }
    }
    let mut broken = false;
    for (attempt, seen) in &seen {
        let runs = runs.of(attempt);
        let promised = matches!(seen.status(), Some(408 | 421 | 429 | 503));
        if promised && runs > 0 {
            broken = true;
            record.write(&format!(
                "order {attempt} was answered as not run ({seen}), but runners ran it {runs} times"
            ));
        }
    }
    if !trouble && seen.iter().any(|(_, seen)| seen.status() != Some(200)) {
        return Verdict::Failed("an order was not served without the disruption".to_owned());
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
