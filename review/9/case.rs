//! A zone is cut off from the store while a runner leaves. After the cut, nodes that learn the facts
//! from another node of the zone go on sending requests to that runner for as long as it runs.

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
/// `drain_ms` and `contact_ms` of the pages, in seconds.
const DRAIN_S: f64 = 2.0;
const CONTACT_S: f64 = 3.0;
/// Length of the cut; the site file cuts a zone off for up to 6.5 s.
const CUT_S: f64 = 5.5;
/// How long the leaving runner serves on after its registration is gone.
const LINGER_S: f64 = 14.0;

fn main() {
    stand::open_record();
    let store = Store::new();
    store.put("op/config", &stand::configuration(7, (0.0, 0.0)));
    let runners: Vec<Runner> = (0..8)
        .map(|n| Runner::start(&store, &format!("i-runner-{n}"), "zone-1", stand::address(), 15))
        .collect();
    let is_cut = Arc::new(AtomicBool::new(false));
    let nodes: Vec<Node> = (0..NODES)
        .map(|n| {
            let address = stand::address();
            store.serve(address, Arc::clone(&is_cut));
            Node::start(n, "zone-1", address, &[])
        })
        .collect();
    nodes.iter().for_each(Node::wait_ready);
    let sent: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let outcomes: Arc<Mutex<Vec<(f64, String, Outcome)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (number, node) in nodes.iter().enumerate() {
        for client in 0..2 {
            let (peer, sent, outcomes, is_over) =
                (node.callers, Arc::clone(&sent), Arc::clone(&outcomes), Arc::clone(&is_over));
            clients.push(thread::spawn(move || {
                let mut client_at = Client::new(peer);
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("n{number}-{client}-{count}");
                    let (method, path) = if count % 2 == 0 { ("GET", "/status/1") } else { ("POST", "/order/1") };
                    let at = stand::time();
                    sent.lock().unwrap().insert(id.clone(), at);
                    let outcome = client_at.call(method, path, &id, "", b"", Duration::from_millis(1_000));
                    stand::record(&format!("{id} {method} sent at {at:.3}: {outcome:?}"));
                    outcomes.lock().unwrap().push((at, id, outcome));
                    stand::sleep_ms(30);
                }
            }));
        }
    }
    let start = stand::time();
    stand::sleep_until(start + 5.0);
    let (cut_from, cut_until) = (start + 5.0, start + 5.0 + CUT_S);
    if stand::has_trouble() {
        is_cut.store(true, Ordering::SeqCst);
        runners.iter().for_each(Runner::cut);
        stand::say("the zone, nodes and runners, is cut off from the store");
    }
    stand::sleep_until(cut_from + 2.0);
    let leaving = &runners[0];
    if stand::has_trouble() {
        leaving.leave();
    } else {
        leaving.deregister();
    }
    stand::say(&format!("{} leaves without a report, and serves on", leaving.id));
    let key = format!("servers/{}", leaving.id);
    while store.has(&key) {
        stand::sleep_ms(5);
    }
    let gone = stand::time();
    stand::say(&format!("its registration is removed; {} runners are registered", store.keys("servers/").len()));
    stand::sleep_until(cut_from + 4.2);
    let discarded = stand::time();
    if stand::has_trouble() {
        store.discard_history();
        stand::say("the store discards its history");
    }
    stand::sleep_until(cut_until);
    is_cut.store(false, Ordering::SeqCst);
    runners.iter().for_each(Runner::reconnect);
    stand::say("the zone reaches the store");
    stand::sleep_until(cut_until + 2.0);
    stand::say(&format!("{} runners are registered", store.keys("servers/").len()));
    stand::sleep_until(gone + LINGER_S);
    leaving.exit();
    stand::say(&format!("{} exits", leaving.id));
    stand::sleep_ms(1_500);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    // The store is stable CONTACT_S after its history was discarded, and nodes are in touch when it was so for
    // another CONTACT_S; the cut ended before. A request counts if its client sent it then.
    let from = (gone + DRAIN_S).max(cut_until + CONTACT_S).max(discarded + 2.0 * CONTACT_S);
    let sent = sent.lock().unwrap();
    let mut late: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in leaving.arrivals.lock().unwrap().iter() {
        stand::record(&format!("{} reached {} at {:.3}", arrival.id, leaving.id, arrival.at));
        if sent.get(&arrival.id).is_some_and(|at| *at > from) {
            let node = arrival.id.split('-').next().unwrap_or_default().to_owned();
            *late.entry(node).or_default() += 1;
        }
    }
    let lost = outcomes.lock().unwrap().iter().filter(|(at, id, outcome)| {
        let is_order = id.rsplit('-').next().and_then(|n| n.parse::<u64>().ok()).is_some_and(|n| n % 2 == 1);
        *at > from && is_order && !matches!(outcome, Outcome::Answer(200 | 429 | 503 | 408 | 421, ..))
    }).count();
    let served = outcomes.lock().unwrap().iter().filter(|(at, _, outcome)| *at > from && matches!(outcome, Outcome::Answer(200, true, _))).count();
    if served < 100 {
        stand::broken(&format!("only {served} requests were served"));
    }
    for node in &nodes {
        for line in node.log().lines().filter(|line| line.contains("did not renew") || line.contains("all facts were loaded") || line.contains("out of reach")) {
            stand::record(&format!("log of {}: {line}", node.name));
        }
    }
    stand::say(&format!("sent later than {DRAIN_S} s after the removal by nodes in touch: {late:?}; {served} requests served, {lost} orders without a final answer"));
    stand::judge(!late.is_empty());
}
