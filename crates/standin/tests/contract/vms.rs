//! VM list: guards against a format that differs from Prometheus HTTP service discovery.

use corneltrestle_policy::vm;
use corneltrestle_standin::vms;
use serde_json::json;

use crate::client::Client;

pub(crate) fn vm(name: &str) -> vm::Vm {
    vm::Vm {
        id: name.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "bilbao".into(),
        fabric: "f1".into(),
        role: vm::Role::Engine,
        state: vm::State::Leaving,
        accelerators: 8,
    }
}

#[tokio::test]
async fn list_has_the_format_of_service_discovery_and_can_be_replaced() {
    let config = vms::Config { vms: vec![vm("a")], ..vms::Config::default() };
    let (client, list) = (Client::new(), vms::bind(config).await.unwrap());
    let labels = json!({"vm": "a", "zone": "bilbao", "fabric": "f1", "role": "engine", "state": "leaving", "accelerators": "8"});
    let first = client.get(list.address(), "/v1/vms").await.unwrap().json;
    assert_eq!(first, json!([{"targets": ["127.0.0.1:9"], "labels": labels}]));
    list.api().set(&[]);
    assert_eq!(client.get(list.address(), "/v1/vms").await.unwrap().json, json!([]));
    client.post(list.address(), "/control/vms", first.clone()).await.unwrap();
    assert_eq!(client.get(list.address(), "/v1/vms").await.unwrap().json, first);
    let refused = client.post(list.address(), "/control/vms", json!([{}])).await.unwrap();
    assert_eq!(refused.status, 400);
}
