//! HTTP statuses of refusals, that is, of responses that do not come from an upstream.

use corneltrestle_policy::refusal;

/// The status of the response to a refused request.
///
/// Clients read some statuses as a promise that the request was not executed. If the outcome is
/// unknown, 502 takes the place of such a status.
pub fn of(refusal: &refusal::Refusal) -> hyper::StatusCode {
    let status = of_code(refusal.code);
    if refusal.outcome == refusal::Outcome::Unknown && implies_not_executed(status) {
        return hyper::StatusCode::BAD_GATEWAY;
    }
    status
}

/// Whether clients read the status as a promise that the request was not executed and will not be.
fn implies_not_executed(status: hyper::StatusCode) -> bool {
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
