//! Receives request bodies within limits of size, time and memory.

use corneltrestle_kernel::{host, memory};
use corneltrestle_node::pipeline::refusal::Result;
use corneltrestle_server::body as server;
use hyper::body;

pub(crate) use server::Limits;

/// Receives a complete body on behalf of `caller`.
///
/// # Errors
///
/// When it is too large, does not arrive in time or completely, or the node has no memory for it.
pub(crate) async fn read(
    body: body::Incoming,
    limits: &Limits,
    caller: memory::Caller,
    host: &host::Host,
) -> Result<bytes::Bytes> {
    Ok(server::collect(body, limits, caller, host).await?)
}
