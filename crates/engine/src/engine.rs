//! Calls to model engines: reports, orders, generation requests and KV cache transfers.

mod error;
pub mod http;
mod order;
mod request;

use std::{net, time};

use corneltrestle_policy::{prefix, report};

pub use error::{Error, Kind};
pub use order::{Answer, Order};
pub use request::{Generate, Resume, Token};

/// The result of an engine call.
pub type Result<T> = std::result::Result<T, Error>;

/// Client of the engines, one on each VM.
pub trait Engine: Send + Sync + 'static {
    /// The stream of a generated response.
    type Stream: Stream;

    /// Reads the report of the VM at `peer` within `timeout`.
    fn report(
        &self,
        peer: net::SocketAddr,
        timeout: time::Duration,
    ) -> impl Future<Output = Result<report::Report>> + Send;

    /// Sends an order to the VM at `peer`, at most once.
    fn order(
        &self,
        peer: net::SocketAddr,
        order: &Order<'_>,
    ) -> impl Future<Output = Result<Answer>> + Send;

    /// Reads the KV cache events after the sequence number `after`. The engine reports them late
    /// and with gaps.
    fn cache_events(
        &self,
        peer: net::SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<Vec<prefix::Event>>> + Send;

    /// Starts a generation on the head VM of a replica at `peer`, with a streamed response. It is
    /// sent at most once.
    fn stream(
        &self,
        peer: net::SocketAddr,
        request: &Generate<'_>,
    ) -> impl Future<Output = Result<Self::Stream>> + Send;

    /// Runs a generation whose response arrives as one JSON body. It is sent at most once.
    fn complete(
        &self,
        peer: net::SocketAddr,
        request: &Generate<'_>,
    ) -> impl Future<Output = Result<bytes::Bytes>> + Send;

    /// Cancels the request `id`.
    fn cancel(&self, peer: net::SocketAddr, id: &str) -> impl Future<Output = Result<()>> + Send;

    /// Exports the KV cache of the request `id`, as opaque bytes.
    fn export(
        &self,
        peer: net::SocketAddr,
        id: &str,
    ) -> impl Future<Output = Result<bytes::Bytes>> + Send;

    /// Imports an exported KV cache for the request `id`.
    fn import(
        &self,
        peer: net::SocketAddr,
        id: &str,
        cache: bytes::Bytes,
    ) -> impl Future<Output = Result<()>> + Send;
}

/// A stream of tokens. Dropping it before its end closes its connection.
pub trait Stream: Send + 'static {
    /// Waits for the next token; `None` after the event that marks the response as complete.
    ///
    /// # Errors
    ///
    /// When an event is not valid for this request, or when the connection ends before the response
    /// is marked as complete.
    fn next(&mut self) -> impl Future<Output = Result<Option<Token>>> + Send;
}
