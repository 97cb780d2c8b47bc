//! Time of one decision of the coordinator, with groups that lose members steadily.
//!
//! `cargo bench -p corneltrestle-policy`

#[path = "../tests/support/engines.rs"]
#[allow(dead_code, reason = "the tests use the rest of it")]
mod engines;

use std::hint;

use corneltrestle_policy::formation;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use engines::Engines;

/// VMs of a fabric domain, and of the groups of the large and of the small model.
const DOMAIN_VMS: usize = 73;
const GROUP_VMS: (u32, u32) = (32, 8);

/// Decisions until an undisturbed fleet has formed its groups.
const SETTLING: usize = 140;

/// Decisions between two lost members.
const LOSS_TICKS: usize = 5;

/// A fleet whose groups serve and have begun to lose members.
fn fleet(domains: usize) -> Engines {
    let (large, small) = GROUP_VMS;
    let mut engines = Engines::of(engines::engine_of(large, small));
    (0..domains * DOMAIN_VMS).for_each(|vm| engines.add(vm % domains));
    for _ in 0..SETTLING {
        engines.tick(|_| true);
    }
    engines.has_traffic = true;
    for tick in 0..SETTLING {
        if tick % LOSS_TICKS == 0 {
            engines.lose_member(tick);
        }
        engines.tick(|_| true);
    }
    engines
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for domains in [15, 41] {
        let engines = fleet(domains);
        let (fleet, busy, service) = (engines.fleet(), Default::default(), "models".into());
        let view = engines.view(&service, &fleet, &busy);
        let mut state = engines.state.clone();
        let id = BenchmarkId::from_parameter(domains * DOMAIN_VMS);
        group.bench_function(id, |bencher| {
            bencher.iter(|| hint::black_box(formation::decide(&view, &mut state, engines.now)));
        });
    }
    group.finish();
}

/// The first decision before any request, which divides the VMs between the models.
fn compositions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("composition");
    group.sample_size(20);
    for domains in [15, 41] {
        let (large, small) = GROUP_VMS;
        let mut engines = Engines::of(engines::engine_of(large, small));
        (0..domains * DOMAIN_VMS).for_each(|vm| engines.add(vm % domains));
        let (fleet, busy, service) = (engines.fleet(), Default::default(), "models".into());
        let view = engines.view(&service, &fleet, &busy);
        let id = BenchmarkId::from_parameter(domains * DOMAIN_VMS);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                let mut state = formation::State::new(1);
                hint::black_box(formation::decide(&view, &mut state, engines.now))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions, compositions);
criterion_main!(benches);
