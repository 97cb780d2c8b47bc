//! Borrowing of warm-up slots.
//!
//! The slots of a cold replica are divided between the nodes. A node without a free slot borrows
//! one from another node for the duration of a request.

use std::{net, sync};

use corneltrestle_kernel::host;
use corneltrestle_policy::{id, membership, retry, warmup};
use corneltrestle_time::moment;
use corneltrestle_wire::link as wire;
use rand::seq::IteratorRandom;

use super::{choose, request};
use crate::{link::Link, pipeline};

/// A slot borrowed from another node; dropping it returns the slot.
#[derive(Debug)]
pub(super) struct Loan<L: Link> {
    host: sync::Arc<host::Host>,
    link: sync::Arc<L>,
    lender: net::SocketAddr,
    id: u64,
}

impl<L: Link> Drop for Loan<L> {
    fn drop(&mut self) {
        let (link, lender, id) = (sync::Arc::clone(&self.link), self.lender, self.id);
        // If this call fails, the loan ends by itself after the request's deadline.
        self.host.pool.spawn(async move {
            if let Err(e) = link.release(lender, id).await {
                log::debug!("link: {e}");
            }
        });
    }
}

/// A cold replica and the links of the nodes that have slots of it.
struct ColdReplica {
    target: choose::Target,
    lenders: Vec<net::SocketAddr>,
}

impl<E, P, S, L: Link> pipeline::Pipeline<E, P, S, L> {
    /// Borrows a slot of a cold replica for the request and records the dispatch.
    ///
    /// `tried` are the replicas at which the request has failed before.
    pub(super) async fn borrow(
        &self,
        request: &request::Generation,
        tried: &retry::Tried,
    ) -> Option<(choose::Target, choose::InProgress<L>)> {
        let cold = self.choose_cold(request, tried, self.now())?;
        let replica = &cold.target.replica;
        let slot = wire::SlotRequest {
            node: self.identity.node.clone(),
            replica: replica.id.clone(),
            epoch: replica.epoch,
            start: cold.target.start,
            left: request.deadline.since(self.now()),
        };
        for lender in &cold.lenders {
            let Ok(Some(id)) = self.link.acquire(*lender, &slot).await else { continue };
            let loan = Loan {
                host: sync::Arc::clone(&self.host),
                link: sync::Arc::clone(&self.link),
                lender: *lender,
                id,
            };
            // The replica may have changed during the call, so check it again before the dispatch.
            let now = self.now();
            if !self.is_eligible(&cold.target, now) {
                return None;
            }
            let mut dispatched = self.tables.dispatched.lock();
            let loan = Some(loan);
            let begun = self.begin(&mut dispatched, &cold.target, request, loan, now);
            drop(dispatched);
            return Some((cold.target, begun));
        }
        self.tables.warmup.lock().mark_exhausted(&replica.id, self.now());
        None
    }

    /// Picks a complete replica of which this node has no free slot, and the nodes to ask for one
    /// in slot order.
    fn choose_cold(
        &self,
        request: &request::Generation,
        tried: &retry::Tried,
        now: moment::Moment,
    ) -> Option<ColdReplica> {
        let release = self.tables.current.load();
        let leaving = self.leaving();
        let members = self.tables.members.lock();
        let view = members.known.view(now);
        let replicas = self.tables.replicas.lock();
        let reports = self.tables.reports.lock();
        let warmup = self.tables.warmup.lock();
        let dispatched = self.tables.dispatched.lock();
        let found = {
            let (release, leaving, replicas, reports) = (&release, &leaving, &replicas, &reports);
            let known = choose::Known { release, leaving, replicas, reports };
            self.candidates(request, known, tried, now)
        };
        let least = tried.least(found.iter().map(|c| c.replica));
        let usable = found.iter().filter(|c| {
            let replica = &c.replica.id;
            c.head.report.known_start().is_some()
                && tried.failures(c.replica) == least
                && warmup.may_borrow(replica, now)
                && choose::has_fresh_reports(c.replica, &reports, dispatched.last_failure(replica))
        });
        let chosen = usable.choose(&mut rand::rng())?;
        let start = chosen.head.report.start;
        let routers = chosen.replica.routers.iter().map(id::Node::as_str);
        let lenders = warmup::order_routers(start, routers).into_iter().filter(|node| {
            *node != self.identity.node.as_str()
                && view.liveness(node) != membership::Liveness::Dead
        });
        Some(ColdReplica {
            target: choose::Target {
                replica: sync::Arc::new(chosen.replica.clone()),
                start,
                zone: chosen.zone.clone(),
                head: chosen.replica.head()?.address,
            },
            lenders: lenders.filter_map(|node| Some(view.get(node)?.address)).collect(),
        })
    }
}
