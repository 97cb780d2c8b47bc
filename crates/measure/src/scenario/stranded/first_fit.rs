//! Baseline: first fit in a fixed order, without regard to fabric domains or to the order of repair.

use std::time::Duration;

use corneltrestle_policy::Moment;

use super::model::{Events, Tally, VIEW_BOUND, step};
use super::{Day, LOAD, LOADS, Outcome};

/// A replica of the baseline: numbers of its VMs and when it has loaded.
#[derive(Clone, Debug)]
struct Formed {
    vms: Vec<usize>,
    ready: Moment,
}

/// Runs a day with the baseline's assignment.
pub fn first_fit(day: &Day, seed: u64) -> Outcome {
    let mut events = Events::of(day, seed);
    let mut tally = Tally::new(day);
    let mut formed: Vec<Formed> = Vec::new();
    let mut now = events.start();
    while now < events.end() {
        events.advance(now);
        let is_lost = |vm: usize| events.down_for(vm, now) > VIEW_BOUND;
        formed.retain(|replica| !replica.vms.iter().any(|vm| is_lost(*vm)));
        let loading = formed.iter().filter(|replica| replica.ready > now).count();
        let is_used = |vm: usize, formed: &[Formed]| formed.iter().any(|r| r.vms.contains(&vm));
        if formed.len() < day.replicas && loading < LOADS {
            let free = (0..events.count()).filter(|vm| events.is_up(*vm) && !is_used(*vm, &formed));
            let vms: Vec<_> = free.take(day.size).collect();
            if vms.len() == day.size {
                formed.push(Formed { vms, ready: now + LOAD });
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
        let span: Duration = step(&events, now, loading == 0);
        tally.add(&events, now, span, engaged, serving, loading);
        now = now + span;
    }
    tally.outcome
}
