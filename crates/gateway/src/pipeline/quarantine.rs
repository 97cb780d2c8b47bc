//! Prompt parts that crash upstreams, as requests show them.

use std::time;

use corneltrestle_kernel::{linkme, metric};
use corneltrestle_policy::quarantine::{self, Crash};
use corneltrestle_time::moment;

use super::{
    Code, Pipeline, Refusal,
    attempt::{Attempts, Failure},
    choose::Target,
};
use crate::{request, upstream::Client};

/// Timeout of the probe of an upstream that may have crashed.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(150);

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
        Err(if attempts.may_have_run {
            Refusal::unknown(Code::UpstreamFailed, "send", message)
        } else {
            Refusal::not_run(Code::Unavailable, "send", message).retry_after(left)
        })
    }

    /// Records an attempt that failed before the answer began, if the upstream has crashed. A broken
    /// connection alone tells little, so the upstream is probed; one that lives answers within a few
    /// milliseconds. The request waits for it, as it may not be sent to a further upstream.
    pub(super) async fn record_loss(
        &self,
        request: &request::Request,
        target: &Target,
        failure: &Failure,
        now: moment::Moment,
    ) {
        let Some(generation) = &request.generation else { return };
        let is_of_upstream = failure.counts_as_run() && !matches!(failure, Failure::NodeEnds);
        if generation.parts.is_empty() || !is_of_upstream {
            return;
        }
        let crash = Crash {
            upstream: quarantine::hash(&format!("{}/{}", target.id, target.incarnation)),
            request: quarantine::hash(&request.id),
            parts: generation.parts.clone(),
            sent: target.chosen,
            at: now,
        };
        if !self.tables.quarantine.lock().begin_check(&target.id, crash) {
            return;
        }
        let report = self.client.report(target.address, &target.id, PROBE_TIMEOUT).await;
        self.tables.quarantine.lock().end_check(target.id.as_str(), report.is_ok());
    }

    /// Records that an upstream has answered a request beyond its beginning.
    pub(super) fn record_sound(&self, request: &request::Request, now: moment::Moment) {
        let Some(generation) = &request.generation else { return };
        if !generation.parts.is_empty() {
            self.tables.quarantine.lock().record_sound(&generation.parts, now);
        }
    }
}
