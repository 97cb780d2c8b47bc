//! Receives request bodies within limits of size and time.

use std::time;

use corneltrestle_node::pipeline::refusal::{self, Result};
use http_body_util::BodyExt;
use hyper::body::{self, Body};

/// Limits on the bodies of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Limit on the size of a body, in bytes.
    pub(crate) max_bytes: usize,
    /// Time limit of receiving a body.
    pub(crate) timeout: time::Duration,
}

impl Limits {
    /// Receives a complete body.
    ///
    /// # Errors
    ///
    /// When it is too large, does not arrive in time or is truncated.
    pub(crate) async fn read(&self, body: body::Incoming) -> Result<bytes::Bytes> {
        let too_large = || {
            let message = format!("the body is larger than {} bytes", self.max_bytes);
            refusal::Refusal::not_run(refusal::Code::TooLarge, "receive", message)
        };
        if body.size_hint().lower() > self.max_bytes as u64 {
            return Err(too_large());
        }
        let collect = http_body_util::Limited::new(body, self.max_bytes).collect();
        match tokio::time::timeout(self.timeout, collect).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(too_large()),
            Ok(Err(e)) => Err(refusal::Refusal::not_run(
                refusal::Code::BadRequest,
                "receive",
                format!("the body did not arrive completely: {e}"),
            )),
            Err(_) => Err(refusal::Refusal::not_run(
                refusal::Code::RequestTimeout,
                "receive",
                format!("the body did not arrive within {} ms", self.timeout.as_millis()),
            )),
        }
    }
}
