//! Model engines: reports, orders, generation and KV cache.

mod error;
pub mod http;
mod order;
mod request;

use std::net;

use corneltrestle_policy::{prefix, report};

pub use error::{Error, Kind};
pub use order::{Answer, Order};
pub use request::{Generate, Resume, Token};

/// The result of an engine call.
pub type Result<T> = std::result::Result<T, Error>;

/// Client of the engines of VMs.
pub trait Engine: Send + Sync + 'static {
    /// A stream of tokens.
    type Stream: Stream;

    /// Reads the report of the VM at `peer`.
    fn report(&self, peer: net::SocketAddr) -> impl Future<Output = Result<report::Report>> + Send;

    /// Gives an order to the VM at `peer`.
    fn order(
        &self,
        peer: net::SocketAddr,
        order: &Order<'_>,
    ) -> impl Future<Output = Result<Answer>> + Send;

    /// Reads cache events after a sequence number; they come late and with gaps.
    fn cache_events(
        &self,
        peer: net::SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<Vec<prefix::Event>>> + Send;

    /// Starts a streamed generation on the head VM at `peer`.
    fn stream(
        &self,
        peer: net::SocketAddr,
        request: &Generate<'_>,
    ) -> impl Future<Output = Result<Self::Stream>> + Send;

    /// Runs a generation that is answered in one body.
    fn complete(
        &self,
        peer: net::SocketAddr,
        request: &Generate<'_>,
    ) -> impl Future<Output = Result<bytes::Bytes>> + Send;

    /// Cancels a request.
    fn cancel(&self, peer: net::SocketAddr, id: &str) -> impl Future<Output = Result<()>> + Send;

    /// Exports the KV cache of a request.
    fn export(
        &self,
        peer: net::SocketAddr,
        id: &str,
    ) -> impl Future<Output = Result<bytes::Bytes>> + Send;

    /// Imports the KV cache of a request.
    fn import(
        &self,
        peer: net::SocketAddr,
        id: &str,
        cache: bytes::Bytes,
    ) -> impl Future<Output = Result<()>> + Send;
}

/// A stream of tokens; dropping it closes its connection.
pub trait Stream: Send + 'static {
    /// The next token, or `None` after the mark of a complete answer.
    ///
    /// A connection that ends before that mark is an error.
    fn next(&mut self) -> impl Future<Output = Result<Option<Token>>> + Send;
}
