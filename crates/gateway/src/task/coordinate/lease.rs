//! Holding the coordinator's lease: acquiring it when free, renewing it and stepping down.

use std::{sync, time};

use corneltrestle_infra::store::{self, Class, LeaseId, Store, Swap};
use corneltrestle_policy::{formation, lease, revision};
use corneltrestle_time::moment;

use crate::{
    source::{self, Holder, Source},
    upstream::Client,
};

/// Time to live of the lease. Another node can take over when it has lapsed.
const TTL: time::Duration = time::Duration::from_millis(1_500);

/// Time between two checks of the lease.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Time for which a free lease is left to large nodes, see
/// [`crate::tables::catalog::Snapshot::is_large`]. They try to acquire it within a second.
const SMALL_NODE_DELAY: time::Duration = time::Duration::from_secs(2);

/// Time for which a node that has given up the lease leaves it to others. It covers the time until the
/// lease has lapsed, an unanswered call, and [`SMALL_NODE_DELAY`].
const GIVE_UP_DELAY: time::Duration = time::Duration::from_secs(6);

/// A gap between two checks that is longer than this means that the process was paused.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(500);

/// The lease as this node holds it.
#[derive(Clone, Copy, Debug)]
struct Held {
    id: LeaseId,
    /// Revision at which its key was written; the fencing token follows from it.
    key: revision::Revision,
    lease: lease::Held,
}

/// What this node knows of the lease.
#[derive(Debug, Default)]
struct State {
    held: Option<Held>,
    /// When the lease was first seen without a holder, or this node last tried to acquire it.
    free_since: Option<moment::Moment>,
    /// When this node will next try to acquire it.
    attempt_at: Option<moment::Moment>,
    last_check: Option<moment::Moment>,
    /// Attempts to resume a lease that was not renewed in time; `None` while it is valid.
    resume: Option<lease::Resume>,
    /// The era and version of the key that this node last tried to write again after a return of the
    /// store.
    claimed: Option<(u64, store::Version)>,
    pause_end: Option<moment::Moment>,
    /// Until when this node leaves the lease to others, as it could not use it.
    leaves_until: Option<moment::Moment>,
}

impl<S: Store + Source, C: Client> super::Coordinator<S, C> {
    /// Whether this node may act as the coordinator: the last renewal still holds.
    pub(super) fn holds(&self, now: moment::Moment) -> bool {
        let valid_until = self.tables.coordinator.lock().valid_until;
        valid_until.is_some_and(|until| now < until)
    }

    /// Acquires the lease when it is free, and renews it while this node holds it. Does not return.
    pub(super) async fn hold(self: sync::Arc<Self>) {
        let mut state = State::default();
        loop {
            let now = self.host.now();
            if state.last_check.is_some_and(|at| now.since(at) > MIN_PAUSE) {
                state.pause_end = Some(now);
            }
            state.last_check = Some(now);
            let result = match state.held {
                Some(held) => self.renew(&mut state, held, now).await,
                None => self.try_acquire(&mut state, now).await,
            };
            if let Err(e) = result {
                log::info!("lease: {e}");
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }

    async fn renew(&self, state: &mut State, held: Held, now: moment::Moment) -> store::Result<()> {
        if self.era() > held.key.era {
            return self.reclaim(state, held, now).await;
        }
        if self.tables.coordinator.lock().is_fenced {
            self.step_down(state, "another node has used a higher fencing token");
            return self.release(held).await;
        }
        if self.is_displaced(held) {
            self.step_down(state, "its key has been removed or replaced");
            return self.release(held).await;
        }
        match held.lease.step(state.pause_end, now) {
            lease::Step::Act => Ok(()),
            lease::Step::ActAndRenew | lease::Step::Renew => {
                let sent = self.host.now();
                let renewed = self.store.renew(held.id, Class::Lease).await?;
                // In a later era the lease may be that of another node.
                if self.store.era() == held.key.era {
                    self.record_renewal(state, held, sent, renewed);
                }
                Ok(())
            }
            lease::Step::StepDown => self.resume(state, held, now).await,
        }
    }

    /// The latest era of the store that this node has heard of.
    fn era(&self) -> u64 {
        self.store.era().max(self.tables.catalog.lock().revision().era)
    }

    /// Whether the facts show that the key of the lease is no longer that of this node.
    fn is_displaced(&self, held: Held) -> bool {
        let snapshot = self.tables.current.load();
        let is_own = |holder: &Holder| holder.boot == self.identity.boot;
        snapshot.revision >= held.key && !snapshot.coordinator.as_ref().is_some_and(is_own)
    }

    /// Gives up the lease, unless it is one of an earlier era: its identifier may have been given to
    /// another node since.
    async fn release(&self, held: Held) -> store::Result<()> {
        if self.store.era() == held.key.era {
            self.store.revoke(held.id, Class::Lease).await?;
        }
        Ok(())
    }

    /// Claims the lease again once the store has come back from an earlier copy, which may lack the
    /// lease, or its key alone. This node does not act until the store has confirmed both and written
    /// the key again: the token of the new revision is higher than those of the former era.
    async fn reclaim(
        &self,
        state: &mut State,
        mut held: Held,
        now: moment::Moment,
    ) -> store::Result<()> {
        self.tables.coordinator.lock().valid_until = None;
        if !state.resume.get_or_insert_default().begin(now) {
            return Ok(());
        }
        let (key, value) = (S::coordinator_key(), self.own_value()?);
        let found = self.store.read(key, Class::Lease).await?;
        let era = self.store.era();
        if era < self.era() {
            return Ok(());
        }
        let Some(found) = found.filter(|found| found.value == value) else {
            self.step_down(state, "the store has come back from an earlier copy without it");
            return Ok(());
        };
        let sent = self.host.now();
        let renewed = match self.store.renew(held.id, Class::Lease).await {
            Ok(Some(ttl)) => Some(ttl),
            Ok(None) => {
                self.step_down(state, "the lease has lapsed");
                return Ok(());
            }
            Err(e) => return self.record_failed_renewal(state, held, e).await,
        };
        let is_written = state.claimed.is_some_and(|(of, version)| {
            // The answer to the write was lost.
            of == era && version != found.version
        });
        let number = if is_written {
            found.version
        } else {
            state.claimed = Some((era, found.version));
            match self.store.swap(key, found.version, &value, Some(held.id), Class::Lease).await? {
                Swap::Done(number) => number,
                Swap::Conflict(_) => {
                    self.step_down(state, "its key has been removed");
                    return Ok(());
                }
            }
        };
        // After another return, the next attempt reads the key again.
        if self.store.era() == era {
            held.key = revision::Revision { era, number };
            held.lease.token = held.key.token();
            if let Some(formation) = &mut self.tables.coordinator.lock().state {
                formation.raise_token(held.lease.token);
            }
            self.record_renewal(state, held, sent, renewed);
        }
        Ok(())
    }

    /// Tries to resume a lease that was not renewed in time, so that the fencing token and the state
    /// stay. Until the store confirms it, this node does not act. See [`lease::Resume`].
    async fn resume(
        &self,
        state: &mut State,
        held: Held,
        now: moment::Moment,
    ) -> store::Result<()> {
        let snapshot = self.tables.current.load_full();
        let is_own = |holder: &Holder| holder.boot == self.identity.boot;
        if !snapshot.coordinator.as_ref().is_some_and(is_own) {
            self.step_down(state, "it was not renewed in time, and its key has been removed");
            return Ok(());
        }
        if state.resume.is_none() {
            log::warn!(
                token = held.lease.token;
                "lease: not renewed in time; this node does not act until the store answers"
            );
        }
        if !state.resume.get_or_insert_default().begin(now) {
            return Ok(());
        }
        let found = self.store.read(S::coordinator_key(), Class::Lease).await?;
        if self.store.era() > held.key.era {
            return Ok(());
        }
        if found.is_none_or(|found| found.version != held.key.number) {
            self.step_down(state, "the lease has lapsed");
            return Ok(());
        }
        let sent = self.host.now();
        match self.store.renew(held.id, Class::Lease).await {
            Ok(_) if self.store.era() > held.key.era => Ok(()),
            Ok(renewed) => {
                self.record_renewal(state, held, sent, renewed);
                Ok(())
            }
            Err(e) => self.record_failed_renewal(state, held, e).await,
        }
    }

    /// Records that a renewal failed which followed a read of the key. Gives the lease up once too many
    /// of them were not answered.
    async fn record_failed_renewal(
        &self,
        state: &mut State,
        held: Held,
        error: store::Error,
    ) -> store::Result<()> {
        let is_unanswered = error.may_have_run();
        if !is_unanswered || !state.resume.get_or_insert_default().record_unanswered() {
            return Err(error);
        }
        log::info!(token = held.lease.token; "lease: {error}");
        self.step_down(state, "the store does not answer its renewals");
        state.leaves_until = Some(self.host.now() + GIVE_UP_DELAY);
        self.release(held).await
    }

    /// Records the answer to a renewal that was sent at `sent`: its time to live, or `None` if the
    /// lease has lapsed.
    fn record_renewal(
        &self,
        state: &mut State,
        mut held: Held,
        sent: moment::Moment,
        renewed: Option<time::Duration>,
    ) {
        let Some(ttl) = renewed else {
            self.step_down(state, "the lease has lapsed");
            return;
        };
        if state.resume.take().is_some() {
            log::info!(token = held.lease.token; "lease: the store has kept it; this node acts again");
        }
        held.lease.renewed(sent, ttl);
        state.held = Some(held);
        self.tables.coordinator.lock().valid_until = Some(held.lease.valid_until());
    }

    /// Acquires the lease if it is free and it is this node's turn to try.
    async fn try_acquire(&self, state: &mut State, now: moment::Moment) -> store::Result<()> {
        let snapshot = self.tables.current.load_full();
        let leaves = state.leaves_until.is_some_and(|until| now < until);
        if leaves || snapshot.deployment.is_none() || snapshot.coordinator.is_some() {
            (state.free_since, state.attempt_at) = (None, None);
            return Ok(());
        }
        let free = *state.free_since.get_or_insert(now);
        let attempt = match state.attempt_at {
            Some(at) => at,
            None => {
                let own = self.identity.node.as_str();
                let is_late = now.since(free) >= SMALL_NODE_DELAY;
                if !is_late && !snapshot.is_large(own, None) {
                    return Ok(());
                }
                let live = snapshot.nodes.keys().map(|node| node.as_str());
                let live = live.filter(|node| is_late || snapshot.is_large(node, None));
                let at = lease::acquire_at("coordinator", own, live, free, &mut rand::rng());
                let Some(at) = at else { return Ok(()) };
                *state.attempt_at.insert(at)
            }
        };
        if now < attempt {
            return Ok(());
        }
        state.attempt_at = None;
        state.free_since = Some(now);
        self.acquire(state).await
    }

    async fn acquire(&self, state: &mut State) -> store::Result<()> {
        let (value, key) = (self.own_value()?, S::coordinator_key());
        let mut expected = 0;
        let (sent, id, key) = loop {
            let sent = self.host.now();
            let id = self.store.grant(TTL, Class::Lease).await?;
            let era = self.store.era();
            let number = match self.store.swap(key, expected, &value, Some(id), Class::Lease).await
            {
                Ok(Swap::Done(revision)) => revision,
                Ok(Swap::Conflict(_)) if self.store.era() != era => return Ok(()),
                Ok(Swap::Conflict(_)) => return self.store.revoke(id, Class::Lease).await,
                Err(e) if e.may_have_run() => match self.store.read(key, Class::Lease).await? {
                    Some(found) if found.value == value => found.version,
                    _ => return Err(e),
                },
                Err(e) => return Err(e),
            };
            if self.store.era() == era {
                break (sent, id, revision::Revision { era, number });
            }
            // The store has come back from an earlier copy meanwhile, where the lease may be that of
            // another node.
            expected = number;
        };
        let token = key.token();
        let held = Held { id, key, lease: lease::Held { token, sent, ttl: TTL } };
        state.held = Some(held);
        log::info!(token = token; "lease: this node is the coordinator");
        let mut coordinator = self.tables.coordinator.lock();
        coordinator.state = Some(formation::State::new(token));
        coordinator.valid_until = Some(held.lease.valid_until());
        coordinator.is_fenced = false;
        Ok(())
    }

    /// The value of the key while this node holds the lease.
    fn own_value(&self) -> store::Result<Vec<u8>> {
        let holder = Holder { node: self.identity.node.clone(), boot: self.identity.boot };
        source::encode("coordinate", &holder)
    }

    fn step_down(&self, state: &mut State, reason: &str) {
        log::warn!("lease: this node is no longer the coordinator: {reason}");
        *state = State {
            last_check: state.last_check,
            pause_end: state.pause_end,
            leaves_until: state.leaves_until,
            ..State::default()
        };
        let mut coordinator = self.tables.coordinator.lock();
        coordinator.state = None;
        coordinator.valid_until = None;
        coordinator.is_fenced = false;
    }
}
