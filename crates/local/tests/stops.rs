//! Guards against a graceful stop of a node that interrupts requests in progress or does not release the
//! zone lease at once (invariant i).

mod common;

use std::time::Duration;

use common::{Oracle, REPAIR_TIMEOUT, REPORT_MAX_AGE};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_interrupts_no_stream_and_releases_the_lease() {
    let (mut local, oracle) =
        (common::open(common::one_zone(2, 1, 3), 1).await, Oracle::open().await);
    let name = common::lease_holder(&local, "zone-a").unwrap();
    let caller = common::caller(&local.nodes[&name]);
    let stream = tokio::spawn(async move { common::generate(&caller, "long", 400).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    local.stop_node(&name).await;
    let ended = stream.await.unwrap();
    assert!(oracle.check("long", 400, &ended).await, "the stop interrupted a stream: {ended:?}");
    let other = || common::lease_holder(&local, "zone-a").is_some_and(|holder| holder != name);
    common::wait_until("another node holds the lease", REPORT_MAX_AGE, other).await;
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_interrupts_no_stream() {
    let plan = common::one_zone(2, 1, 3);
    let (mut local, oracle) = (common::open(plan, 1).await, Oracle::open().await);
    let names: Vec<_> = local.nodes.keys().cloned().collect();
    for (round, name) in names.iter().enumerate() {
        let prompts: Vec<_> = (0..4).map(|number| format!("round {round} {number}")).collect();
        let streams: Vec<_> = (prompts.iter().zip(names.iter().cycle()))
            .map(|(prompt, name)| (prompt.clone(), common::caller(&local.nodes[name])))
            .map(|(prompt, caller)| {
                tokio::spawn(async move { common::generate(&caller, &prompt, 200).await })
            })
            .collect();
        tokio::time::sleep(Duration::from_millis(300)).await;
        local.stop_node(name).await;
        for (prompt, stream) in prompts.iter().zip(streams) {
            let ended = stream.await.unwrap();
            assert!(oracle.check(prompt, 200, &ended).await, "{prompt}: {ended:?}");
        }
        local.start_node(name).unwrap();
        let serves = || common::serving(&local.nodes[name]).len() == 1;
        common::wait_until("the restarted node serves", REPAIR_TIMEOUT, serves).await;
        common::wait_ready(&local).await;
    }
    local.shutdown().await;
}
