//! Messages of the etcd v3 JSON gateway, reduced to the fields that the client uses.
//!
//! As in all Protobuf JSON, 64-bit integers are strings, bytes are base64, and fields with their
//! default value are absent.

use std::fmt;

use base64::{Engine as _, engine::general_purpose};
use serde::{
    Deserialize, Serialize,
    de::{self, Error as _, Visitor},
    ser,
};

use corneltrestle_infra::store;

/// Bytes that are sent as base64.
#[derive(Clone, Copy)]
pub(super) struct Base64<'a>(pub(super) &'a [u8]);

/// A 64-bit integer that is sent as a string.
#[derive(Clone, Copy, Serialize)]
#[serde(transparent)]
pub(super) struct Int64(#[serde(serialize_with = "as_text")] pub(super) i64);

#[derive(Serialize)]
pub(super) struct Range<'a> {
    pub(super) key: Base64<'a>,
}

#[derive(Serialize)]
pub(super) struct Txn<'a> {
    pub(super) compare: [Compare<'a>; 1],
    pub(super) success: [PutOp<'a>; 1],
    pub(super) failure: [RangeOp<'a>; 1],
}

#[derive(Serialize)]
pub(super) struct Compare<'a> {
    key: Base64<'a>,
    target: &'static str,
    result: &'static str,
    mod_revision: Int64,
}

#[derive(Serialize)]
pub(super) struct PutOp<'a> {
    request_put: Put<'a>,
}

#[derive(Serialize)]
pub(super) struct Put<'a> {
    key: Base64<'a>,
    value: Base64<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<Int64>,
}

#[derive(Serialize)]
pub(super) struct RangeOp<'a> {
    request_range: Range<'a>,
}

#[derive(Serialize)]
pub(super) struct Grant {
    #[serde(rename = "TTL")]
    pub(super) ttl: Int64,
}

#[derive(Serialize)]
pub(super) struct Lease {
    #[serde(rename = "ID")]
    pub(super) id: Int64,
}

#[derive(Serialize)]
pub(super) struct Watch<'a> {
    pub(super) create_request: CreateWatch<'a>,
}

#[derive(Serialize)]
pub(super) struct CreateWatch<'a> {
    pub(super) key: Base64<'a>,
    pub(super) start_revision: Int64,
    pub(super) progress_notify: bool,
}

#[derive(Deserialize)]
pub(super) struct Header {
    #[serde(deserialize_with = "int64")]
    pub(super) revision: i64,
}

#[derive(Deserialize)]
pub(super) struct RangeResponse {
    pub(super) header: Header,
    #[serde(default)]
    pub(super) kvs: Vec<KeyValue>,
}

/// The result of a range request within a transaction; its header is not used.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResult {
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
pub(super) struct KeyValue {
    #[serde(deserialize_with = "int64")]
    mod_revision: i64,
    /// Absent if empty.
    #[serde(default, deserialize_with = "base64")]
    value: Vec<u8>,
}

#[derive(Deserialize)]
pub(super) struct TxnResponse {
    pub(super) header: Header,
    /// Absent if false.
    #[serde(default)]
    pub(super) succeeded: bool,
    #[serde(default)]
    responses: Vec<OpResponse>,
}

#[derive(Deserialize)]
struct OpResponse {
    response_range: Option<RangeResult>,
}

#[derive(Deserialize)]
pub(super) struct GrantResponse {
    #[serde(rename = "ID", deserialize_with = "int64")]
    pub(super) id: i64,
}

#[derive(Deserialize)]
pub(super) struct KeepAlive {
    /// Remaining time in seconds; absent if the lease has expired.
    #[serde(rename = "TTL", default, deserialize_with = "int64")]
    pub(super) ttl: i64,
}

/// A response whose fields are not used.
#[derive(Deserialize)]
pub(super) struct Empty {}

/// A message of a streaming call, with either a result or an error.
#[derive(Deserialize)]
pub(super) struct Streamed<T> {
    pub(super) result: Option<T>,
    pub(super) error: Option<Failure>,
}

/// An error response of a unary call, or the error in a message of a streaming call.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(super) struct Failure {
    /// HTTP status; only in messages of a streaming call.
    pub(super) http_code: Option<u16>,
    /// gRPC status code.
    pub(super) code: Option<u16>,
    pub(super) message: String,
}

#[derive(Deserialize)]
pub(super) struct WatchResponse {
    #[serde(default)]
    pub(super) canceled: bool,
    #[serde(default)]
    pub(super) cancel_reason: String,
    #[serde(default)]
    pub(super) events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
pub(super) struct WatchEvent {
    /// Absent if it is a put.
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: KeyValue,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

impl<'a> Txn<'a> {
    /// Writes the key if its last write was at the revision `expected`, otherwise reads it.
    pub(super) fn swap(key: &'a str, expected: Int64, value: &'a [u8], lease: Option<i64>) -> Self {
        let key = Base64(key.as_bytes());
        let put = Put { key, value: Base64(value), lease: lease.map(Int64) };
        Self {
            compare: [Compare { key, target: "MOD", result: "EQUAL", mod_revision: expected }],
            success: [PutOp { request_put: put }],
            failure: [RangeOp { request_range: Range { key } }],
        }
    }
}

impl TxnResponse {
    /// The current value of the key after a conflict (inner `None` if the key is absent); outer
    /// `None` if the response does not contain the read.
    pub(super) fn current(self) -> Option<Option<store::Versioned>> {
        let range = self.responses.into_iter().next()?.response_range?;
        Some(first(range.kvs))
    }
}

impl From<KeyValue> for store::Versioned {
    fn from(kv: KeyValue) -> Self {
        Self { version: version(kv.mod_revision), value: kv.value }
    }
}

impl From<WatchEvent> for store::Event {
    fn from(event: WatchEvent) -> Self {
        Self::Changed((event.kind == EventKind::Put).then(|| event.kv.into()))
    }
}

/// The value of the one key that was read; `None` if it is absent.
pub(super) fn first(kvs: Vec<KeyValue>) -> Option<store::Versioned> {
    kvs.into_iter().next().map(store::Versioned::from)
}

/// Converts a revision, which etcd never makes negative.
pub(super) fn version(revision: i64) -> store::Version {
    u64::try_from(revision).unwrap_or(0)
}

impl Serialize for Base64<'_> {
    fn serialize<S: ser::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(&base64::display::Base64Display::new(self.0, &general_purpose::STANDARD))
    }
}

fn as_text<S: ser::Serializer>(value: &i64, out: S) -> Result<S::Ok, S::Error> {
    out.collect_str(value)
}

fn base64<'de, D: de::Deserializer<'de>>(input: D) -> Result<Vec<u8>, D::Error> {
    struct Text;
    impl Visitor<'_> for Text {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("base64")
        }

        fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Vec<u8>, E> {
            general_purpose::STANDARD.decode(text).map_err(E::custom)
        }
    }
    input.deserialize_str(Text)
}

fn int64<'de, D: de::Deserializer<'de>>(input: D) -> Result<i64, D::Error> {
    struct Text;
    impl Visitor<'_> for Text {
        type Value = i64;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("an integer as a string")
        }

        fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<i64, E> {
            text.parse().map_err(E::custom)
        }

        fn visit_i64<E: serde::de::Error>(self, value: i64) -> Result<i64, E> {
            Ok(value)
        }

        fn visit_u64<E: serde::de::Error>(self, value: u64) -> Result<i64, E> {
            i64::try_from(value).map_err(E::custom)
        }
    }
    input.deserialize_any(Text).map_err(D::Error::custom)
}
