//! Builds the HTTP requests to engines.

use bytes::BufMut;
use corneltrestle_client::Result;
use hyper::header;

use crate::engine::{self, http};

type Request = hyper::Request<http_body_util::Full<bytes::Bytes>>;

pub(super) fn get(target: &str) -> Result<Request> {
    hyper::Request::get(target)
        .body(http_body_util::Full::default())
        .map_err(corneltrestle_client::Error::invalid)
}

pub(super) fn order(order: &engine::Order<'_>) -> Result<Request> {
    let body = serde_json::to_vec(order).map_err(corneltrestle_client::Error::invalid)?;
    hyper::Request::post("/v1/orders")
        .header(header::CONTENT_TYPE, json())
        .body(http_body_util::Full::new(body.into()))
        .map_err(corneltrestle_client::Error::invalid)
}

pub(super) fn cancel(id: &str) -> Result<Request> {
    let target = format!("/v1/requests/{}", segment(id)?);
    hyper::Request::delete(target)
        .body(http_body_util::Full::default())
        .map_err(corneltrestle_client::Error::invalid)
}

pub(super) fn export(id: &str) -> Result<Request> {
    get(&format!("/v1/kv/{}", segment(id)?))
}

pub(super) fn import(id: &str, cache: bytes::Bytes) -> Result<Request> {
    let target = format!("/v1/kv/{}", segment(id)?);
    hyper::Request::put(target)
        .body(http_body_util::Full::new(cache))
        .map_err(corneltrestle_client::Error::invalid)
}

pub(super) fn generate(generation: &engine::Generate<'_>) -> Result<Request> {
    let body = match &generation.resume {
        Some(resume) => with_resume(generation.body, resume)?,
        None => generation.body.clone(),
    };
    let deadline_ms = u64::try_from(generation.remaining.as_millis()).unwrap_or(u64::MAX);
    hyper::Request::post(generation.path)
        .header(header::CONTENT_TYPE, json())
        .header(http::REQUEST_ID, generation.id)
        .header("x-replica", generation.replica.to_string())
        .header("x-epoch", generation.epoch)
        .header("x-start", generation.start)
        .header("x-priority", u16::from(generation.priority))
        .header("x-deadline-ms", deadline_ms)
        .body(http_body_util::Full::new(body))
        .map_err(corneltrestle_client::Error::invalid)
}

/// Adds the field `resume` before the closing brace of a JSON object. The object is not parsed,
/// since the front end has decoded it and rejected bodies with a field of that name.
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

/// Returns the id if it is safe as a path segment. Other characters could lead to another path.
fn segment(id: &str) -> Result<&str> {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-_~.".contains(&byte);
    if id.bytes().all(is_unreserved) && !matches!(id, "" | "." | "..") {
        Ok(id)
    } else {
        Err(corneltrestle_client::Error::invalid("the request id is not a valid path segment"))
    }
}

fn json() -> header::HeaderValue {
    header::HeaderValue::from_static("application/json")
}
