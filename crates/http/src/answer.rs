//! Answers in HTTP form.

use corneltrestle_node::pipeline::refusal::{Code, Refusal};
use corneltrestle_wire::openai;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body;

/// Header that states what is known about the effect of a request.
pub const OUTCOME: &str = "corneltrestle-outcome";
/// Header with the identifier of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// A complete JSON answer.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<body::Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body::Body::full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A complete text answer.
pub fn text(status: StatusCode, text: impl Into<bytes::Bytes>) -> Response<body::Body> {
    let mut response = Response::new(body::Body::full(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// The answer to a request that its upstream did not answer.
pub fn refusal(refusal: &Refusal) -> Response<body::Body> {
    let mut response = json(status(refusal.code), &error_body(refusal));
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(refusal.outcome.as_str()));
    if let Some(retry) = refusal.retry {
        let seconds = retry.as_millis().div_ceil(1_000).max(1);
        headers.insert(RETRY_AFTER, HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX)));
    }
    response
}

/// The JSON form of a refusal.
pub fn error_body(refusal: &Refusal) -> openai::ErrorBody<'_> {
    openai::ErrorBody {
        error: openai::ErrorInfo {
            code: refusal.code.as_str().into(),
            message: refusal.message.as_str().into(),
            step: refusal.step.into(),
            retry_after_ms: refusal.retry.and_then(|span| span.as_millis().try_into().ok()),
        },
    }
}

fn status(code: Code) -> StatusCode {
    match code {
        Code::BadRequest | Code::KeyRequired => StatusCode::BAD_REQUEST,
        Code::Unauthorized => StatusCode::UNAUTHORIZED,
        Code::UnknownService | Code::NotFound => StatusCode::NOT_FOUND,
        Code::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        Code::HeaderTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::RequestTimeout => StatusCode::REQUEST_TIMEOUT,
        Code::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Code::InProgress => StatusCode::CONFLICT,
        Code::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        Code::UpstreamFailed => StatusCode::BAD_GATEWAY,
        Code::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
