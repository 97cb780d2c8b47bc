//! Guards what holds in every history of losses, returns, notes and changes of the holder.

#[path = "support/law.rs"]
mod law;
#[path = "support/world.rs"]
mod world;

use std::collections::{BTreeMap, BTreeSet};

use corneltrestle_policy::assignment::{Assignment, Phase, Replica};
use corneltrestle_policy::plan::{Kind, Memory, ORDER_TIMEOUT, Plan};
use corneltrestle_policy::release::Fencing;
use corneltrestle_policy::{Moment, id, report, vm};
use proptest::collection::vec;
use proptest::prelude::{TestCaseError, prop_assert, prop_assert_eq};
use world::{BOUND, ROUND, World, set};

type Verdict = Result<(), TestCaseError>;

fn has_spares(world: &World, next: &Assignment, fabric: &str) -> usize {
    let is_spare = |vm: &&vm::Vm| {
        let seen = world.reports.get(&vm.id);
        vm.fabric.as_str() == fabric
            && vm.state == vm::State::Live
            && next.is_free(vm.id.as_str())
            && seen.is_some_and(|s| s.report.replica.is_none() && world.now.since(s.at) <= BOUND)
    };
    world.vms.iter().filter(is_spare).count()
}

fn is_ready_member(world: &World, replica: &Replica, vm: &id::Vm) -> bool {
    world.reports.get(vm).is_some_and(|seen| {
        world.now.since(seen.at) <= BOUND
            && seen.report.replica.as_ref() == Some(&replica.id)
            && seen.report.epoch == replica.epoch
            && seen.report.phase == report::Phase::Ready
    })
}

fn is_leaving(world: &World, vm: &id::Vm) -> bool {
    world.vms.iter().any(|listed| listed.id == *vm && listed.state == vm::State::Leaving)
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
        for vm in &replica.vms {
            prop_assert!(is_ready_member(world, replica, &vm.id), "{} lacks {}", replica.id, vm.id);
            prop_assert!(!is_leaving(world, &vm.id), "{} has leaving {}", replica.id, vm.id);
        }
    }
    let sound = world.assignment.replicas.iter().filter(|replica| {
        let is_sound = |vm: &id::Vm| is_ready_member(world, replica, vm) && !is_leaving(world, vm);
        replica.id.set.as_str() == "a"
            && replica.phase == Phase::Serving
            && replica.vms.iter().all(|vm| is_sound(&vm.id))
    });
    for replica in sound {
        prop_assert!(next.replicas.contains(replica), "{} was disturbed", replica.id);
    }
    Ok(())
}

/// Epochs and tokens only grow, and each change of members has a new epoch.
fn epochs_grow(old: &Assignment, next: &Assignment) -> Verdict {
    prop_assert!(next.epoch >= old.epoch && next.token >= old.token);
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
    let unfit = |replica: &Replica| {
        let is_unfit = |vm: &id::Vm| {
            let seen = world.reports.get(vm);
            is_leaving(world, vm) || seen.is_none_or(|s| world.now.since(s.at) > BOUND)
        };
        replica.vms.iter().filter(|vm| is_unfit(&vm.id)).count()
    };
    let forming = || next.replicas.iter().filter(|r| r.phase == Phase::Forming);
    let is_new = |r: &&Replica| r.epoch > world.assignment.epoch;
    let loading = forming().filter(|r| unfit(r) == 0).count();
    let started = forming().filter(is_new).count();
    prop_assert!(started <= world.loads, "{started} loads started");
    let occupied = |r: &&Replica| {
        let loads = |vm: &id::Vm| {
            world.reports.get(vm).is_some_and(|s| s.report.phase == report::Phase::Loading)
        };
        unfit(r) == 0 || r.vms.iter().any(|vm| loads(&vm.id))
    };
    if forming().filter(occupied).count() >= world.loads {
        return Ok(());
    }
    prop_assert!(loading < world.loads);
    let fabrics = ["f0", "f1", "f2"];
    for (name, set) in &world.release.sets {
        let standing = |r: &&Replica| r.id.set == *name && r.phase != Phase::Draining;
        let count = next.replicas.iter().filter(standing).count();
        let possible = fabrics.iter().any(|f| has_spares(world, next, f) >= set.vms.into());
        prop_assert!(count >= set.replicas.into() || !possible, "{name} could grow");
    }
    for replica in forming().filter(|replica| unfit(replica) > 0) {
        let spares = has_spares(world, next, replica.fabric.as_str());
        let is_joined = |vm: &id::Vm| {
            let report = &world.reports[vm].report;
            report.replica.as_ref() == Some(&replica.id) && report.epoch == replica.epoch
        };
        let is_fit = |vm: &id::Vm| {
            let is_fresh = world.now.since(world.reports[vm].at) <= BOUND;
            is_fresh && is_joined(vm) && !is_leaving(world, vm)
        };
        let need = replica.vms.iter().filter(|vm| !is_fit(&vm.id)).count();
        prop_assert!(spares < need, "{} could be repaired", replica.id);
        let elsewhere = |f: &&str| has_spares(world, next, f) >= replica.vms.len();
        prop_assert!(!fabrics.iter().any(elsewhere), "{} could be rebuilt", replica.id);
    }
    Ok(())
}

/// When each VM left a replica of a set that ignores tokens, and at which epoch.
type Left = BTreeMap<id::Vm, (Moment, u64)>;

/// A VM of a set that ignores tokens is used again only after a confirmed release or the wait.
fn waits_are_kept(world: &World, next: &Assignment, left: &mut Left) -> Verdict {
    for replica in next.replicas.iter().filter(|r| r.epoch > world.assignment.epoch) {
        for vm in &replica.vms {
            let Some((since, _)) = left.get(&vm.id).copied() else { continue };
            let stays = world.assignment.replica_of(vm.id.as_str()).is_some();
            let is_released = world.engines[&vm.id].released.is_some_and(|at| at >= since);
            let is_over = world.now.since(since) > ORDER_TIMEOUT + BOUND;
            prop_assert!(stays || is_released || is_over, "{} was used too early", vm.id);
            left.remove(&vm.id);
        }
    }
    for replica in world.assignment.replicas.iter().filter(|r| r.id.set.as_str() == "b") {
        for vm in replica.vms.iter().filter(|vm| next.replica_of(vm.id.as_str()).is_none()) {
            left.insert(vm.id.clone(), (world.now, replica.epoch));
        }
    }
    // An entry may be dropped only under the same conditions.
    for entry in world.assignment.releasing.iter().filter(|e| next.is_free(e.vm.id.as_str())) {
        if let Some((since, _)) = left.get(&entry.vm.id) {
            let is_released = world.engines[&entry.vm.id].released.is_some_and(|at| at >= *since);
            let is_over = world.now.since(*since) > ORDER_TIMEOUT + BOUND;
            prop_assert!(is_released || is_over, "{} was freed too early", entry.vm.id);
        }
    }
    Ok(())
}

fn round(world: &mut World, left: &mut Left) -> Verdict {
    let plan = world.plan();
    let next = plan.next.as_ref().unwrap_or(&world.assignment).clone();
    vms_are_in_one_place(&next)?;
    serving_is_complete(world, &next)?;
    epochs_grow(&world.assignment, &next)?;
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
        8 => (world.token, world.memory) = (world.token + 1, Memory::default()),
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
