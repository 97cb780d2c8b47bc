//! Requests to engines.

use bytes::BufMut;
use corneltrestle_client::Result;
use hyper::header;

use crate::engine::{self, http};

type Outgoing = hyper::Request<http_body_util::Full<bytes::Bytes>>;

pub(super) fn get(target: &str) -> Result<Outgoing> {
    hyper::Request::get(target)
        .body(http_body_util::Full::default())
        .map_err(corneltrestle_client::Error::invalid)
}

pub(super) fn order(order: &engine::Order<'_>) -> Result<Outgoing> {
    let body = serde_json::to_vec(order).map_err(corneltrestle_client::Error::invalid)?;
    hyper::Request::post("/v1/orders")
        .header(header::CONTENT_TYPE, json())
        .body(http_body_util::Full::new(body.into()))
        .map_err(corneltrestle_client::Error::invalid)
}

pub(super) fn cancel(id: &str) -> Result<Outgoing> {
    let target = format!("/v1/requests/{}", segment(id)?);
    hyper::Request::delete(target)
        .body(http_body_util::Full::default())
        .map_err(corneltrestle_client::Error::invalid)
}

pub(super) fn export(id: &str) -> Result<Outgoing> {
    get(&format!("/v1/kv/{}", segment(id)?))
}

pub(super) fn import(id: &str, cache: bytes::Bytes) -> Result<Outgoing> {
    let target = format!("/v1/kv/{}", segment(id)?);
    hyper::Request::put(target)
        .body(http_body_util::Full::new(cache))
        .map_err(corneltrestle_client::Error::invalid)
}

pub(super) fn generate(wanted: &engine::Generate<'_>) -> Result<Outgoing> {
    let body = match &wanted.resume {
        Some(resume) => with_resume(wanted.body, resume)?,
        None => wanted.body.clone(),
    };
    let left = u64::try_from(wanted.remaining.as_millis()).unwrap_or(u64::MAX);
    hyper::Request::post(wanted.path)
        .header(header::CONTENT_TYPE, json())
        .header(http::REQUEST_ID, wanted.id)
        .header("x-replica", wanted.replica.to_string())
        .header("x-epoch", wanted.epoch)
        .header("x-start", wanted.start)
        .header("x-priority", u16::from(wanted.priority))
        .header("x-deadline-ms", left)
        .body(http_body_util::Full::new(body))
        .map_err(corneltrestle_client::Error::invalid)
}

/// Adds the field `resume` before the closing brace of a JSON object. The object is not parsed: it
/// was checked when the request was accepted.
fn with_resume(body: &[u8], resume: &engine::Resume<'_>) -> Result<bytes::Bytes> {
    let not_object = || corneltrestle_client::Error::invalid("the body is not a JSON object");
    let fields = body.trim_ascii().strip_suffix(b"}").ok_or_else(not_object)?.trim_ascii_end();
    if fields.first() != Some(&b'{') {
        return Err(not_object());
    }
    let resume = serde_json::to_vec(resume).map_err(corneltrestle_client::Error::invalid)?;
    let mut out = bytes::BytesMut::with_capacity(fields.len() + resume.len() + 12);
    out.put_slice(fields);
    if fields.len() > 1 {
        out.put_u8(b',');
    }
    out.put_slice(b"\"resume\":");
    out.put_slice(&resume);
    out.put_u8(b'}');
    Ok(out.freeze())
}

/// An id as a path segment; other characters could lead to another path.
fn segment(id: &str) -> Result<&str> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_~.".contains(&byte);
    if id.bytes().all(plain) && !matches!(id, "" | "." | "..") {
        Ok(id)
    } else {
        Err(corneltrestle_client::Error::invalid("the request id is not a path segment"))
    }
}

fn json() -> header::HeaderValue {
    header::HeaderValue::from_static("application/json")
}
