//! Requests to engines.

use bytes::{BufMut, Bytes, BytesMut};
use corneltrestle_client::{Error, Result};
use http_body_util::Full;
use hyper::Request;
use hyper::header::{self, HeaderValue};

use super::REQUEST_ID;
use crate::engine::{Generate, Order, Resume};

type Outgoing = Request<Full<Bytes>>;

pub(super) fn get(target: &str) -> Result<Outgoing> {
    Request::get(target).body(Full::default()).map_err(Error::invalid)
}

pub(super) fn order(order: &Order<'_>) -> Result<Outgoing> {
    let body = serde_json::to_vec(order).map_err(Error::invalid)?;
    Request::post("/v1/orders")
        .header(header::CONTENT_TYPE, json())
        .body(Full::new(body.into()))
        .map_err(Error::invalid)
}

pub(super) fn cancel(id: &str) -> Result<Outgoing> {
    let target = format!("/v1/requests/{}", segment(id)?);
    Request::delete(target).body(Full::default()).map_err(Error::invalid)
}

pub(super) fn export(id: &str) -> Result<Outgoing> {
    get(&format!("/v1/kv/{}", segment(id)?))
}

pub(super) fn import(id: &str, cache: Bytes) -> Result<Outgoing> {
    let target = format!("/v1/kv/{}", segment(id)?);
    Request::put(target).body(Full::new(cache)).map_err(Error::invalid)
}

pub(super) fn generate(wanted: &Generate<'_>) -> Result<Outgoing> {
    let body = match &wanted.resume {
        Some(resume) => with_resume(wanted.body, resume)?,
        None => wanted.body.clone(),
    };
    let left = u64::try_from(wanted.left.as_millis()).unwrap_or(u64::MAX);
    Request::post(wanted.path)
        .header(header::CONTENT_TYPE, json())
        .header(REQUEST_ID, wanted.id)
        .header("x-replica", wanted.replica.to_string())
        .header("x-epoch", wanted.epoch)
        .header("x-priority", u16::from(wanted.priority))
        .header("x-deadline-ms", left)
        .body(Full::new(body))
        .map_err(Error::invalid)
}

/// Adds the field `resume` before the closing brace of a JSON object. The object is not parsed: it
/// was checked when the request was accepted.
fn with_resume(body: &[u8], resume: &Resume<'_>) -> Result<Bytes> {
    let not_object = || Error::invalid("the body is not a JSON object");
    let fields = body.trim_ascii().strip_suffix(b"}").ok_or_else(not_object)?.trim_ascii_end();
    if fields.first() != Some(&b'{') {
        return Err(not_object());
    }
    let resume = serde_json::to_vec(resume).map_err(Error::invalid)?;
    let mut out = BytesMut::with_capacity(fields.len() + resume.len() + 12);
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
        Err(Error::invalid("the request id is not a path segment"))
    }
}

fn json() -> HeaderValue {
    HeaderValue::from_static("application/json")
}
