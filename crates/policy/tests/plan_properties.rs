//! Invariants of the planner under random sequences of lost and returning VMs, changed release
//! notes and changes of the lease holder.

#[path = "support/seeded.rs"]
mod seeded;
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

type Outcome = Result<(), TestCaseError>;

fn is_fresh(world: &World, vm: &id::Vm) -> bool {
    world.reports.get(vm).is_some_and(|seen| world.now.since(seen.at) <= REPORT_MAX_AGE)
}

/// Whether a VM reports and is not leaving.
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

fn is_ready(world: &World, replica: &Replica) -> bool {
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

/// No VM is assigned twice, and the members of each replica are in one fabric domain.
fn vms_are_assigned_once(next: &Assignment) -> Outcome {
    let mut known = BTreeSet::new();
    let members = next.replicas.iter().flat_map(|replica| &replica.vms);
    for vm in members.chain(next.releasing.iter().map(|entry| &entry.vm)) {
        prop_assert!(known.insert(&vm.id), "{} is assigned twice", vm.id);
    }
    for replica in &next.replicas {
        let fabric = format!("vm-{}-", replica.fabric.as_str().trim_start_matches('f'));
        prop_assert!(replica.vms.iter().all(|vm| vm.id.as_str().starts_with(&fabric)));
    }
    Ok(())
}

/// All members of a serving replica are ready, and a replica with ready members is not changed.
fn serving_replicas_are_ready(world: &World, next: &Assignment) -> Outcome {
    for replica in next.replicas.iter().filter(|r| r.phase == Phase::Serving) {
        prop_assert!(is_ready(world, replica), "{} serves but lacks a member", replica.id);
    }
    let is_steady = |r: &&Replica| r.id.set.as_str() == "a" && r.phase == Phase::Serving;
    for replica in world.assignment.replicas.iter().filter(is_steady) {
        let is_kept = next.replicas.contains(replica);
        prop_assert!(is_kept || !is_ready(world, replica), "{} was changed", replica.id);
    }
    Ok(())
}

/// Epochs and tokens never decrease, and each change of members gets a new epoch.
fn epochs_increase(world: &World, next: &Assignment) -> Outcome {
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

/// No replica stays missing or broken while a fabric domain has enough spare VMs and a load is
/// allowed, and no more replicas start to load than allowed.
fn no_capacity_is_left_unused(world: &World, next: &Assignment) -> Outcome {
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

/// When each VM was removed from a replica of a set that ignores fencing tokens.
type Removed = BTreeMap<id::Vm, Moment>;

/// A VM of a set that ignores fencing tokens is free only after a confirmed release or the wait.
fn release_waits_are_kept(world: &World, next: &Assignment, removed: &mut Removed) -> Outcome {
    for (vm, since) in removed.iter() {
        let is_held = next.releasing.iter().any(|entry| entry.vm.id == *vm);
        let is_released = world.engines[vm].released.is_some_and(|at| at >= *since);
        let is_over = world.now.since(*since) > ORDER_TIMEOUT + REPORT_MAX_AGE;
        prop_assert!(is_held || is_released || is_over, "{vm} was freed too early");
    }
    removed.retain(|vm, _| next.releasing.iter().any(|entry| entry.vm.id == *vm));
    for replica in world.assignment.replicas.iter().filter(|r| r.id.set.as_str() == "b") {
        let is_out = |vm: &&id::Vm| next.replica_of(vm.as_str()).is_none();
        let out = replica.vms.iter().map(|vm| &vm.id).filter(is_out);
        removed.extend(out.map(|vm| (vm.clone(), world.now)));
    }
    Ok(())
}

fn round(world: &mut World, removed: &mut Removed) -> Outcome {
    let plan = world.plan();
    let next = plan.next.as_ref().unwrap_or(&world.assignment).clone();
    vms_are_assigned_once(&next)?;
    serving_replicas_are_ready(world, &next)?;
    epochs_increase(world, &next)?;
    no_capacity_is_left_unused(world, &next)?;
    release_waits_are_kept(world, &next, removed)?;
    orders_match_the_assignment(&plan, &next)?;
    world.apply(plan);
    Ok(())
}

/// Join and load orders go to members only, and release orders to no member.
fn orders_match_the_assignment(plan: &Plan, next: &Assignment) -> Outcome {
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

fn inject(world: &mut World, kind: u8, pick: u8) {
    let at = usize::from(pick) % world.vms.len();
    let vm = world.vms[at].id.to_string();
    let choice = pick % 3;
    match kind {
        0 | 1 => world.engine(&vm).up = false,
        2 | 3 => {
            // Orders in flight are lost with the connections of the old process.
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
                world.deliver_order(&order, token);
            }
        }
        14 => world.engine(&vm).busy = choice.into(),
        _ => {}
    }
}

#[test]
fn invariants_hold_and_the_plan_converges() {
    let events = vec((0..24_u8, 0..255_u8), 10..60);
    seeded::run(1_200, (events, 1..4_usize), |(events, loads)| {
        let sets = [("a", set(2, 2, Fencing::Checked)), ("b", set(3, 2, Fencing::Ignored))];
        let mut world = World::new(&[4, 4, 5], &sets);
        world.loads = loads;
        let mut removed = Removed::new();
        for _ in 0..4 {
            round(&mut world, &mut removed)?;
        }
        for (kind, pick) in events {
            inject(&mut world, kind, pick);
            round(&mut world, &mut removed)?;
        }
        converge(&mut world, &mut removed)
    });
}

/// Once all VMs have recovered, no replica stays broken or draining and no VM unreleased.
fn converge(world: &mut World, removed: &mut Removed) -> Outcome {
    world.deliver = true;
    for engine in world.engines.values_mut() {
        (engine.up, engine.silent, engine.busy) = (true, false, 0);
    }
    world.vms.iter_mut().for_each(|vm| vm.state = vm::State::Live);
    let has_converged = |world: &World| {
        let mut replicas = world.assignment.replicas.iter();
        world.assignment.releasing.is_empty() && replicas.all(|r| r.phase == Phase::Serving)
    };
    for _ in 0..80 {
        round(world, removed)?;
        if has_converged(world) {
            return Ok(());
        }
    }
    prop_assert!(false, "did not converge: {:?}", world.assignment);
    Ok(())
}
