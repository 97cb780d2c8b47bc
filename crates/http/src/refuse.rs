//! Refusals on connections that have not carried a complete request.

use std::time;

use corneltrestle_node::pipeline::refusal;
use corneltrestle_server::refuse::{self, Cause};
use hyper::header;

use crate::{body, response};

/// Delay after which a client may try again to connect.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Refusals in the same JSON format as those of complete requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Json;

impl refuse::Refuse for Json {
    type Body = body::Body;

    fn header_too_large(&self, message: &str) -> hyper::Response<body::Body> {
        let refusal = refusal::Refusal::not_run(refusal::Code::HeaderTooLarge, "receive", message);
        let mut response = response::refusal(&refusal);
        let id = format!("{:032x}", rand::random::<u128>());
        if let Ok(id) = header::HeaderValue::try_from(id) {
            response.headers_mut().insert(response::REQUEST_ID, id);
        }
        response
    }

    fn raw_response(&self, cause: Cause) -> Vec<u8> {
        let not_run = refusal::Refusal::not_run;
        let (status, refusal) = match cause {
            Cause::HeaderTimeout => {
                let message = "the header of the request did not arrive completely in time";
                let code = refusal::Code::RequestTimeout;
                ("408 Request Timeout", not_run(code, "receive", message))
            }
            Cause::TooManyConnections => {
                let message = "the node has too many connections";
                let code = refusal::Code::Overloaded;
                (
                    "503 Service Unavailable",
                    not_run(code, "accept", message).retry_after(RETRY_AFTER),
                )
            }
            Cause::NoMemory => {
                let message = "the node has no memory for the connection or its request now";
                let code = refusal::Code::Overloaded;
                (
                    "503 Service Unavailable",
                    not_run(code, "accept", message).retry_after(RETRY_AFTER),
                )
            }
        };
        encode(status, &refusal)
    }
}

/// A complete response as bytes, for connections on which hyper has received no request.
fn encode(status: &str, refusal: &refusal::Refusal) -> Vec<u8> {
    let body = serde_json::to_vec(&response::error_body(refusal)).unwrap_or_default();
    let retry_after = refusal.retry.map_or_else(String::new, |delay| {
        format!("retry-after: {}\r\n", delay.as_millis().div_ceil(1_000).max(1))
    });
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         {retry_after}{}: {}\r\n{}: {:032x}\r\nconnection: close\r\n\r\n",
        body.len(),
        response::OUTCOME,
        refusal.outcome.as_str(),
        response::REQUEST_ID,
        rand::random::<u128>(),
    );
    [head.into_bytes(), body].concat()
}
