//! Statuses of answers that are not the upstream's own.

use corneltrestle_policy::refusal;

/// The status of an answer to a request that its upstream did not answer.
///
/// A status that promises that the request has not run is used only if nothing of it has.
pub fn of(refusal: &refusal::Refusal) -> hyper::StatusCode {
    let status = of_code(refusal.code);
    if refusal.outcome == refusal::Outcome::Unknown && is_promise(status) {
        return hyper::StatusCode::BAD_GATEWAY;
    }
    status
}

/// Whether callers take the status as a promise that the request has not run and never will.
fn is_promise(status: hyper::StatusCode) -> bool {
    matches!(
        status,
        hyper::StatusCode::REQUEST_TIMEOUT
            | hyper::StatusCode::MISDIRECTED_REQUEST
            | hyper::StatusCode::TOO_MANY_REQUESTS
            | hyper::StatusCode::SERVICE_UNAVAILABLE
    )
}

fn of_code(code: refusal::Code) -> hyper::StatusCode {
    match code {
        refusal::Code::BadRequest | refusal::Code::KeyRequired => hyper::StatusCode::BAD_REQUEST,
        refusal::Code::Unauthorized => hyper::StatusCode::UNAUTHORIZED,
        refusal::Code::UnknownService | refusal::Code::NotFound => hyper::StatusCode::NOT_FOUND,
        refusal::Code::MethodNotAllowed => hyper::StatusCode::METHOD_NOT_ALLOWED,
        refusal::Code::HeaderTooLarge => hyper::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        refusal::Code::TooLarge => hyper::StatusCode::PAYLOAD_TOO_LARGE,
        refusal::Code::RequestTimeout => hyper::StatusCode::REQUEST_TIMEOUT,
        refusal::Code::KeyReused => hyper::StatusCode::UNPROCESSABLE_ENTITY,
        refusal::Code::InProgress => hyper::StatusCode::CONFLICT,
        refusal::Code::RateLimited => hyper::StatusCode::TOO_MANY_REQUESTS,
        refusal::Code::UpstreamFailed => hyper::StatusCode::BAD_GATEWAY,
        refusal::Code::DeadlineExceeded => hyper::StatusCode::GATEWAY_TIMEOUT,
        _ => hyper::StatusCode::SERVICE_UNAVAILABLE,
    }
}
