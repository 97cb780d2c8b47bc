//! Builds HTTP responses.

use corneltrestle_node::pipeline::refusal;
use corneltrestle_server::{body as request_body, status};
use corneltrestle_wire::openai;
use hyper::header;

use crate::body;

/// Header of refusals that states what is known about the effect of the request.
pub const OUTCOME: &str = "corneltrestle-outcome";
/// Header with the id of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// A complete JSON response.
pub fn json(
    status: hyper::StatusCode,
    value: &impl serde::Serialize,
) -> hyper::Response<body::Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = hyper::Response::new(body::Body::full(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

/// A complete text response.
pub fn text(
    status: hyper::StatusCode,
    text: impl Into<bytes::Bytes>,
) -> hyper::Response<body::Body> {
    let mut response = hyper::Response::new(body::Body::full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}

/// The error response for a refusal: its status, its JSON body and the headers for its outcome and
/// the time after which to retry.
pub fn refusal(refusal: &refusal::Refusal) -> hyper::Response<body::Body> {
    let mut response = json(status::of(refusal), &error_body(refusal));
    let headers = response.headers_mut();
    headers.insert(OUTCOME, header::HeaderValue::from_static(refusal.outcome.as_str()));
    if request_body::is_unread_after(refusal) {
        headers.insert(header::CONNECTION, header::HeaderValue::from_static("close"));
    }
    if let Some(retry) = refusal.retry {
        let seconds = retry.as_millis().div_ceil(1_000).max(1);
        headers.insert(
            header::RETRY_AFTER,
            header::HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX)),
        );
    }
    response
}

/// The JSON body for a refusal, in the format of OpenAI errors with further fields.
pub fn error_body(refusal: &refusal::Refusal) -> openai::ErrorBody<'_> {
    openai::ErrorBody {
        error: openai::ErrorInfo {
            code: refusal.code.as_str().into(),
            message: refusal.message.as_str().into(),
            step: refusal.step.into(),
            retry_after_ms: refusal.retry.and_then(|delay| delay.as_millis().try_into().ok()),
        },
    }
}
