//! Sending orders to VMs.

use std::{sync, time};

use corneltrestle_policy::formation;
use corneltrestle_time::moment;

use crate::{
    source::Source,
    upstream::{self, Client, Command, Outcome},
};
use corneltrestle_infra::store::Store;

/// Timeout of an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Orders sent at the same time. When a deployment starts, there is one for each of its VMs, and a
/// small node has no memory for as many connections.
pub(super) const MAX_CONCURRENT: usize = 256;

impl<S: Store + Source, C: Client> super::Coordinator<S, C> {
    /// Sends an order in a task of its own, so that a VM that does not answer delays no other.
    pub(super) fn order(self: &sync::Arc<Self>, step: formation::Step) {
        let (term, token) = {
            let mut coordinator = self.tables.coordinator.lock();
            let Some(state) = &coordinator.state else { return };
            let known = (state.term(), state.token());
            coordinator.busy.insert(step.vm.clone());
            known
        };
        let this = sync::Arc::clone(self);
        self.host.pool.spawn(async move {
            // The semaphore is never closed.
            let permit = this.orders.acquire().await;
            let outcome = this.send(&step, token).await;
            drop(permit);
            this.record_outcome(&step, (term, token), outcome, this.host.now());
        });
    }

    async fn send(&self, step: &formation::Step, token: u64) -> upstream::Result<Option<Outcome>> {
        // The task may have been delayed since the decision.
        if !self.may_act(self.host.now()) {
            return Ok(None);
        }
        let snapshot = self.tables.current.load_full();
        let Some(vm) = snapshot.fleet.get(step.vm.as_str()) else { return Ok(None) };
        let command = Command { order: &step.order, token, timeout: ORDER_TIMEOUT };
        self.client.order(vm.address, &step.vm, &command).await.map(Some)
    }

    fn record_outcome(
        &self,
        step: &formation::Step,
        (term, token): (u64, u64),
        outcome: upstream::Result<Option<Outcome>>,
        now: moment::Moment,
    ) {
        let (vm, order) = (step.vm.as_str(), &step.order);
        let mut coordinator = self.tables.coordinator.lock();
        coordinator.busy.remove(vm);
        if coordinator.state.as_ref().is_none_or(|state| state.term() != term) {
            return;
        }
        match outcome {
            Ok(outcome) => {
                log::info!(vm = vm, token = token; "group: order to {order} ended as {outcome:?}");
                let is_current =
                    coordinator.state.as_ref().is_some_and(|state| state.token() == token);
                if outcome == Some(Outcome::Fenced) && is_current {
                    coordinator.is_fenced = true;
                }
                let is_effective = matches!(outcome, Some(Outcome::Begun | Outcome::Standing));
                if !is_effective && let Some(state) = &mut coordinator.state {
                    state.defer_order(vm, order, now);
                }
            }
            Err(e) => {
                log::warn!(vm = vm, token = token; "group: order to {order} was not answered: {e}");
                coordinator.unanswered.insert(step.vm.clone());
                if let Some(state) = &mut coordinator.state {
                    state.mark_unanswered(&step.vm, order, now);
                }
            }
        }
    }
}
