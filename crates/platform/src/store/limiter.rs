//! Limits on the calls that a node makes.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::{Class, Error, Kind, Result};

/// Decides whether a call may start.
pub trait Limiter: Send + Sync + 'static {
    /// Held while a call is in progress.
    type Permit: Send + 'static;

    /// Starts a call of `class`.
    ///
    /// # Errors
    ///
    /// [`Kind::Budget`] when the call may not start now; the client adds the step and the peer.
    fn start(&self, class: Class) -> Result<Self::Permit>;

    /// Learns whether the store answered a call of `class`.
    fn settled(&self, class: Class, answered: bool) {
        let _ = (class, answered);
    }
}

/// Allows a fixed number of calls in flight, whatever their class.
#[derive(Clone, Debug)]
pub struct InFlight {
    free: Arc<Semaphore>,
}

impl InFlight {
    /// A limit of `calls` in flight; a waiting watch is one of them.
    pub fn new(calls: usize) -> Self {
        Self { free: Arc::new(Semaphore::new(calls)) }
    }
}

impl Limiter for InFlight {
    type Permit = OwnedSemaphorePermit;

    fn start(&self, _: Class) -> Result<Self::Permit> {
        Arc::clone(&self.free).try_acquire_owned().map_err(|_| Error {
            kind: Kind::Budget,
            step: "limit",
            peer: String::new(),
            cause: "too many calls in flight".to_owned(),
        })
    }
}
