//! Delivery of orders to engines, each in a spawned task, so that a slow engine delays no other.

use std::sync;

use corneltrestle_engine::engine::{self, Engine};
use corneltrestle_infra::store::Store;
use corneltrestle_policy::{id, plan, release};

use crate::task::assign;

impl<S: Store, E: Engine> assign::Assigner<S, E> {
    /// Sends the orders, except to VMs that already have one in flight.
    pub(super) fn send(self: &sync::Arc<Self>, token: u64, orders: Vec<plan::Order>) {
        for order in orders {
            if !self.tables.coordinator.lock().in_flight.insert(order.vm.id.clone()) {
                continue;
            }
            let assigner = sync::Arc::clone(self);
            self.host.pool.spawn(async move {
                assigner.deliver(token, &order).await;
                assigner.tables.coordinator.lock().in_flight.remove(&order.vm.id);
            });
        }
    }

    async fn deliver(&self, token: u64, order: &plan::Order) {
        let release = self.tables.current.load();
        let Some(message) = message(token, &order.kind, &release) else { return };
        let call = self.engine.order(order.vm.address, &message);
        match tokio::time::timeout(plan::ORDER_TIMEOUT, call).await {
            Ok(Ok(answer)) => self.acknowledged(order, answer),
            Ok(Err(e)) => log::info!("group: {e}"),
            Err(_) => log::info!("group: {} did not answer an order in time", order.vm.id),
        }
    }

    fn acknowledged(&self, order: &plan::Order, answer: engine::Answer) {
        log::debug!("group: {} answered {answer:?} to {:?}", order.vm.id, order.kind);
        if let plan::Kind::Release { epoch } = order.kind
            && answer == engine::Answer::Accepted
        {
            self.tables.coordinator.lock().observations.confirm(&order.vm.id, epoch);
        }
    }
}

/// The engine call for an order; `None` if its replica set has been removed from the release.
fn message<'a>(
    token: u64,
    kind: &'a plan::Kind,
    release: &'a release::Release,
) -> Option<engine::Order<'a>> {
    let set = |replica: &id::Replica| release.sets.get(&replica.set);
    Some(match kind {
        plan::Kind::Release { epoch } => engine::Order::Release { token, epoch: *epoch },
        plan::Kind::Join { replica, epoch, rank, size } => {
            let set = set(replica)?;
            engine::Order::Join {
                token,
                replica,
                epoch: *epoch,
                rank: *rank,
                size: *size,
                model: &set.model,
                adapter: &set.adapter,
                version: &set.version,
            }
        }
        plan::Kind::Load { replica } => {
            let set = set(replica)?;
            engine::Order::Load {
                token,
                model: &set.model,
                adapter: &set.adapter,
                version: &set.version,
            }
        }
    })
}
