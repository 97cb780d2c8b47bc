//! The store is down, and the registrations of the nodes lapse before they are renewed. A runner that
//! is added, and cold, then gets from each node the requests that are meant for all nodes together.

#[path = "../stand/mod.rs"]
mod stand;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use stand::{Client, Node, Outcome, runner::Runner, store::Store};

const NODES: u8 = 6;
/// Length of the outage; the site file has up to 8 s.
const OUTAGE_S: f64 = 5.5;
/// `cold_start_s` and `cold_per_s` of the service.
const COLD: (f64, f64) = (3.0, 38.0);
/// `cold_overage` and `cold_slack` of the bounds.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

fn main() {
    stand::open_record();
    let bound = (COLD.1 * OVERAGE + SLACK) as usize;
    let store = Store::new();
    store.put("op/config", &stand::configuration(7, COLD));
    let runner = |n: usize| Runner::start(&store, &format!("i-runner-{n}"), "zone-1", stand::address(), 15);
    let _runners: Vec<Runner> = (0..4).map(runner).collect();
    let nodes: Vec<Node> = (0..NODES)
        .map(|n| {
            let address = stand::address();
            store.serve(address, Arc::default());
            stand::sleep_ms(50);
            Node::start(n, "zone-1", address, &[])
        })
        .collect();
    nodes.iter().for_each(Node::wait_ready);
    let outcomes: Arc<Mutex<BTreeMap<String, (f64, Outcome)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        for client in 0..9 {
            let (peer, outcomes, is_over) = (node.callers, Arc::clone(&outcomes), Arc::clone(&is_over));
            clients.push(thread::spawn(move || {
                let mut connection = Client::new(peer);
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("n{number}-{client}-{count}");
                    let at = stand::time();
                    let outcome = connection.call("POST", "/order/1", &id, "", b"", Duration::from_millis(1_000));
                    stand::record(&format!("{id} sent at {at:.3}: {outcome:?}"));
                    outcomes.lock().unwrap().insert(id, (at, outcome));
                    stand::sleep_ms(70);
                }
            }));
        }
    }
    // The nodes renew their registrations every 3 s. An outage that begins 1.5 s to 3 s after a renewal lasts
    // until the second one of the next renewals.
    stand::sleep_until(8.0);
    while !(Duration::from_millis(2_000)..Duration::from_millis(2_400)).contains(&store.since_renewal(5_000)) {
        stand::sleep_ms(10);
    }
    let down = stand::time();
    if stand::has_trouble() {
        store.set_down(true);
        stand::say("the store is down");
    }
    stand::sleep_until(down + OUTAGE_S);
    if stand::has_trouble() {
        store.set_down(false);
        stand::say("the store is back");
    }
    stand::sleep_until(down + OUTAGE_S + 1.5);
    let registered = store.keys("nodes/").len();
    stand::say(&format!("{registered} nodes are registered"));
    let cold = Runner::start_cold(&store, "i-runner-4", "zone-1", stand::address(), 15, (COLD.0, 2 * COLD.1 as usize));
    let back = stand::time();
    stand::say(&format!("{} starts, cold for {} s", cold.id, COLD.0));
    for _ in 0..(COLD.0 * 10.0) as usize {
        stand::sleep_ms(100);
        stand::record(&format!("{} nodes are registered", store.keys("nodes/").len()));
    }
    stand::sleep_ms(1_000);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let arrivals = cold.arrivals.lock().unwrap().clone();
    for arrival in &arrivals {
        stand::record(&format!("{} reached {} at {:.3}", arrival.id, cold.id, arrival.at));
    }
    let outcomes = outcomes.lock().unwrap();
    // Sent and arrived inside the second.
    let sent = |id: &str| outcomes.get(id).map_or(f64::INFINITY, |(at, _)| *at);
    let most = arrivals
        .iter()
        .filter(|first| first.at < back + COLD.0)
        .map(|first| {
            let from = sent(&first.id);
            let window = arrivals.iter().filter(|other| (from..from + 1.0).contains(&other.at));
            window.filter(|other| other.at < back + COLD.0 && sent(&other.id) >= from).count()
        })
        .max()
        .unwrap_or(0);
    let lost = arrivals.iter().filter(|arrival| !matches!(outcomes.get(&arrival.id), Some((_, Outcome::Answer(200, ..))))).count();
    let served = outcomes.values().filter(|(at, outcome)| *at > back && matches!(outcome, Outcome::Answer(200, true, _))).count();
    if served < 100 {
        stand::broken(&format!("only {served} requests were served"));
    }
    stand::say(&format!("at most {most} requests in one second, bound {bound}; {lost} orders lost there, {served} served"));
    stand::judge(most > bound);
}
