//! Guards invariant (e): each caller gets the complete answer to its own request or is told that
//! it does not, whatever happens to the engine in mid stream.

mod common;

use std::time::Duration;

use common::{Ended, Oracle};
use futures_util::future;
use hyper::Method;
use test_case::test_case;

const TOKENS: u64 = 200;

/// Which heads get the fault.
#[derive(Clone, Copy, PartialEq)]
enum At {
    One,
    Both,
}

#[test_case("wrong-id", Some(20), At::One; "foreign events from one engine")]
#[test_case("wrong-id", Some(20), At::Both; "foreign events from all engines")]
#[test_case("wrong-id", Some(0), At::One; "foreign headers from one engine")]
#[test_case("truncate", Some(20), At::One; "cut by one engine")]
#[test_case("truncate", Some(20), At::Both; "cut by all engines")]
#[test_case("crash", None, At::One; "head crash")]
#[test_case("crash", None, At::Both; "all heads crash")]
#[test_case("pause", None, At::One; "head pause")]
#[test_case("silent", None, At::One; "silent connections of one engine")]
#[test_case("silent", None, At::Both; "silent connections of all engines")]
#[test_case("cold-again", None, At::One; "cold again")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_is_whole_or_the_caller_is_told(fault: &str, value: Option<u64>, at: At) {
    let plan = common::one_zone(2, 2, 3);
    let (local, oracle) = (common::open(plan, 2).await, Oracle::open().await);
    let replicas = common::stored(&local, "zone-a").replicas;
    let heads = || replicas.iter().map(|replica| &local.engines[replica.vms[0].id.as_str()]);
    let switch = |on: bool| {
        let count = if at == At::One { 1 } else { 2 };
        heads().take(count).for_each(|head| head.switch(fault, on, value).unwrap());
    };
    // Faults that apply from the start of an answer are there before it; others come in the middle.
    let is_early = value.is_some();
    if is_early {
        switch(true);
    }
    let prompts: Vec<_> = (0..4).map(|number| format!("{fault} {number}")).collect();
    let callers: Vec<_> = local.nodes.values().map(common::caller).collect();
    let streams = prompts
        .iter()
        .enumerate()
        .map(|(number, prompt)| common::generate(&callers[number % 2], prompt, TOKENS));
    let script = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        if !is_early {
            switch(true);
        }
    };
    let (ended, ()) = tokio::join!(future::join_all(streams), script);
    let mut whole = 0;
    for (prompt, ended) in prompts.iter().zip(&ended) {
        whole += usize::from(oracle.check(prompt, TOKENS, ended).await);
    }
    if at == At::One || fault == "silent" {
        assert_eq!(whole, prompts.len(), "another replica could take over: {ended:?}");
    }
    if at == At::Both && is_early {
        assert_eq!(whole, 0, "{ended:?}");
    }
    local.shutdown().await;
}

#[test_case("truncate", Some(1); "cut")]
#[test_case("wrong-id", Some(0); "foreign")]
#[test_case("crash", None; "head crash")]
#[test_case("member-crash", None; "member crash")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unstreamed_answer_that_may_have_run_is_not_refused_as_not_run(
    fault: &str,
    value: Option<u64>,
) {
    let (local, oracle) = (common::open(common::one_zone(1, 1, 3), 1).await, Oracle::open().await);
    let rank = usize::from(fault == "member-crash");
    let fault = fault.trim_start_matches("member-");
    let head = common::stored(&local, "zone-a").replicas[0].vms[rank].id.to_string();
    let caller = common::caller(common::node(&local, "zone-a"));
    let headers = [("x-deadline-ms", "4000")];
    let body = common::body("unstreamed", TOKENS, false);
    let call = caller.call(Method::POST, "/v1/completions", &headers, body);
    let script = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        local.engines[&head].switch(fault, true, value).unwrap();
    };
    if value.is_some() {
        local.engines[&head].switch(fault, true, value).unwrap();
    }
    let (answer, ()) = tokio::join!(call, script);
    let answer = answer.unwrap();
    let (status, outcome) = common::outcome(&answer);
    if status == 200 {
        let answer: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        let text = answer["choices"][0]["text"].as_str().unwrap().to_owned();
        assert!(oracle.check("unstreamed", TOKENS, &Ended::Whole(text)).await);
    } else {
        assert_eq!(outcome, "unknown", "the engine began the request: {answer:?}");
    }
    local.shutdown().await;
}
