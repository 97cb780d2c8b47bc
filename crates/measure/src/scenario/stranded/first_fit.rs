//! Baseline: first fit in a fixed order, without regard to fabric domains or to the order of repair.

use std::time;

use corneltrestle_time::moment;

use super::model::{self, step};
use crate::scenario::stranded;

/// A replica of the baseline: numbers of its VMs and when it has loaded.
#[derive(Clone, Debug)]
struct Formed {
    vms: Vec<usize>,
    ready: moment::Moment,
}

/// Runs a day with the baseline's assignment.
pub fn first_fit(day: &stranded::Day, seed: u64) -> stranded::Outcome {
    let mut events = model::Events::of(day, seed);
    let mut tally = model::Tally::new(day);
    let mut formed: Vec<Formed> = Vec::new();
    let mut now = events.start();
    while now < events.end() {
        events.advance(now);
        let is_lost = |vm: usize| events.down_for(vm, now) > model::VIEW_BOUND;
        formed.retain(|replica| !replica.vms.iter().any(|vm| is_lost(*vm)));
        let loading = formed.iter().filter(|replica| replica.ready > now).count();
        let is_used = |vm: usize, formed: &[Formed]| formed.iter().any(|r| r.vms.contains(&vm));
        if formed.len() < day.replicas && loading < stranded::LOADS {
            let free = (0..events.count()).filter(|vm| events.is_up(*vm) && !is_used(*vm, &formed));
            let vms: Vec<_> = free.take(day.size).collect();
            if vms.len() == day.size {
                formed.push(Formed { vms, ready: now + stranded::LOAD });
            }
        }
        let is_sound = |replica: &&Formed| {
            let fabric = events.fabric(replica.vms[0]);
            replica.vms.iter().all(|vm| events.is_up(*vm) && events.fabric(*vm) == fabric)
        };
        let sound: Vec<_> = formed.iter().filter(is_sound).collect();
        let engaged = |vm| sound.iter().any(|replica| replica.vms.contains(&vm));
        let serving = sound.iter().filter(|replica| replica.ready <= now).count();
        let loading = sound.len() - serving;
        let span: time::Duration = step(&events, now, loading == 0);
        tally.add(&events, now, span, engaged, serving, loading);
        now = now + span;
    }
    tally.outcome
}
