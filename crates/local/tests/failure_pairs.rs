//! Guards against violated invariants when two failures occur together while generations and orders are
//! in progress. The seed selects the VM and the time between the failures.

mod common;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use common::{CONFIG_TIMEOUT, Oracle, REPAIR_TIMEOUT, SLACK};
use corneltrestle_local::{Local, Plan};
use corneltrestle_node::operate::Verdict;
use futures_util::future;
use test_case::test_case;

/// Load on a deployment and the number of its answers.
#[derive(Default)]
struct Load {
    stop: AtomicBool,
    /// Generations with a complete answer.
    complete: AtomicU64,
    /// Orders with a true outcome.
    orders: AtomicU64,
}

impl Load {
    /// Sends generations through each node until stopped, and checks how each ends.
    async fn generate(&self, local: &Local, oracle: &Oracle) {
        let callers = local.nodes.values().map(common::caller).enumerate();
        let jobs = callers.map(|(job, caller)| async move {
            let mut sent = 0;
            while !self.stop.load(Ordering::Relaxed) {
                let prompt = format!("job {job} request {sent}");
                let ended = common::generate(&caller, &prompt, 60).await;
                let is_complete = oracle.check(&prompt, 60, &ended).await;
                self.complete.fetch_add(u64::from(is_complete), Ordering::Relaxed);
                sent += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        future::join_all(jobs).await;
    }

    /// Sends orders, each with its own key, through each node, and checks each outcome.
    async fn order(&self, local: &Local) {
        let callers = local.nodes.values().map(common::caller).enumerate();
        let jobs = callers.map(|(job, caller)| async move {
            let mut sent = 0;
            while !self.stop.load(Ordering::Relaxed) {
                let key = format!("job-{job}-order-{sent}");
                let (status, outcome) = common::outcome(&common::order(&caller, &key).await);
                let runs = common::runs(local, &key);
                let is_true = match outcome.as_str() {
                    "" => status == 201 && runs == 1,
                    "not-run" => runs == 0,
                    _ => runs <= 1,
                };
                assert!(is_true, "{key}: {status} {outcome}, {runs} runs");
                self.orders.fetch_add(1, Ordering::Relaxed);
                sent += 1;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        future::join_all(jobs).await;
    }

    /// Checks at intervals, until stopped, that no VM is in two replicas and no revision decreases.
    async fn watch(&self, local: &Local) {
        let mut revisions = vec![0; local.nodes.len()];
        while !self.stop.load(Ordering::Relaxed) {
            common::assert_no_overlap(local);
            for (node, seen) in local.nodes.values().zip(&mut revisions) {
                let revision = common::revision(node);
                assert!(revision >= *seen, "a revision decreased");
                *seen = revision;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Runs `script` under load. Some generations and orders must have been answered, and no engine may
    /// have exceeded its cold limit.
    async fn run_during(local: &Local, oracle: &Oracle, script: impl Future<Output = ()>) {
        let load = Self::default();
        let script = async {
            script.await;
            load.stop.store(true, Ordering::Relaxed);
        };
        tokio::join!(load.generate(local, oracle), load.order(local), load.watch(local), script);
        let complete = load.complete.load(Ordering::Relaxed);
        assert!(
            complete > 0 && load.orders.load(Ordering::Relaxed) > 0,
            "{complete} complete answers"
        );
        assert_eq!(common::overloads(local), 0);
    }
}

fn delay(seed: u64) -> Duration {
    Duration::from_millis(200 + seed * 137 % 500)
}

/// A VM of the first replica of a zone, selected by the seed.
fn member(local: &Local, zone: &str, seed: u64) -> String {
    let replica = &common::assignment(local, zone).replicas[0];
    let rank = usize::try_from(seed).unwrap() % replica.vms.len();
    replica.vms[rank].id.to_string()
}

/// Waits until every node can dispatch to `wanted` replicas.
async fn wait_serving(local: &Local, wanted: usize) {
    let is_serving = || local.nodes.values().all(|node| common::serving(node).len() == wanted);
    common::wait_until("all replicas serve again", REPAIR_TIMEOUT, is_serving).await;
}

async fn two_zones() -> (Local, Oracle) {
    let mut plan = Plan::zones(&["zone-a", "zone-b"]);
    plan.zones.iter_mut().for_each(|zone| zone.fabrics = 1);
    (common::open(plan, 1).await, Oracle::open().await)
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_down_and_vm_crash(seed: u64) {
    let mut plan = common::one_zone(2, 2, 4);
    plan.zones[0].services = 2;
    let (local, oracle) = (common::open(plan, 2).await, Oracle::open().await);
    Load::run_during(&local, &oracle, async {
        local.store.switch("down", true, Some(0)).unwrap();
        tokio::time::sleep(delay(seed)).await;
        local.engines[&member(&local, "zone-a", seed)].switch("crash", true, None).unwrap();
        tokio::time::sleep(Duration::from_secs(3)).await;
        local.store.switch("down", false, None).unwrap();
        wait_serving(&local, 2).await;
    })
    .await;
    local.shutdown().await;
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_answers_lost_and_node_stop(seed: u64) {
    let plan = common::one_zone(3, 1, 4);
    let (mut local, oracle) = (common::open(plan, 1).await, Oracle::open().await);
    let name = common::lease_holder(&local, "zone-a").unwrap();
    // The stopping node must complete its own stream and order.
    let caller = common::caller(&local.nodes[&name]);
    local.services[0].1.switch("slow", true, Some(800)).unwrap();
    local.store.switch("answer-lost", true, Some(1 + seed)).unwrap();
    let stream = tokio::spawn(async move { common::generate(&caller, "long", 300).await });
    let caller = common::caller(&local.nodes[&name]);
    let order = tokio::spawn(async move { common::outcome(&common::order(&caller, "last").await) });
    tokio::time::sleep(delay(seed)).await;
    local.stop_node(&name).await;
    let ended = stream.await.unwrap();
    assert!(oracle.check("long", 300, &ended).await, "the stop interrupted a stream: {ended:?}");
    let (status, outcome) = order.await.unwrap();
    let runs = common::runs(&local, "last");
    assert!(if outcome == "not-run" { runs == 0 } else { runs == 1 }, "{status} {outcome} {runs}");
    local.services[0].1.switch("slow", false, None).unwrap();
    Load::run_during(&local, &oracle, async {
        let lost = member(&local, "zone-a", seed);
        local.engines[&lost].switch("crash", true, None).unwrap();
        let is_repaired = || common::assignment(&local, "zone-a").replicas[0].epoch > 1;
        common::wait_until("the next holder repairs", REPAIR_TIMEOUT, is_repaired).await;
        wait_serving(&local, 1).await;
    })
    .await;
    local.shutdown().await;
}

#[test_case(200; "200 ms")]
#[test_case(600; "600 ms")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_out_and_store_slow(millis: u64) {
    let (local, oracle) = two_zones().await;
    Load::run_during(&local, &oracle, async {
        local.store.switch("slow", true, Some(millis)).unwrap();
        let out = common::zone_note("out", 1, "zone-b", "out");
        let mut verdict = local.apply(&out).await.unwrap();
        while verdict != (Verdict::Accepted { revision: 2 }) {
            let is_retryable =
                matches!(verdict, Verdict::Unavailable { .. } | Verdict::Unknown { .. });
            assert!(is_retryable, "{verdict:?}");
            tokio::time::sleep(Duration::from_millis(200)).await;
            verdict = local.apply(&out).await.unwrap();
        }
        let is_out = || local.nodes.values().all(|node| common::revision(node) == 2);
        common::wait_until("the note is in force", CONFIG_TIMEOUT + SLACK, is_out).await;
        let before = common::generation_count(&local, "zone-b");
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            common::generation_count(&local, "zone-b"),
            before,
            "new requests in the zone out of service"
        );
        local.store.switch("slow", false, None).unwrap();
    })
    .await;
    local.shutdown().await;
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vm_pause_and_node_restart(seed: u64) {
    let (mut local, oracle) =
        (common::open(common::one_zone(2, 1, 4), 1).await, Oracle::open().await);
    let paused = member(&local, "zone-a", seed);
    local.engines[&paused].switch("pause", true, None).unwrap();
    tokio::time::sleep(delay(seed)).await;
    let name = common::lease_holder(&local, "zone-a").unwrap();
    local.stop_node(&name).await;
    local.start_node(&name).unwrap();
    common::wait_ready(&local).await;
    Load::run_during(&local, &oracle, async {
        let is_replaced = || {
            let replicas = common::assignment(&local, "zone-a").replicas;
            replicas.iter().flat_map(|r| &r.vms).all(|vm| vm.id.as_str() != paused)
        };
        common::wait_until("the paused VM is replaced", REPAIR_TIMEOUT, is_replaced).await;
        wait_serving(&local, 1).await;
        local.engines[&paused].switch("pause", false, None).unwrap();
        let is_idle = || local.engines[&paused].api().report().replica.is_none();
        common::wait_until("the returned VM is released", REPAIR_TIMEOUT, is_idle).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    })
    .await;
    local.shutdown().await;
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_and_zone_out(seed: u64) {
    let (local, oracle) = two_zones().await;
    Load::run_during(&local, &oracle, async {
        tokio::time::sleep(delay(seed)).await;
        local.store.switch("silent", true, None).unwrap();
        local.vms.switch("silent", true, None).unwrap();
        local.engines.values().for_each(|vm| vm.switch("silent", true, None).unwrap());
        let out = common::zone_note("out", 1, "zone-b", "out");
        assert_eq!(local.apply(&out).await.unwrap(), Verdict::Accepted { revision: 2 });
        let is_out = || local.nodes.values().all(|node| common::revision(node) == 2);
        common::wait_until("the note is in force", CONFIG_TIMEOUT + SLACK, is_out).await;
        // Streams on silent connections are moved to other upstreams within 5 s.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = common::generation_count(&local, "zone-b");
        tokio::time::sleep(Duration::from_secs(6)).await;
        assert_eq!(
            common::generation_count(&local, "zone-b"),
            before,
            "new requests in the zone out of service"
        );
    })
    .await;
    local.shutdown().await;
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_vm_crashes_in_one_fabric_domain(seed: u64) {
    let (local, oracle) = (common::open(common::one_zone(2, 2, 4), 1).await, Oracle::open().await);
    Load::run_during(&local, &oracle, async {
        let lost = [member(&local, "zone-a", seed), member(&local, "zone-a", seed + 1)];
        local.engines[&lost[0]].switch("crash", true, None).unwrap();
        tokio::time::sleep(delay(seed)).await;
        local.engines[&lost[1]].switch("crash", true, None).unwrap();
        let is_moved = || {
            let replicas = common::assignment(&local, "zone-a").replicas;
            replicas.iter().flat_map(|r| &r.vms).all(|vm| !lost.contains(&vm.id.to_string()))
        };
        common::wait_until("the lost VMs are replaced", REPAIR_TIMEOUT, is_moved).await;
        wait_serving(&local, 1).await;
    })
    .await;
    local.shutdown().await;
}
