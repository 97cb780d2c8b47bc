//! Admission of requests: starts, queues or refuses them by the limits of their organisation.
//!
//! The rules are in [`admission`]; this module waits until a queued request may start.

use std::{sync, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{admission, id, release};
use corneltrestle_time::moment;

use super::Result;
use crate::{link::Link, pipeline, tables};

/// Longest time that a queued request sleeps before it checks the queues again.
const MAX_SLEEP: time::Duration = time::Duration::from_millis(100);

/// Permission to run a request; dropping it lets another one start.
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

/// A queued request; dropping it, when the caller disconnects, removes it from the queue.
struct Waiting<'a> {
    table: &'a table::Table<tables::admission::Admission>,
    ticket: tables::admission::Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.table.lock().withdraw(self.ticket.id);
    }
}

impl<E, P, S, L: Link> pipeline::Pipeline<E, P, S, L> {
    /// Admits a request, waiting in the queue of its organisation if necessary.
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
                "the organisation is no longer configured",
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
            tables::admission::Offered::Queued(ticket) => {
                self.wait(ticket, organisation, deadline).await
            }
            tables::admission::Offered::Shed(reason, retry) => Err(shed(reason, retry)),
        }
    }

    /// The limits of an organisation at this node: its share by the demand that it has here.
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
        ticket: tables::admission::Ticket,
        organisation: &id::Organisation,
        deadline: moment::Moment,
    ) -> Result<Permit> {
        let mut waiting = Waiting { table: &self.tables.admission, ticket };
        loop {
            let now = self.now();
            let due = {
                let mut table = self.tables.admission.lock();
                table.wake(now);
                table.policy.due(now)
            };
            let sleep = due.map_or(MAX_SLEEP, |due| {
                due.since(now).clamp(time::Duration::from_millis(1), MAX_SLEEP)
            });
            match tokio::time::timeout(sleep, &mut waiting.ticket.started).await {
                Ok(Ok(())) => return Ok(self.permit(organisation)),
                Ok(Err(_)) => return Err(shed(admission::Reason::Expired, time::Duration::ZERO)),
                Err(_) if self.now() >= deadline => {
                    // A request that was started at its deadline is no longer in the queue. It
                    // holds a permit, which the next pass takes.
                    if self.tables.admission.lock().withdraw(waiting.ticket.id) {
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
            (pipeline::Code::DeadlineExceeded, "the deadline passed before the request could start")
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
