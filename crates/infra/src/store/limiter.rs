//! Limits on the calls that a node makes.

use std::sync;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Result;
use crate::store;

/// Decides whether a call may start.
pub trait Limiter: Send + Sync + 'static {
    /// Held while a call is in progress.
    type Permit: Permit;

    /// Starts a call of `class`, after a short wait if need be.
    ///
    /// # Errors
    ///
    /// [`store::Kind::Budget`] when the call may not start now; the client adds the step and the peer.
    fn acquire(&self, class: store::Class) -> impl Future<Output = Result<Self::Permit>> + Send;
}

/// A call in progress; it ends when the permit is dropped.
pub trait Permit: Send + 'static {
    /// Learns whether the store answered.
    fn record(&mut self, answered: bool);
}

/// Allows a fixed number of calls in flight, whatever their class.
#[derive(Clone, Debug)]
pub struct InFlight {
    free: sync::Arc<Semaphore>,
}

impl InFlight {
    /// A limit of `calls` in flight; a waiting watch is one of them.
    pub fn new(calls: usize) -> Self {
        Self { free: sync::Arc::new(Semaphore::new(calls)) }
    }
}

impl Limiter for InFlight {
    type Permit = OwnedSemaphorePermit;

    async fn acquire(&self, _: store::Class) -> Result<Self::Permit> {
        sync::Arc::clone(&self.free)
            .try_acquire_owned()
            .map_err(|_| refused("too many calls in flight".to_owned()))
    }
}

impl Permit for OwnedSemaphorePermit {
    fn record(&mut self, _: bool) {}
}

/// A call that may not start now.
pub(super) fn refused(cause: String) -> store::Error {
    store::Error { kind: store::Kind::Budget, step: "limit", peer: String::new(), cause }
}
