//! Prompt parts that crash upstreams, as requests show them.

use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::{
    id,
    quarantine::{self, Crash},
};
use corneltrestle_time::moment;

use super::{
    Code, Pipeline, Refusal,
    attempt::{Attempts, Failure},
};
use crate::{
    request,
    upstream::{self, Client},
};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static REFUSED: metric::Metric = metric::Metric::counter(
    "requests_quarantined_total",
    "Requests that were refused as a part of their prompt crashes upstreams.",
);

impl<C: Client> Pipeline<C> {
    /// Checks that no part of the prompt is quarantined, before the request is sent.
    ///
    /// # Errors
    ///
    /// The refusal for the caller, if one is.
    pub(super) fn check_parts(
        &self,
        attempts: &Attempts,
        request: &request::Request,
        now: moment::Moment,
    ) -> super::Result<()> {
        let Some(generation) = &request.generation else { return Ok(()) };
        let left = self.tables.quarantine.lock().parts().check(&generation.parts, now);
        let Some(left) = left else { return Ok(()) };
        metrics::counter!(REFUSED.name).increment(1);
        let message = "a part of the prompt crashes upstreams";
        Err(if attempts.runs == 0 {
            Refusal::not_run(Code::Unavailable, "send", message).retry_after(left)
        } else {
            Refusal::unknown(Code::UpstreamFailed, "send", message)
        })
    }

    /// Records an attempt that failed before the answer began, if the upstream may have crashed.
    pub(super) fn record_loss(
        &self,
        request: &request::Request,
        upstream: &id::Vm,
        failure: &Failure,
        now: moment::Moment,
    ) {
        let Some(generation) = &request.generation else { return };
        let is_broken =
            matches!(failure, Failure::Call(error) if error.kind == upstream::Kind::Broken);
        if !is_broken || generation.parts.is_empty() {
            return;
        }
        self.tables.quarantine.lock().record_crash(Crash {
            upstream: quarantine::hash(upstream.as_str()),
            request: quarantine::hash(&request.id),
            parts: generation.parts.clone(),
            at: now,
        });
    }

    /// Records that an upstream has answered a request beyond its beginning.
    pub(super) fn record_sound(&self, request: &request::Request, now: moment::Moment) {
        let Some(generation) = &request.generation else { return };
        if !generation.parts.is_empty() {
            self.tables.quarantine.lock().record_sound(&generation.parts, now);
        }
    }
}
