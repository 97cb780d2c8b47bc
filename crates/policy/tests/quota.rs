//! Limits of upstreams as nodes pass them on to each other.

use std::time::Duration;

use corneltrestle_policy::{
    Moment,
    quota::{Known, Statement, known::Limit},
};

/// Time between two datagrams of a node, and time that one takes.
const PERIOD: Duration = Duration::from_millis(100);
const DELAY: Duration = Duration::from_millis(8);

/// Each node sends what it knows to all others, with its age in whole milliseconds.
fn exchange(nodes: &mut [Known], now: Moment) {
    for from in 0..nodes.len() {
        let sent: Vec<_> =
            nodes[from].iter().map(|(upstream, limit)| (upstream.clone(), *limit)).collect();
        for (upstream, limit) in sent {
            let age = Duration::from_millis(now.since(limit.stated).as_millis() as u64);
            let received = Limit { stated: (now + DELAY).before(age), ..limit };
            for (to, node) in nodes.iter_mut().enumerate() {
                if to != from {
                    node.merge(&upstream, received);
                }
            }
        }
    }
}

/// Guards against a statement that never grows old, as nodes pass it back and forth.
#[test]
fn limit_that_no_answer_confirms_is_forgotten() {
    let mut nodes = vec![Known::default(); 30];
    let mut now = Moment::from_millis(1_000);
    nodes[0].record(&"vm".into(), 1, Statement::Limited(5.0), 1, now);
    for _ in 0..320 {
        exchange(&mut nodes, now);
        now = now + PERIOD;
        nodes.iter_mut().for_each(|node| node.prune(now));
    }
    assert!(nodes.iter().all(Known::is_unlimited));
}

/// Guards against a limit that comes back after an answer has named none, as an earlier statement is
/// still on its way between other nodes.
#[test]
fn limit_that_has_ended_does_not_come_back() {
    let mut nodes = vec![Known::default(); 30];
    let mut now = Moment::from_millis(1_000);
    for (boot, node) in nodes.iter_mut().enumerate() {
        node.record(&"vm".into(), 1, Statement::Limited(5.0), boot as u64, now);
        now = now + Duration::from_millis(7);
    }
    exchange(&mut nodes, now);
    now = now + PERIOD;
    nodes[3].record(&"vm".into(), 1, Statement::Unlimited, 3, now);
    for _ in 0..50 {
        now = now + PERIOD;
        exchange(&mut nodes, now);
    }
    assert!(nodes.iter().all(Known::is_unlimited));
}
