//! The key-value service: compare-and-swap, leases and watches.

pub mod budget;
mod error;
pub mod limiter;

use std::time;

pub use corneltrestle_policy::calls::Class;
pub use error::{Error, Kind};
pub use limiter::{InFlight, Limiter, Permit};

/// The result of a store call.
pub type Result<T> = std::result::Result<T, Error>;

/// Identifier of a store lease.
pub type LeaseId = i64;

/// Version of a value; grows with each write to any key. 0 stands for an absent key.
pub type Version = u64;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The version of the latest write to the key.
    pub version: Version,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
}

/// How a compare-and-swap ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// It took effect; the key has this version now.
    Done(Version),
    /// The key had another version; its present value, if any.
    Conflict(Option<Versioned>),
}

/// What a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The key has a new value, or was deleted.
    Changed(Option<Versioned>),
    /// Nothing changed; the connection is alive.
    Progress,
}

/// The platform's key-value service.
///
/// A call whose answer is lost fails with [`Kind::Unknown`]; the caller settles it by reading.
pub trait Store: Send + Sync + 'static {
    /// A watch on one key.
    type Watch: Watch;

    /// Reads a key.
    fn read(
        &self,
        key: &str,
        class: Class,
    ) -> impl Future<Output = Result<Option<Versioned>>> + Send;

    /// Writes a key if it still has the version `expected`, attached to `lease` if one is given.
    fn swap(
        &self,
        key: &str,
        expected: Version,
        value: &[u8],
        lease: Option<LeaseId>,
        class: Class,
    ) -> impl Future<Output = Result<Swap>> + Send;

    /// Grants a lease; attached keys are deleted when it lapses.
    fn grant(
        &self,
        ttl: time::Duration,
        class: Class,
    ) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Renews a lease; `None` if it has lapsed, else the time that it has left.
    fn renew(
        &self,
        lease: LeaseId,
        class: Class,
    ) -> impl Future<Output = Result<Option<time::Duration>>> + Send;

    /// Revokes a lease.
    fn revoke(&self, lease: LeaseId, class: Class) -> impl Future<Output = Result<()>> + Send;

    /// Watches a key for versions after `after`.
    fn watch(&self, key: &str, after: Version) -> impl Future<Output = Result<Self::Watch>> + Send;
}

/// A watch on one key.
pub trait Watch: Send + 'static {
    /// The next event; an error ends the watch.
    fn next(&mut self) -> impl Future<Output = Result<Event>> + Send;
}
