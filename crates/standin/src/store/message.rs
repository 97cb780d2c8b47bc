//! Messages of the etcd v3 JSON gateway: 64-bit numbers as strings, keys and values in base64.

use base64::{Engine, engine::general_purpose};
use serde::{Deserialize, de};
use serde_json::json;

use crate::server;

/// The result of a call to the store.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// An error response of the gateway.
#[derive(Debug)]
pub(super) struct Error {
    status: hyper::StatusCode,
    /// gRPC status code.
    code: u8,
    message: String,
}

impl Error {
    pub(super) fn invalid(message: impl Into<String>) -> Self {
        Self { status: hyper::StatusCode::BAD_REQUEST, code: 3, message: message.into() }
    }

    pub(super) fn not_found() -> Self {
        Self { status: hyper::StatusCode::NOT_FOUND, code: 5, message: "Not Found".to_owned() }
    }

    pub(super) fn lease_not_found() -> Self {
        let message = "etcdserver: requested lease not found".to_owned();
        Self { status: hyper::StatusCode::NOT_FOUND, code: 5, message }
    }

    pub(super) fn reply(&self) -> server::Reply {
        let body = json!({"error": self.message, "code": self.code, "message": self.message});
        server::json(self.status, &body)
    }
}

pub(super) fn decode<T: de::DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| Error::invalid(e.to_string()))
}

pub(super) fn encode(bytes: &[u8]) -> String {
    general_purpose::STANDARD.encode(bytes)
}

/// Deserializes bytes from base64.
fn bytes<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> std::result::Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    general_purpose::STANDARD.decode(text).map_err(de::Error::custom)
}

/// Deserializes a number from a string or a JSON number, both of which the gateway accepts.
fn number<'de, D: serde::Deserializer<'de>>(deserializer: D) -> std::result::Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum StringOrNumber {
        Text(String),
        Number(i64),
    }
    match StringOrNumber::deserialize(deserializer)? {
        StringOrNumber::Text(text) => text.parse().map_err(de::Error::custom),
        StringOrNumber::Number(number) => Ok(number),
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct Range {
    #[serde(deserialize_with = "bytes")]
    pub(super) key: Vec<u8>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Put {
    #[serde(deserialize_with = "bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, deserialize_with = "bytes")]
    pub(super) value: Vec<u8>,
    #[serde(default, deserialize_with = "number")]
    pub(super) lease: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Txn {
    pub(super) compare: [Compare; 1],
    #[serde(default)]
    pub(super) success: Vec<Operation>,
    #[serde(default)]
    pub(super) failure: Vec<Operation>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Compare {
    pub(super) target: Target,
    #[serde(default)]
    pub(super) result: Comparison,
    #[serde(deserialize_with = "bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, alias = "modRevision", deserialize_with = "number")]
    pub(super) mod_revision: i64,
}

/// What a comparison reads; only the revision of the last change is supported.
#[derive(Debug, Deserialize)]
pub(super) enum Target {
    #[serde(rename = "MOD")]
    Mod,
}

/// How a comparison compares; only equality is supported.
#[derive(Debug, Default, Deserialize)]
pub(super) enum Comparison {
    #[default]
    #[serde(rename = "EQUAL")]
    Equal,
}

#[derive(Debug, Deserialize)]
pub(super) enum Operation {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
}

#[derive(Debug, Deserialize)]
pub(super) struct Grant {
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub(super) ttl: i64,
    #[serde(rename = "ID", default, deserialize_with = "number")]
    pub(super) id: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Lease {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub(super) id: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct Watch {
    #[serde(alias = "createRequest")]
    pub(super) create_request: CreateRequest,
}

#[derive(Debug, Deserialize)]
pub(super) struct CreateRequest {
    #[serde(deserialize_with = "bytes")]
    pub(super) key: Vec<u8>,
    #[serde(default, alias = "startRevision", deserialize_with = "number")]
    pub(super) start_revision: i64,
    #[serde(default, alias = "progressNotify")]
    pub(super) progress_notify: bool,
}
