//! Reading of request bodies within limits.

use std::time;

use corneltrestle_node::pipeline::refusal::{self, Result};
use http_body_util::BodyExt;
use hyper::body::{self, Body};

/// Limits on the bodies of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Intake {
    /// Largest body in bytes.
    pub(crate) body_limit: usize,
    /// Longest time for a body to arrive.
    pub(crate) body_time: time::Duration,
}

impl Intake {
    /// Reads a body as a whole.
    ///
    /// # Errors
    ///
    /// When it is too large, too slow or cut off.
    pub(crate) async fn read(&self, body: body::Incoming) -> Result<bytes::Bytes> {
        let too_large = || {
            let message = format!("the body is larger than {} bytes", self.body_limit);
            refusal::Refusal::not_run(refusal::Code::TooLarge, "receive", message)
        };
        if body.size_hint().lower() > self.body_limit as u64 {
            return Err(too_large());
        }
        let whole = http_body_util::Limited::new(body, self.body_limit).collect();
        match tokio::time::timeout(self.body_time, whole).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(too_large()),
            Ok(Err(e)) => Err(refusal::Refusal::not_run(
                refusal::Code::BadRequest,
                "receive",
                format!("the body did not arrive whole: {e}"),
            )),
            Err(_) => Err(refusal::Refusal::not_run(
                refusal::Code::RequestTimeout,
                "receive",
                format!("the body did not arrive within {} ms", self.body_time.as_millis()),
            )),
        }
    }
}
