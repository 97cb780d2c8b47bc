//! Guards against warm-up slots that are counted from a report which the head of a replica gave
//! before it joined the present epoch: requests that finished in between would count as warm-up.

use std::{collections::BTreeMap, time::Duration};

use corneltrestle_node::{slots, tables::warmup::Warmup};
use corneltrestle_policy::{Moment, assignment, id, release, report};

const START: u64 = 7;

fn release() -> release::Release {
    let set = release::ReplicaSet {
        service: "chat".into(),
        zone: "zone-a".into(),
        vms: 1,
        replicas: 1,
        model: "small".to_owned(),
        adapter: String::new(),
        version: "1".to_owned(),
        fencing: release::Fencing::Checked,
        cold_limit: 2,
    };
    release::Release { sets: BTreeMap::from([("chat".into(), set)]), ..Default::default() }
}

fn replica(epoch: u64, phase: assignment::Phase) -> assignment::Replica {
    assignment::Replica {
        id: id::Replica { set: "chat".into(), index: 0 },
        epoch,
        fabric: "f0".into(),
        vms: vec![assignment::Member {
            id: "vm-0".into(),
            address: "127.0.0.1:1".parse().unwrap(),
        }],
        phase,
        routers: vec!["node-0".into()],
        baseline: assignment::Baseline::default(),
    }
}

fn report(epoch: u64, finished: u64) -> report::Report {
    let replica = Some(id::Replica { set: "chat".into(), index: 0 });
    let phase = report::Phase::Ready;
    report::Report { replica, epoch, finished, phase, ..report::Report::idle("vm-0".into(), START) }
}

/// Number of requests that the only router may have in progress, up to ten.
fn free(warmup: &mut Warmup, replica: &assignment::Replica, head: &report::Report) -> usize {
    let now = Moment::ZERO + Duration::from_secs(1);
    (0..10)
        .take_while(|busy| {
            slots::is_free(&"node-0".into(), &release(), replica, head, warmup, *busy, now)
        })
        .count()
}

#[test]
fn report_of_an_earlier_epoch_gives_no_slots() {
    let mut warmup = Warmup::default();
    let forming = replica(2, assignment::Phase::Forming);
    assert_eq!(free(&mut warmup, &forming, &report(1, 150)), 0);
    let serving = replica(2, assignment::Phase::Serving);
    assert_eq!(free(&mut warmup, &serving, &report(2, 180)), 2, "30 requests ended in epoch 1");
}
