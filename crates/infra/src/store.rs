//! The key-value service: compare-and-swap, leases and watches on single keys.
//!
//! Each call names its [`Class`], by which the [`budget`] limits the rate of calls.

pub mod budget;
mod error;
pub mod limiter;

use std::time;

pub use corneltrestle_policy::calls::Class;
pub use error::{Error, Kind};
pub use limiter::{InFlight, Limiter, Permit};

/// The result of a store call.
pub type Result<T> = std::result::Result<T, Error>;

/// Identifier of a lease, assigned by the store.
pub type LeaseId = i64;

/// Version of a value: the store's revision at its last write, which grows with each write to any
/// key. Zero stands for an absent key. Versions of two eras cannot be compared, see [`Store::era`].
pub type Version = u64;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the last write to the key.
    pub version: Version,
    /// Content of the key, at most 1 MB.
    pub value: Vec<u8>,
}

/// The result of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written; this is the key's new version.
    Done(Version),
    /// The key had another version, so that nothing was written. Contains the current value, or
    /// `None` if the key is absent.
    Conflict(Option<Versioned>),
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The key has a new value, or was deleted (`None`).
    Changed(Option<Versioned>),
    /// Nothing has changed; sent now and then to show that the watch is alive.
    Progress,
}

/// A client of the platform's key-value service.
///
/// A call whose answer is lost fails with [`Kind::Unknown`]; the caller reads the key to find out
/// whether the call took effect.
pub trait Store: Send + Sync + 'static {
    /// A watch on one key.
    type Watch: Watch;

    /// Reads a key; `None` if it is absent.
    fn read(
        &self,
        key: &str,
        class: Class,
    ) -> impl Future<Output = Result<Option<Versioned>>> + Send;

    /// Writes a key if its version is `expected`, zero for an absent key. With a `lease`, the key
    /// is deleted when the lease ends.
    fn swap(
        &self,
        key: &str,
        expected: Version,
        value: &[u8],
        lease: Option<LeaseId>,
        class: Class,
    ) -> impl Future<Output = Result<Swap>> + Send;

    /// Grants a lease that expires `ttl` after its last renewal; its keys are then deleted.
    fn grant(
        &self,
        ttl: time::Duration,
        class: Class,
    ) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Renews a lease and returns its remaining time, or `None` if it has expired.
    fn renew(
        &self,
        lease: LeaseId,
        class: Class,
    ) -> impl Future<Output = Result<Option<time::Duration>>> + Send;

    /// Revokes a lease, which deletes its keys.
    fn revoke(&self, lease: LeaseId, class: Class) -> impl Future<Output = Result<()>> + Send;

    /// The latest era that an answer has named. It rises each time the store comes back from an
    /// earlier copy of itself, without the writes and leases since then. It is 0 for a store that does
    /// not name its eras. An answer belongs to an era that is the same before and after the call.
    fn era(&self) -> u64 {
        0
    }

    /// Watches a key for changes with a version greater than `after`.
    fn watch(&self, key: &str, after: Version) -> impl Future<Output = Result<Self::Watch>> + Send;
}

/// A watch on one key.
pub trait Watch: Send + 'static {
    /// Waits for the next event. An error ends the watch; the caller opens a new one.
    fn next(&mut self) -> impl Future<Output = Result<Event>> + Send;
}
