//! The client at the other end of a connection.

use corneltrestle_kernel::{disconnect, memory};
use hyper::http;

/// The client of a connection and how the connection ends, as an extension of each request that
/// arrives on it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) caller: memory::Caller,
    pub(crate) disconnect: disconnect::Handle,
}

/// The client that sent a request, for the memory budget; its organisation is not known yet.
pub fn caller(extensions: &http::Extensions) -> memory::Caller {
    extensions.get::<Peer>().map_or(memory::Caller::NODE, |peer| peer.caller)
}

/// The end of the connection on which a request arrived, for a request that is dropped before its answer
/// is complete.
pub fn disconnect(extensions: &http::Extensions) -> disconnect::Handle {
    extensions.get::<Peer>().map(|peer| peer.disconnect.clone()).unwrap_or_default()
}
