//! HTTP client and polling helper of the tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Delay between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Checks before a test fails: half a minute, so that a busy machine does not cause a failure.
const MAX_POLLS: u32 = 6_000;

/// A client with its own connections that never retries a call.
#[derive(Clone)]
pub(crate) struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) json: Value,
}

/// The events received on a stream, and whether its end marker arrived.
#[derive(Debug, Default)]
pub(crate) struct Events {
    pub(crate) ids: Vec<String>,
    pub(crate) text: String,
    pub(crate) complete: bool,
}

impl Client {
    pub(crate) fn new() -> Self {
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        Self { inner: builder.retry_canceled_requests(false).build_http() }
    }

    pub(crate) async fn open(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Response<Incoming>, String> {
        let mut request = Request::builder().method(method).uri(format!("http://{peer}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = if body.is_null() { Bytes::new() } else { body.to_string().into() };
        let request = request.body(Full::new(body)).unwrap();
        self.inner.request(request).await.map_err(|e| e.to_string())
    }

    pub(crate) async fn call(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Answer, String> {
        let (head, body) = self.open(method, peer, path, headers, body).await?.into_parts();
        let bytes = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        let json = serde_json::from_slice(&bytes).unwrap_or_default();
        Ok(Answer { status: head.status, headers: head.headers, json })
    }

    pub(crate) async fn get(&self, peer: SocketAddr, path: &str) -> Result<Answer, String> {
        self.call(Method::GET, peer, path, &[], &Value::Null).await
    }

    pub(crate) async fn post(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Value,
    ) -> Result<Answer, String> {
        self.call(Method::POST, peer, path, &[], &body).await
    }
}

/// Reads a stream of events until it ends or its connection closes.
pub(crate) async fn events(mut response: Response<Incoming>) -> Events {
    let mut raw = Vec::new();
    while let Some(Ok(frame)) = response.body_mut().frame().await {
        raw.extend_from_slice(&frame.into_data().unwrap_or_default());
    }
    let raw = String::from_utf8(raw).unwrap();
    let mut seen = Events::default();
    // An event without the empty line at its end is incomplete.
    let whole = raw.rfind("\n\n").map_or("", |end| &raw[..end]);
    for event in whole.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap();
        if data == corneltrestle_wire::sse::DONE {
            seen.complete = true;
            continue;
        }
        seen.ids.extend(event.lines().find_map(|line| line.strip_prefix("id: ")).map(String::from));
        corneltrestle_wire::openai::append_text(&mut seen.text, data.as_bytes()).unwrap();
    }
    seen
}

/// Polls until a condition holds; fails the test if it does not within half a minute.
pub(crate) async fn wait_until(mut reached: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if reached().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the awaited condition did not become true");
}
