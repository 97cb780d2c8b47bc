//! Permits for requests to upstreams that limit the requests of all nodes.

use std::time;

use corneltrestle_kernel::{linkme, metric, table};
use corneltrestle_policy::id;
use corneltrestle_time::moment;

use super::{
    Pipeline,
    admit::Admitted,
    attempt::Attempts,
    choose::{Manner, Target},
};
use crate::{request, tables::quotas, upstream::Client};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static PERMITS: metric::Metric = metric::Metric::counter(
    "permits_total",
    "Permits for requests to upstreams that limit the requests of all nodes, by service and result: taken, refused (none was granted) or missed (the grantor did not answer).",
);

/// Time for which a request waits for the answer of the grantor.
const GRANT_TIMEOUT: time::Duration = time::Duration::from_millis(60);

/// Shortest and longest time between two looks whether a permit is to be had. The limit may have ended
/// meanwhile, or another upstream may take the request.
const MIN_WAIT: time::Duration = time::Duration::from_millis(5);
const MAX_WAIT: time::Duration = time::Duration::from_millis(250);

/// Fraction of the time until its deadline for which a request waits for a permit at most, beside its
/// objective.
const WAIT_FRACTION: u32 = 4;

/// Counts a request as waiting for a permit until dropped.
struct Waiting<'a> {
    table: &'a table::Table<quotas::Quotas>,
    upstream: &'a id::Vm,
    /// Number of answers of the grantor when it began.
    answers: u64,
}

impl<'a> Waiting<'a> {
    fn begin(table: &'a table::Table<quotas::Quotas>, upstream: &'a id::Vm) -> Self {
        let answers = table.lock().wait(upstream);
        Self { table, upstream, answers }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.table.lock().end_wait(self.upstream);
    }
}

impl<C: Client> Pipeline<C> {
    /// Chooses an upstream that may be tried, with a permit if it limits its requests. One that does is
    /// asked for once while there is another one. Where all limit them and no permit is left, the request
    /// waits if one is expected soon.
    pub(super) async fn choose(
        &self,
        request: &request::Request,
        admitted: &Admitted,
        attempts: &Attempts,
        is_resumed: bool,
        now: moment::Moment,
    ) -> Option<Target> {
        let end = now + patience(admitted, is_resumed, now);
        let mut lacked_permit = false;
        loop {
            let now = self.now();
            if lacked_permit && now >= end {
                return None;
            }
            let manner = Manner { is_resumed, avoids_limits: lacked_permit };
            match self.pick(request, admitted, attempts, manner, now) {
                Some(target) if self.take_permit(&target.id, admitted).await => {
                    return Some(target);
                }
                Some(_) => lacked_permit = true,
                None => {
                    let wait = self.permit_wait(request, admitted, attempts, now)?;
                    if now + wait >= end {
                        return None;
                    }
                    lacked_permit = false;
                    tokio::time::sleep(wait.clamp(MIN_WAIT, MAX_WAIT)).await;
                }
            }
        }
    }

    /// Takes a permit for a request to an upstream, which needs none unless it limits its requests.
    /// Returns whether the request may be sent there.
    async fn take_permit(&self, upstream: &id::Vm, admitted: &Admitted) -> bool {
        let table = &*self.tables.quotas;
        let end = self.now() + GRANT_TIMEOUT;
        let granted = {
            if table.lock().known().is_unlimited() {
                return true;
            }
            let now = self.now();
            let part = self.tables.census.lock().share(now);
            let mut quotas = table.lock();
            if quotas.try_take(upstream, part, now) {
                count(admitted, "taken");
                return true;
            }
            quotas.signals().granted
        };
        let waiting = Waiting::begin(table, upstream);
        loop {
            let arrived = granted.notified();
            let now = self.now();
            let part = self.tables.census.lock().share(now);
            {
                let mut quotas = table.lock();
                if quotas.try_take(upstream, part, now) {
                    count(admitted, "taken");
                    return true;
                }
                if quotas.answers(upstream) != waiting.answers {
                    count(admitted, "refused");
                    return false;
                }
                if now >= end {
                    quotas.miss(upstream, now);
                    count(admitted, "missed");
                    return false;
                }
            }
            let _ = tokio::time::timeout(end.since(now), arrived).await;
        }
    }
}

fn count(admitted: &Admitted, result: &'static str) {
    let service = admitted.service.as_str().to_owned();
    metrics::counter!(PERMITS.name, "service" => service, "result" => result).increment(1);
}

/// Time for which a request waits for a permit. A stream that has begun waits until its deadline, as it
/// would be cut off otherwise.
fn patience(admitted: &Admitted, is_resumed: bool, now: moment::Moment) -> time::Duration {
    let left = admitted.deadline.since(now);
    if is_resumed { left } else { admitted.route.objective.min(left / WAIT_FRACTION) }
}
