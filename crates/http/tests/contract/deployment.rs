//! Deployments with one node, one engine and one plain service.

use std::time::Duration;

use corneltrestle_local::{Local, Node, Plan, client};
use corneltrestle_node::{digest, operate};
use hyper::{Method, StatusCode};

pub(crate) const KEY: &str = "key-of-the-organisation-acme";

/// Settings with limits that are low enough to be reached in tests and high enough for valid
/// requests on a busy machine.
pub(crate) const LIMITS: &str = "[callers]\nbody-limit = 2048\nbody-time = 1s\nheader-time = 1s\n\
                                 connections = 8\n";

/// Opens a deployment without a release; `settings` are added to those of the nodes.
pub(crate) async fn without_release(settings: &str) -> Local {
    let mut plan = Plan::zones(&["zone-a"]);
    plan.settings = settings.to_owned();
    for zone in &mut plan.zones {
        (zone.nodes, zone.fabrics, zone.vms) = (1, 1, 1);
    }
    open(plan).await
}

/// Opens a deployment with a model service `chat` and a plain service `desk`.
pub(crate) async fn ready(settings: &str) -> Local {
    let local = without_release(settings).await;
    let verdict = local.apply(&note(&local)).await.unwrap();
    assert_eq!(verdict, operate::Verdict::Accepted { revision: 1 });
    local
}

/// Opens a deployment and waits until its nodes are ready.
pub(crate) async fn open(plan: Plan) -> Local {
    let local = Local::open(plan).await.unwrap();
    for node in local.nodes.values() {
        let caller = client::Client::new(node.callers, KEY);
        for attempt in 0.. {
            let response = caller.call(Method::GET, "/readyz", &[], Vec::new()).await.unwrap();
            if response.status == StatusCode::OK {
                break;
            }
            assert!(attempt < 400, "the node did not become ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    local
}

/// The release note of [`ready`].
pub(crate) fn note(local: &Local) -> String {
    format!(
        "[note]\nid = first\nbase = 0\n\
         [zone zone-a]\nchange = add\nstate = in\n\
         [organisation acme]\nchange = add\nkey-hash = {}\nweight = 1\nrate = 100\nconcurrency = 100\n\
         [service chat]\nchange = add\nkind = model\nmodel = small\ntimeout = 20s\n\
         [service desk]\nchange = add\nkind = plain\nprefix = /desk\nupstreams = zone-a {}\n\
         repeatable = GET /stock/*\ntimeout = 10s\n\
         [group chat-a]\nchange = add\nservice = chat\nzone = zone-a\nvms = 1\nreplicas = 1\n\
         model = small\nversion = 1\nfencing = checked\n",
        digest::key(KEY),
        local.services[0].1.address(),
    )
}

/// The first node.
pub(crate) fn node(local: &Local) -> &Node {
    local.nodes.values().next().unwrap()
}

/// Asserts that a valid request is still served.
pub(crate) async fn expect_service(local: &Local) {
    let caller = client::Client::new(node(local).callers, KEY);
    let body = br#"{"model":"small","max_tokens":4,"prompt":"hello"}"#;
    let response = caller.call(Method::POST, "/v1/completions", &[], body.to_vec()).await.unwrap();
    assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
}
