//! Links between nodes: the client of calls to peers and the server that answers them.
//!
//! A shared secret authenticates the caller of each call. Every call may be repeated: pulls and
//! fetches only read, and an update that is already known has no effect.

mod error;
pub mod handler;
pub mod plugins;
mod secret;
mod server;
mod tonic_link;

use std::net;

use corneltrestle_wire::link::{self, Digest};

pub use corneltrestle_rpc::Limits;
pub use error::Error;
pub use secret::MIN_SECRET_BYTES;
pub use server::serve;
pub use tonic_link::TonicLink;

/// The result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// Calls to peers by the address of their link.
pub trait Link: Send + Sync + 'static {
    /// Requests a digest of what the peer knows and the caller does not.
    fn pull(
        &self,
        peer: net::SocketAddr,
        request: &link::PullRequest,
    ) -> impl Future<Output = Result<Digest>> + Send;

    /// Sends an update that cannot wait for the next pull.
    fn push(
        &self,
        peer: net::SocketAddr,
        update: &link::Update,
    ) -> impl Future<Output = Result<link::Ack>> + Send;

    /// Requests the peer's copy of a stored document.
    fn fetch(
        &self,
        peer: net::SocketAddr,
        request: &link::FetchRequest,
    ) -> impl Future<Output = Result<link::Value>> + Send;

    /// Requests the peer's service-level counts.
    fn counts(
        &self,
        peer: net::SocketAddr,
        request: link::CountsRequest,
    ) -> impl Future<Output = Result<link::CountsReply>> + Send;

    /// Borrows one of the peer's warm-up slots; `None` if none is free.
    fn acquire(
        &self,
        peer: net::SocketAddr,
        request: &link::SlotRequest,
    ) -> impl Future<Output = Result<link::Loan>> + Send;

    /// Returns a borrowed slot.
    fn release(&self, peer: net::SocketAddr, loan: u64) -> impl Future<Output = Result<()>> + Send;

    /// Requests the state of the peer, or of all nodes of its zone.
    fn status(
        &self,
        peer: net::SocketAddr,
        request: link::StatusRequest,
    ) -> impl Future<Output = Result<link::StatusReply>> + Send;
}

/// Answers the calls of peers. Callers wait for 2 s, so a later answer is lost.
pub trait Handler: Send + Sync + 'static {
    /// Returns a digest of what this node knows and the caller does not.
    fn pull(&self, request: &link::PullRequest) -> impl Future<Output = Digest> + Send;

    /// Applies an update and forwards it if it is new.
    fn push(&self, update: &link::Update) -> impl Future<Output = link::Ack> + Send;

    /// Returns this node's copy of a stored document.
    fn fetch(&self, request: &link::FetchRequest) -> impl Future<Output = link::Value> + Send;

    /// Returns this node's service-level counts.
    fn counts(
        &self,
        request: link::CountsRequest,
    ) -> impl Future<Output = link::CountsReply> + Send;

    /// Lends one of this node's warm-up slots, if one is free.
    fn acquire(&self, request: &link::SlotRequest) -> impl Future<Output = link::Loan> + Send;

    /// Ends a loan.
    fn release(&self, loan: u64) -> impl Future<Output = ()> + Send;

    /// Returns the state of this node, or of all nodes of its zone.
    fn status(
        &self,
        request: link::StatusRequest,
    ) -> impl Future<Output = link::StatusReply> + Send;
}
