//! Links between nodes: calls to peers and the server that answers them.
//!
//! A shared secret authenticates the caller of each call. Every call is repeatable: pulls and
//! fetches only read, and news that is known already has no effect.

pub mod answer;
mod error;
pub mod port;
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
    /// Asks for what the peer knows and the caller does not.
    fn pull(
        &self,
        peer: net::SocketAddr,
        request: &link::PullRequest,
    ) -> impl Future<Output = Result<Digest>> + Send;

    /// Sends news that cannot wait for the next pull.
    fn push(
        &self,
        peer: net::SocketAddr,
        news: &link::Update,
    ) -> impl Future<Output = Result<link::Ack>> + Send;

    /// Asks for a stored document as the peer knows it.
    fn fetch(
        &self,
        peer: net::SocketAddr,
        request: &link::FetchRequest,
    ) -> impl Future<Output = Result<link::Value>> + Send;

    /// Asks for the peer's service-level counts.
    fn counts(
        &self,
        peer: net::SocketAddr,
        request: link::CountsRequest,
    ) -> impl Future<Output = Result<link::CountsReply>> + Send;

    /// Asks for the use of one of the peer's warm-up slots.
    fn acquire(
        &self,
        peer: net::SocketAddr,
        request: &link::SlotRequest,
    ) -> impl Future<Output = Result<link::Loan>> + Send;

    /// Ends the use of a slot.
    fn release(&self, peer: net::SocketAddr, loan: u64) -> impl Future<Output = Result<()>> + Send;

    /// Asks for the peer's state.
    fn status(
        &self,
        peer: net::SocketAddr,
        request: link::StatusRequest,
    ) -> impl Future<Output = Result<link::StatusReply>> + Send;
}

/// Answers to the calls of peers. A caller waits for 2 s; later answers are lost.
pub trait Handler: Send + Sync + 'static {
    /// What this node knows and the caller does not.
    fn pull(&self, request: &link::PullRequest) -> impl Future<Output = Digest> + Send;

    /// Takes in news.
    fn push(&self, news: &link::Update) -> impl Future<Output = link::Ack> + Send;

    /// A stored document as this node knows it.
    fn fetch(&self, request: &link::FetchRequest) -> impl Future<Output = link::Value> + Send;

    /// This node's service-level counts.
    fn counts(
        &self,
        request: link::CountsRequest,
    ) -> impl Future<Output = link::CountsReply> + Send;

    /// Lends one of this node's warm-up slots, if one is free.
    fn acquire(&self, request: &link::SlotRequest) -> impl Future<Output = link::Loan> + Send;

    /// Takes a slot back.
    fn release(&self, loan: u64) -> impl Future<Output = ()> + Send;

    /// This node's state.
    fn status(
        &self,
        request: link::StatusRequest,
    ) -> impl Future<Output = link::StatusReply> + Send;
}
