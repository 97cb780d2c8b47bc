//! Limits on the store calls of a client.

use std::sync;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Result;
use crate::store;

/// Decides whether a call may start.
pub trait Limiter: Send + Sync + 'static {
    /// Held while a call is in progress.
    type Permit: Permit;

    /// Acquires a permit for a call of `class`; may wait for a short time.
    ///
    /// # Errors
    ///
    /// [`store::Kind::Budget`] when the call may not start now. The client replaces the step and
    /// the peer of the error.
    fn acquire(&self, class: store::Class) -> impl Future<Output = Result<Self::Permit>> + Send;
}

/// The permit of a call in progress. Dropping it ends the call.
pub trait Permit: Send + 'static {
    /// Records whether the store has answered the call.
    fn record(&mut self, answered: bool);
}

/// A limiter that allows a fixed number of calls in flight, whatever their class. It never waits.
#[derive(Clone, Debug)]
pub struct InFlight {
    free: sync::Arc<Semaphore>,
}

impl InFlight {
    /// Allows `calls` in flight. An open watch counts as one.
    pub fn new(calls: usize) -> Self {
        Self { free: sync::Arc::new(Semaphore::new(calls)) }
    }
}

impl Limiter for InFlight {
    type Permit = OwnedSemaphorePermit;

    async fn acquire(&self, _: store::Class) -> Result<Self::Permit> {
        sync::Arc::clone(&self.free)
            .try_acquire_owned()
            .map_err(|_| over_limit("too many calls in flight".to_owned()))
    }
}

impl Permit for OwnedSemaphorePermit {
    fn record(&mut self, _: bool) {}
}

/// The error of a call that may not start now.
pub(super) fn over_limit(cause: String) -> store::Error {
    store::Error { kind: store::Kind::Budget, step: "limit", peer: String::new(), cause }
}
