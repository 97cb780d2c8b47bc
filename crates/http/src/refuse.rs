//! Refusals on connections that have not carried a complete request.

use corneltrestle_node::pipeline::refusal;
use corneltrestle_server::refuse::{self, Cause};
use hyper::header;

use crate::{body, response};

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
        match cause {
            Cause::HeaderTimeout => {
                let message = "the header of the request did not arrive completely in time";
                let code = refusal::Code::RequestTimeout;
                encode("408 Request Timeout", &refusal::Refusal::not_run(code, "receive", message))
            }
            Cause::TooManyConnections => {
                let message = "the node has too many connections";
                let code = refusal::Code::Overloaded;
                encode(
                    "503 Service Unavailable",
                    &refusal::Refusal::not_run(code, "accept", message),
                )
            }
        }
    }
}

/// A complete response as bytes, for connections on which hyper has received no request.
fn encode(status: &str, refusal: &refusal::Refusal) -> Vec<u8> {
    let body = serde_json::to_vec(&response::error_body(refusal)).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         {}: {}\r\n{}: {:032x}\r\nconnection: close\r\n\r\n",
        body.len(),
        response::OUTCOME,
        refusal.outcome.as_str(),
        response::REQUEST_ID,
        rand::random::<u128>(),
    );
    [head.into_bytes(), body].concat()
}
