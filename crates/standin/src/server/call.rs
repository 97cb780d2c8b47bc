//! Received calls and the replies to them.

use std::borrow;

use corneltrestle_wire::openai;
use http_body_util::BodyExt;
use hyper::{body, header};

use crate::server;

/// The reply to a call.
pub type Reply = hyper::Response<server::Body>;

/// Largest request body; base64 makes the store's value limit of 1 MiB a third larger.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A call with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Request headers.
    pub headers: hyper::HeaderMap,
    /// Complete body, at most 4 MiB.
    pub body: bytes::Bytes,
}

impl Call {
    /// Reads a request with its body; `None` if the body is incomplete or too large.
    pub(super) async fn read(request: hyper::Request<body::Incoming>) -> Option<Self> {
        let (head, body) = request.into_parts();
        let body =
            http_body_util::Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
        let path = head.uri.path().to_owned();
        let query = head.uri.query().unwrap_or("").to_owned();
        Some(Self { method: head.method, path, query, headers: head.headers, body })
    }

    /// The value of a header; empty if it is absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The value of `x-request-id`; empty if it is absent.
    pub fn request_id(&self) -> &str {
        self.header("x-request-id")
    }

    /// A query parameter as a number; `None` if it is absent or not a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
    }
}

/// A reply with a JSON body.
pub fn json<T: serde::Serialize>(status: hyper::StatusCode, value: &T) -> Reply {
    let bytes = serde_json::to_vec(value).expect("stand-ins' values are plain JSON");
    let mut reply = reply(status, server::Body::whole(bytes.into()));
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    reply
}

/// A reply with a status and a body.
pub fn reply(status: hyper::StatusCode, body: server::Body) -> Reply {
    let mut reply = hyper::Response::new(body);
    *reply.status_mut() = status;
    reply
}

/// An error in the form of [`openai::ErrorBody`].
pub fn failure(status: hyper::StatusCode, code: &str, message: &str) -> Reply {
    let error = openai::ErrorInfo {
        code: borrow::Cow::Borrowed(code),
        message: borrow::Cow::Borrowed(message),
        step: borrow::Cow::Borrowed("standin"),
        retry_after_ms: None,
    };
    json(status, &openai::ErrorBody { error })
}
