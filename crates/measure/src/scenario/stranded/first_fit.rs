//! Baseline of the scenario `stranded`: each replica gets the first free VMs in a fixed order,
//! regardless of fabric domains and of which replica should be repaired first.

use std::time;

use corneltrestle_time::moment;

use super::model::{self, step};
use crate::scenario::stranded;

/// A replica of the baseline.
#[derive(Clone, Debug)]
struct Replica {
    /// Numbers of its VMs.
    vms: Vec<usize>,
    /// When all its VMs have loaded.
    ready: moment::Moment,
}

/// Simulates a day with the assignment of the baseline.
pub fn simulate_first_fit(day: &stranded::Day, seed: u64) -> stranded::Measurement {
    let mut events = model::Events::of(day, seed);
    let mut tally = model::Tally::new(day);
    let mut formed: Vec<Replica> = Vec::new();
    let mut now = events.start();
    while now < events.end() {
        events.advance(now);
        let is_lost = |vm: usize| events.down_for(vm, now) > model::REPORT_MAX_AGE;
        formed.retain(|replica| !replica.vms.iter().any(|vm| is_lost(*vm)));
        let loading = formed.iter().filter(|replica| replica.ready > now).count();
        let is_used = |vm: usize, formed: &[Replica]| formed.iter().any(|r| r.vms.contains(&vm));
        if formed.len() < day.replicas && loading < stranded::MAX_LOADS {
            let free = (0..events.count()).filter(|vm| events.is_up(*vm) && !is_used(*vm, &formed));
            let vms: Vec<_> = free.take(day.size).collect();
            if vms.len() == day.size {
                formed.push(Replica { vms, ready: now + stranded::LOAD_TIME });
            }
        }
        let is_intact = |replica: &&Replica| {
            let fabric = events.fabric(replica.vms[0]);
            replica.vms.iter().all(|vm| events.is_up(*vm) && events.fabric(*vm) == fabric)
        };
        let intact: Vec<_> = formed.iter().filter(is_intact).collect();
        let in_use = |vm| intact.iter().any(|replica| replica.vms.contains(&vm));
        let serving = intact.iter().filter(|replica| replica.ready <= now).count();
        let loading = intact.len() - serving;
        let span: time::Duration = step(&events, now, loading == 0);
        tally.add(&events, now, span, in_use, serving, loading);
        now = now + span;
    }
    tally.measurement
}
