//! The zone lease: acquisition, renewal and release.

use corneltrestle_engine::engine::Engine;
use corneltrestle_infra::store::{self, Store};
use corneltrestle_policy::lease;
use corneltrestle_time::moment;
use corneltrestle_wire::{key, stored};

use crate::{tables::coordinator, task::assign};

impl<S: Store, E: Engine> assign::Assigner<S, E> {
    /// Acquires or renews the lease if possible; returns the fencing token if this node may act.
    pub(super) async fn hold_lease(&self, now: moment::Moment) -> Option<u64> {
        let held = self.tables.coordinator.lock().held;
        let Some(held) = held else {
            if self.acquire(now).await {
                log::info!("group: acquired the lease of {}", self.identity.zone);
            }
            return None;
        };
        let resumed = self.tables.members.lock().known.view(now).resumed();
        match held.lease.step(resumed, now) {
            lease::Step::Act => {}
            lease::Step::ActAndRenew | lease::Step::Renew => self.renew(held).await,
            lease::Step::StepDown => {
                self.step_down("its validity has ended");
                return None;
            }
        }
        // The renewal took time, so check the lease again.
        self.acting_token()
    }

    /// The fencing token, if this node may act as the holder at this moment.
    pub(super) fn acting_token(&self) -> Option<u64> {
        let now = self.host.now();
        let resumed = self.tables.members.lock().known.view(now).resumed();
        let held = self.tables.coordinator.lock().held?;
        let may_act =
            matches!(held.lease.step(resumed, now), lease::Step::Act | lease::Step::ActAndRenew);
        may_act.then_some(held.lease.token)
    }

    async fn renew(&self, held: coordinator::Held) {
        let sent = self.host.now();
        match self.store.renew(held.id, store::Class::Lease).await {
            Ok(Some(ttl)) => {
                if let Some(held) = &mut self.tables.coordinator.lock().held {
                    held.lease.renewed(sent, ttl);
                }
            }
            Ok(None) => self.step_down("it has expired in the store"),
            Err(e) => log::warn!("group: cannot renew the lease: {e}"),
        }
    }

    /// Tries to acquire the lease if this node is a candidate and the key is free.
    async fn acquire(&self, now: moment::Moment) -> bool {
        let zone = self.identity.zone.as_str();
        let node = self.identity.node.as_str();
        let start = {
            let members = self.tables.members.lock();
            let view = members.known.view(now);
            let live = view.live(zone).map(|(node, _)| node.as_str());
            lease::acquire_at(zone, node, live, now, &mut rand::rng())
        };
        let Some(start) = start else { return false };
        tokio::time::sleep(start.since(now)).await;
        match self.try_acquire().await {
            Ok(acquired) => acquired,
            Err(cause) => {
                log::debug!("group: cannot acquire the lease: {cause}");
                false
            }
        }
    }

    async fn try_acquire(&self) -> Result<bool, String> {
        let key = key::lease(self.identity.zone.as_str());
        if self.store.read(&key, store::Class::Lease).await.map_err(|e| e.to_string())?.is_some() {
            return Ok(false);
        }
        let (_, assignment) = self.read().await?;
        let token = lease::next_token(None, assignment.token);
        let sent = self.host.now();
        let id =
            self.store.grant(lease::TTL, store::Class::Lease).await.map_err(|e| e.to_string())?;
        let record =
            lease::Record { holder: self.identity.node.clone(), boot: self.identity.boot, token };
        let value = stored::encode(&key, &record).map_err(|e| e.to_string())?;
        let acquired = match self.store.swap(&key, 0, &value, Some(id), store::Class::Lease).await {
            Ok(store::Swap::Done(_)) => true,
            Ok(store::Swap::Conflict(_)) => false,
            Err(e) if e.may_have_run() => self.is_own(&key, token).await?,
            Err(e) => return Err(e.to_string()),
        };
        if acquired {
            let lease = lease::Held { token, sent, ttl: lease::TTL };
            *self.tables.coordinator.lock() = coordinator::Coordinator {
                held: Some(coordinator::Held { id, lease }),
                ..coordinator::Coordinator::default()
            };
        } else if let Err(e) = self.store.revoke(id, store::Class::Lease).await {
            log::debug!("group: cannot revoke an unused lease: {e}");
        }
        Ok(acquired)
    }

    /// Reads back an acquisition whose response was lost.
    async fn is_own(&self, key: &str, token: u64) -> Result<bool, String> {
        let found = self.store.read(key, store::Class::Lease).await.map_err(|e| e.to_string())?;
        let record: Option<lease::Record> =
            found.and_then(|found| stored::decode(key, &found.value).ok());
        let (node, boot) = (self.identity.node.as_str(), self.identity.boot);
        Ok(lease::is_own(record.as_ref(), node, boot, token))
    }

    fn step_down(&self, cause: &str) {
        log::warn!("group: stepping down as holder of {}: {cause}", self.identity.zone);
        *self.tables.coordinator.lock() = coordinator::Coordinator::default();
    }

    /// Releases the lease at a planned stop, so that another node can acquire it at once.
    pub(super) async fn release_lease(&self) {
        let held = std::mem::take(&mut *self.tables.coordinator.lock()).held;
        if let Some(held) = held
            && let Err(e) = self.store.revoke(held.id, store::Class::Lease).await
        {
            log::info!("group: cannot release the lease; it will expire: {e}");
        }
    }
}
