//! Admission of requests.

use std::{sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{admission, id, release};
use corneltrestle_time::moment;

use super::Result;
use crate::{link::Link, pipeline, tables};

/// Longest sleep of a waiting request before it looks at the queues again.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// Permission to run a request; its end makes room for another one.
#[derive(Debug)]
pub(super) struct Permit {
    table: sync::Arc<table::Table<tables::admission::Admission>>,
    host: sync::Arc<corneltrestle_kernel::host::Host>,
    organisation: id::Organisation,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.host.now();
        self.table.lock().finish(&self.organisation, now);
    }
}

/// A place in a queue that is given up when its caller leaves.
struct Waiting<'a> {
    table: &'a table::Table<tables::admission::Admission>,
    place: tables::admission::Place,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.table.lock().withdraw(self.place.id);
    }
}

impl<E, P, S, L: Link> pipeline::Pipeline<E, P, S, L> {
    /// Admits a request, waiting in the queue of its organisation if need be.
    pub(super) async fn admit(
        &self,
        organisation: &id::Organisation,
        interactive: bool,
        deadline: moment::Moment,
    ) -> Result<Permit> {
        let release = self.tables.current.load();
        let declared = release.organisations.get(organisation).ok_or_else(|| {
            pipeline::Refusal::not_run(
                pipeline::Code::Unauthorized,
                "admit",
                "the organisation was withdrawn",
            )
        })?;
        let class =
            if interactive { admission::Class::Interactive } else { admission::Class::Background };
        let now = self.now();
        let offered = {
            let view = self.view(organisation, declared);
            let mut table = self.tables.admission.lock();
            table.retries.count(now);
            table.offer(organisation, &view, class, deadline, now)
        };
        match offered {
            tables::admission::Offered::Started => Ok(self.permit(organisation)),
            tables::admission::Offered::Waits(place) => {
                self.wait(place, organisation, deadline).await
            }
            tables::admission::Offered::Shed(reason, retry) => Err(shed(reason, retry)),
        }
    }

    /// This node's share of an organisation's limits.
    fn view<'a>(
        &self,
        organisation: &'a id::Organisation,
        declared: &release::Organisation,
    ) -> admission::View<'a> {
        let (own, total, nodes) = self.demand(organisation);
        admission::View {
            name: organisation.as_str(),
            weight: declared.weight,
            rate: admission::share(f64::from(declared.rate), own, total, nodes),
            concurrency: admission::share(f64::from(declared.concurrency), own, total, nodes),
        }
    }

    async fn wait(
        &self,
        place: tables::admission::Place,
        organisation: &id::Organisation,
        deadline: moment::Moment,
    ) -> Result<Permit> {
        let mut waiting = Waiting { table: &self.tables.admission, place };
        loop {
            let now = self.now();
            let due = {
                let mut table = self.tables.admission.lock();
                table.wake(now);
                table.policy.due(now)
            };
            let look =
                due.map_or(LOOK, |due| due.since(now).clamp(time::Duration::from_millis(1), LOOK));
            match tokio::time::timeout(look, &mut waiting.place.started).await {
                Ok(Ok(())) => return Ok(self.permit(organisation)),
                Ok(Err(_)) => return Err(shed(admission::Reason::Expired, time::Duration::ZERO)),
                Err(_) if self.now() >= deadline => {
                    // The start and the deadline may meet; a started request must run or end.
                    if self.tables.admission.lock().withdraw(waiting.place.id) {
                        return Err(shed(admission::Reason::Expired, time::Duration::ZERO));
                    }
                }
                Err(_) => {}
            }
        }
    }

    fn permit(&self, organisation: &id::Organisation) -> Permit {
        Permit {
            table: sync::Arc::clone(&self.tables.admission),
            host: sync::Arc::clone(&self.host),
            organisation: organisation.clone(),
        }
    }
}

fn shed(reason: admission::Reason, retry: time::Duration) -> pipeline::Refusal {
    let (code, message) = match reason {
        admission::Reason::Expired => {
            (pipeline::Code::DeadlineExceeded, "the deadline passed before a start")
        }
        admission::Reason::PredictedWait => {
            (pipeline::Code::Overloaded, "the wait would exceed the deadline")
        }
        admission::Reason::QueueFull => {
            (pipeline::Code::RateLimited, "the organisation's queue is full")
        }
        admission::Reason::NodeFull => (pipeline::Code::Overloaded, "the queues are full"),
    };
    pipeline::Refusal::not_run(code, "admit", message)
        .retry_after(retry.max(time::Duration::from_millis(100)))
}
