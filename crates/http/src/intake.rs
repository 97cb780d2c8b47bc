//! Reading of request bodies within limits.

use std::time::Duration;

use bytes::Bytes;
use corneltrestle_node::pipeline::refusal::{Code, Refusal, Result};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// Limits on the bodies of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Intake {
    /// Largest body in bytes.
    pub(crate) body_limit: usize,
    /// Longest time for a body to arrive.
    pub(crate) body_time: Duration,
}

impl Intake {
    /// Reads a body as a whole.
    ///
    /// # Errors
    ///
    /// When it is too large, too slow or cut off.
    pub(crate) async fn read(&self, body: Incoming) -> Result<Bytes> {
        let too_large = || {
            let message = format!("the body is larger than {} bytes", self.body_limit);
            Refusal::not_run(Code::TooLarge, "receive", message)
        };
        if body.size_hint().lower() > self.body_limit as u64 {
            return Err(too_large());
        }
        let whole = Limited::new(body, self.body_limit).collect();
        match tokio::time::timeout(self.body_time, whole).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(e)) => Err(Refusal::not_run(
                Code::BadRequest,
                "receive",
                format!("the body did not arrive whole: {e}"),
            )),
            Err(_) => Err(Refusal::not_run(
                Code::RequestTimeout,
                "receive",
                format!("the body did not arrive within {} ms", self.body_time.as_millis()),
            )),
        }
    }
}
