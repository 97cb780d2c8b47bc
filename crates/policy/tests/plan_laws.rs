//! Guards what holds in every history of losses, returns, notes and changes of the holder.

#[path = "support/law.rs"]
mod law;
#[path = "support/world.rs"]
mod world;

use std::collections::{BTreeMap, BTreeSet};

use corneltrestle_policy::assignment::{Assignment, Phase, Replica};
use corneltrestle_policy::plan::{Kind, ORDER_TIMEOUT, Observations, Plan};
use corneltrestle_policy::release::Fencing;
use corneltrestle_policy::{Moment, id, report, vm};
use proptest::collection::vec;
use proptest::prelude::{TestCaseError, prop_assert, prop_assert_eq};
use world::{REPORT_MAX_AGE, ROUND, World, set};

type Verdict = Result<(), TestCaseError>;

fn is_fresh(world: &World, vm: &id::Vm) -> bool {
    world.reports.get(vm).is_some_and(|seen| world.now.since(seen.at) <= REPORT_MAX_AGE)
}

/// Whether a VM reports and stays.
fn is_present(world: &World, vm: &id::Vm) -> bool {
    let is_listed = |listed: &vm::Vm| listed.id == *vm && listed.state == vm::State::Leaving;
    is_fresh(world, vm) && !world.vms.iter().any(is_listed)
}

fn is_joined(world: &World, replica: &Replica, vm: &id::Vm) -> bool {
    let report = world.reports.get(vm).map(|seen| (&seen.report.replica, seen.report.epoch));
    is_present(world, vm) && report == Some((&Some(replica.id.clone()), replica.epoch))
}

fn has_phase(world: &World, vm: &id::Vm, phase: report::Phase) -> bool {
    world.reports.get(vm).is_some_and(|seen| seen.report.phase == phase)
}

fn is_sound(world: &World, replica: &Replica) -> bool {
    replica.vms.iter().all(|vm| {
        is_joined(world, replica, &vm.id) && has_phase(world, &vm.id, report::Phase::Ready)
    })
}

fn spares(world: &World, next: &Assignment, fabric: &str) -> usize {
    let is_spare = |vm: &&vm::Vm| {
        let is_idle = has_phase(world, &vm.id, report::Phase::Idle);
        let is_free = next.is_free(vm.id.as_str());
        vm.fabric.as_str() == fabric && is_present(world, &vm.id) && is_idle && is_free
    };
    world.vms.iter().filter(is_spare).count()
}

/// No VM is in two places, and each replica lies in one fabric domain.
fn vms_are_in_one_place(next: &Assignment) -> Verdict {
    let mut known = BTreeSet::new();
    let members = next.replicas.iter().flat_map(|replica| &replica.vms);
    for vm in members.chain(next.releasing.iter().map(|entry| &entry.vm)) {
        prop_assert!(known.insert(&vm.id), "{} is in two places", vm.id);
    }
    for replica in &next.replicas {
        let fabric = format!("vm-{}-", replica.fabric.as_str().trim_start_matches('f'));
        prop_assert!(replica.vms.iter().all(|vm| vm.id.as_str().starts_with(&fabric)));
    }
    Ok(())
}

/// A replica that is marked as serving is complete; a sound one is not disturbed.
fn serving_is_complete(world: &World, next: &Assignment) -> Verdict {
    for replica in next.replicas.iter().filter(|r| r.phase == Phase::Serving) {
        prop_assert!(is_sound(world, replica), "{} is marked but lacks a member", replica.id);
    }
    let is_steady = |r: &&Replica| r.id.set.as_str() == "a" && r.phase == Phase::Serving;
    for replica in world.assignment.replicas.iter().filter(is_steady) {
        let is_kept = next.replicas.contains(replica);
        prop_assert!(is_kept || !is_sound(world, replica), "{} was disturbed", replica.id);
    }
    Ok(())
}

/// Epochs and tokens only grow, and each change of members has a new epoch.
fn epochs_grow(world: &World, next: &Assignment) -> Verdict {
    let old = &world.assignment;
    prop_assert!(next.epoch >= old.epoch && next.token >= old.token);
    prop_assert!(next == old || next.token == world.token, "the token was not recorded");
    let mut epochs = BTreeSet::new();
    for replica in &next.replicas {
        prop_assert!(epochs.insert(replica.epoch) && replica.epoch <= next.epoch);
        let is_same = old
            .replicas
            .iter()
            .any(|r| r.id == replica.id && r.epoch == replica.epoch && r.vms == replica.vms);
        prop_assert!(is_same || replica.epoch > old.epoch, "{} kept its epoch", replica.id);
    }
    Ok(())
}

/// No replica is missing or broken while one fabric domain has its VMs and a load is allowed, and
/// no more replicas start to load than allowed.
fn nothing_is_stranded(world: &World, next: &Assignment) -> Verdict {
    let forming = || next.replicas.iter().filter(|r| r.phase == Phase::Forming);
    let started = forming().filter(|r| r.epoch > world.assignment.epoch).count();
    prop_assert!(started <= world.loads, "{started} loads started");
    let is_broken = |r: &&Replica| r.vms.iter().any(|vm| !is_present(world, &vm.id));
    let loads = |vm: &id::Vm| has_phase(world, vm, report::Phase::Loading);
    let is_loading = |r: &&Replica| !is_broken(r) || r.vms.iter().any(|vm| loads(&vm.id));
    if forming().filter(is_loading).count() >= world.loads {
        return Ok(());
    }
    let has_place = |size| ["f0", "f1", "f2"].iter().any(|f| spares(world, next, f) >= size);
    for (name, set) in &world.release.sets {
        let is_standing = |r: &&Replica| r.id.set == *name && r.phase != Phase::Draining;
        let standing = next.replicas.iter().filter(is_standing).count();
        let is_whole = standing >= set.replicas.into();
        prop_assert!(is_whole || !has_place(set.vms.into()), "{name} could grow");
    }
    for replica in forming().filter(is_broken) {
        let need = replica.vms.iter().filter(|vm| !is_joined(world, replica, &vm.id)).count();
        let found = spares(world, next, replica.fabric.as_str());
        prop_assert!(found < need, "{} could be repaired", replica.id);
        prop_assert!(!has_place(replica.vms.len()), "{} could be rebuilt", replica.id);
    }
    Ok(())
}

/// When each VM left a replica of a set that ignores tokens.
type Left = BTreeMap<id::Vm, Moment>;

/// A VM of a set that ignores tokens is free only after a confirmed release or the wait.
fn waits_are_kept(world: &World, next: &Assignment, left: &mut Left) -> Verdict {
    for (vm, since) in left.iter() {
        let is_held = next.releasing.iter().any(|entry| entry.vm.id == *vm);
        let is_released = world.engines[vm].released.is_some_and(|at| at >= *since);
        let is_over = world.now.since(*since) > ORDER_TIMEOUT + REPORT_MAX_AGE;
        prop_assert!(is_held || is_released || is_over, "{vm} was freed too early");
    }
    left.retain(|vm, _| next.releasing.iter().any(|entry| entry.vm.id == *vm));
    for replica in world.assignment.replicas.iter().filter(|r| r.id.set.as_str() == "b") {
        let is_out = |vm: &&id::Vm| next.replica_of(vm.as_str()).is_none();
        let out = replica.vms.iter().map(|vm| &vm.id).filter(is_out);
        left.extend(out.map(|vm| (vm.clone(), world.now)));
    }
    Ok(())
}

fn round(world: &mut World, left: &mut Left) -> Verdict {
    let plan = world.plan();
    let next = plan.next.as_ref().unwrap_or(&world.assignment).clone();
    vms_are_in_one_place(&next)?;
    serving_is_complete(world, &next)?;
    epochs_grow(world, &next)?;
    nothing_is_stranded(world, &next)?;
    waits_are_kept(world, &next, left)?;
    orders_fit(&plan, &next)?;
    world.carry_out(plan);
    Ok(())
}

/// Orders to join go to members only, and orders to release to no member.
fn orders_fit(plan: &Plan, next: &Assignment) -> Verdict {
    for order in &plan.orders {
        let replica = next.replica_of(order.vm.id.as_str()).map(|replica| &replica.id);
        match &order.kind {
            Kind::Join { replica: id, .. } | Kind::Load { replica: id } => {
                prop_assert_eq!(replica, Some(id));
            }
            Kind::Release { .. } => prop_assert_eq!(replica, None),
        }
    }
    Ok(())
}

fn disturb(world: &mut World, kind: u8, pick: u8) {
    let at = usize::from(pick) % world.vms.len();
    let vm = world.vms[at].id.to_string();
    let choice = pick % 3;
    match kind {
        0 | 1 => world.engine(&vm).up = false,
        2 | 3 => {
            // Orders under way end with the connections of the old process.
            world.late.retain(|(order, _)| order.vm.id.as_str() != vm);
            world.restart(&vm);
        }
        4 => world.engine(&vm).silent = true,
        5 => world.engine(&vm).silent = false,
        6 => world.list_state(&vm, vm::State::Leaving),
        7 => world.list_state(&vm, vm::State::Live),
        8 => (world.token, world.observations) = (world.token + 1, Observations::default()),
        9 => world.deliver = choice > 0,
        10 => {
            let set = set(3, choice.into(), Fencing::Ignored);
            world.release.sets.insert("b".into(), set);
        }
        11 => {
            world.release.sets.remove("b");
        }
        12 => world.now = world.now + ROUND * u32::from(pick % 32),
        13 => {
            for (order, token) in std::mem::take(&mut world.late) {
                world.obey(&order, token);
            }
        }
        14 => world.engine(&vm).busy = choice.into(),
        _ => {}
    }
}

#[test]
fn every_history_keeps_the_laws_and_settles() {
    let events = vec((0..24_u8, 0..255_u8), 10..60);
    law::holds(1_200, (events, 1..4_usize), |(events, loads)| {
        let sets = [("a", set(2, 2, Fencing::Checked)), ("b", set(3, 2, Fencing::Ignored))];
        let mut world = World::new(&[4, 4, 5], &sets);
        world.loads = loads;
        let mut left = Left::new();
        for _ in 0..4 {
            round(&mut world, &mut left)?;
        }
        for (kind, pick) in events {
            disturb(&mut world, kind, pick);
            round(&mut world, &mut left)?;
        }
        settle(&mut world, &mut left)
    });
}

/// Once all VMs are well again, nothing stays broken, draining or unreleased.
fn settle(world: &mut World, left: &mut Left) -> Verdict {
    world.deliver = true;
    for engine in world.engines.values_mut() {
        (engine.up, engine.silent, engine.busy) = (true, false, 0);
    }
    world.vms.iter_mut().for_each(|vm| vm.state = vm::State::Live);
    let is_settled = |world: &World| {
        let mut replicas = world.assignment.replicas.iter();
        world.assignment.releasing.is_empty() && replicas.all(|r| r.phase == Phase::Serving)
    };
    for _ in 0..80 {
        round(world, left)?;
        if is_settled(world) {
            return Ok(());
        }
    }
    prop_assert!(false, "not settled: {:?}", world.assignment);
    Ok(())
}
