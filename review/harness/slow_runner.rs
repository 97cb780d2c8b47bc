//! Two of five runners turn slow. They are sound, and answer within the deadline of their callers.

use std::{
    sync::{Arc, atomic},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setting, Verdict,
    deployment::{self, Node, Runs},
    http::{self, Seen},
    store::Store,
};

/// Deadline of the callers and timeout of the route.
const DEADLINE: Duration = Duration::from_millis(8_000);
/// The runners; the first ones turn slow.
const RUNNERS: [&str; 5] = ["i-7f3a91c2", "i-02d9e6b4", "i-5c1e07a2", "i-e4402b7d", "i-91bd3f06"];
const SLOW: usize = 2;
/// Time that a runner works on a request, and the factor by which a slow one takes longer.
const WORK: Duration = Duration::from_millis(1_000);
const FACTOR: u32 = 5;
/// Requests sent at the same time, before and after the runners turn slow.
const EARLIER: usize = 130;
const REQUESTS: usize = 100;
/// `contact_ms`: for so long nothing has happened to a machine in touch, nor its start.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The rule counts a second send that is this much later, and an end that is this much later.
const SLACK: Duration = Duration::from_millis(500);
/// Number of such requests that the rule allows.
const ALLOWED: usize = 20;

pub fn play(setting: Setting<'_>) -> Verdict {
    let Setting { folder, record, trouble } = setting;
    let store = Store::open(deployment::listen(1));
    let route = "{\"name\":\"reports\",\"host\":\"shop.example\",\"prefix\":\"/reports/\",\
                 \"route_kind\":\"idempotent\",\"timeout_ms\":8000,\"slo_ms\":2000,\
                 \"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"public\":false}";
    store.put("op/config", &deployment::configuration(7, route, &["desk"]));
    let runs = Runs::default();
    let is_slow = Arc::new(atomic::AtomicBool::new(false));
    for (index, id) in RUNNERS.into_iter().enumerate() {
        let slow = (index < SLOW).then(|| Arc::clone(&is_slow));
        let work: deployment::Work = Arc::new(move |request, connection| {
            let is_slow = slow.as_ref().is_some_and(|slow| slow.load(atomic::Ordering::SeqCst));
            if request.body != b"warm-up" {
                deployment::work_for(if is_slow { WORK * FACTOR } else { WORK }, connection)?;
            }
            deployment::complete(request, connection, "a report")
        });
        let machine = 21 + index as u8;
        deployment::start_runner(&store, machine, id, "desk", "zone-a", &record, &runs, work);
    }
    let nodes = [Node::start(folder, "edge-1", "zone-a", 11, &store)];
    if !deployment::wait_served(&nodes, "/reports/warm", "GET") {
        return Verdict::Failed("the node does not serve".to_owned());
    }
    let front = nodes[0].front;
    let send = |phase: &'static str, number: usize| -> Vec<(String, Instant, Seen)> {
        let callers: Vec<_> = (0..number)
            .map(|number| {
                thread::spawn(move || {
                    let attempt = format!("{phase}{number:04}");
                    let bytes = deployment::request("GET", "/reports/2f", &attempt, 8_000, "");
                    let sent = Instant::now();
                    let seen = http::call(front, &bytes, DEADLINE);
                    (attempt, sent, seen)
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect()
    };
    thread::sleep(CONTACT);
    // The first requests leave connections to the runners open.
    send("9c41d07be2a3", EARLIER);
    if trouble {
        record.write("two of five runners turn slow");
        is_slow.store(true, atomic::Ordering::SeqCst);
    }
    let seen = send("5f68a1d2c3b4", REQUESTS);
    let (mut late, mut beyond, mut unanswered) = (0, 0, 0);
    for (attempt, sent, seen) in &seen {
        record.write(&format!("the caller of {attempt} sees: {seen}"));
        unanswered += usize::from(seen.status() != Some(200));
        let arrivals = runs.arrivals(attempt);
        let Some(first) = arrivals.first() else { continue };
        let end = |arrival: &deployment::Arrival| {
            arrival.deadline_ms.map(|limit| arrival.at + Duration::from_millis(limit))
        };
        let again: Vec<_> =
            arrivals.iter().skip(1).filter(|next| next.at > first.at + SLACK).collect();
        late += usize::from(!again.is_empty());
        let is_beyond = |next: &&&deployment::Arrival| {
            let own = *sent + DEADLINE + SLACK;
            end(next).is_none_or(|at| at > own && end(first).is_none_or(|end| at > end + SLACK))
        };
        if let Some(next) = again.iter().find(is_beyond) {
            beyond += 1;
            record.write(&format!(
                "{attempt} was sent again {:.3} s after the first time, with a deadline of {:?} ms",
                (next.at - first.at).as_secs_f64(),
                next.deadline_ms
            ));
        }
    }
    record.write(&format!(
        "of {REQUESTS} requests, {late} were sent again over 0.5 s later, {beyond} of them with more \
         time than is left; {unanswered} were not served"
    ));
    if !trouble && unanswered > 0 {
        return Verdict::Failed("not served without the disruption".to_owned());
    }
    if beyond > ALLOWED && beyond * 5 > late { Verdict::Broken } else { Verdict::Held }
}
