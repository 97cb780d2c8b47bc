//! Guards invariant (i): a planned stop of a node cuts off no request in progress, and hands over
//! the zone lease at once.

mod common;

use std::time::Duration;

use common::{FORMED, Oracle, VIEW};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_cuts_no_stream_and_hands_over_the_lease() {
    let (mut local, oracle) =
        (common::open(common::one_zone(2, 1, 3), 1).await, Oracle::open().await);
    let name = common::holder(&local, "zone-a").unwrap();
    let caller = common::caller(&local.nodes[&name]);
    let stream = tokio::spawn(async move { common::generate(&caller, "long", 400).await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    local.stop_node(&name).await;
    let ended = stream.await.unwrap();
    assert!(oracle.check("long", 400, &ended).await, "the stop cut a stream: {ended:?}");
    let other = || common::holder(&local, "zone-a").is_some_and(|holder| holder != name);
    common::until("another node holds the lease", VIEW, other).await;
    local.shutdown().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_loses_no_answer() {
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
        common::until("the restarted node serves", FORMED, serves).await;
        common::ready(&local).await;
    }
    local.shutdown().await;
}
