//! Order service: guards against wrong counts, with which tests of at-most-once execution would miss
//! an order that ran twice.

use corneltrestle_standin::service;
use hyper::Method;
use serde_json::{Value, json};

use crate::client::{Answer, Client};

/// Sends an order with the key `k` and the request id `r`.
pub(crate) async fn order(client: &Client, service: &service::Handle) -> Result<Answer, String> {
    let headers = [("idempotency-key", "k"), ("x-request-id", "r")];
    client.call(Method::POST, service.address(), "/orders", &headers, &json!({"item": "i"})).await
}

#[tokio::test]
async fn every_execution_of_an_order_is_counted_and_reads_are_not() {
    let config = service::Config::default();
    let (client, service) = (Client::new(), service::bind(config).await.unwrap());
    let unknown = client.get(service.address(), "/orders/k/status").await.unwrap();
    assert_eq!(unknown.status, 404);
    let first = order(&client, &service).await.unwrap();
    assert_eq!(
        (first.status.as_u16(), &first.headers["x-request-id"]),
        (201, &"r".parse().unwrap())
    );
    order(&client, &service).await.unwrap();
    let status = client.get(service.address(), "/orders/k/status").await.unwrap().json;
    assert_eq!(status, json!({"key": "k", "state": "placed", "runs": 2}));
    let stock = client.get(service.address(), "/stock/i").await.unwrap().json;
    assert_eq!(client.get(service.address(), "/stock/i").await.unwrap().json, stock);
    assert_eq!((service.api().runs().keys["k"], service.api().runs().total), (2, 2));
    let runs = client.get(service.address(), "/control/runs").await.unwrap().json;
    assert_eq!(runs, json!({"keys": {"k": 2}, "requests": {"r": 2}, "total": 2}));
    let counts = client.get(service.address(), "/control/counts").await.unwrap().json;
    assert_eq!(counts, json!({"order": 2, "status": 2, "stock": 2}));
    assert_eq!(
        client.get(service.address(), "/other").await.unwrap().json["error"]["code"],
        Value::from("unknown")
    );
}
