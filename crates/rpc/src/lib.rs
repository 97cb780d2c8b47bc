//! gRPC between nodes, for any service: a client with one channel for each peer, and bounded
//! incoming connections for a server.

mod channels;
pub mod client;
pub mod error;
pub mod incoming;

pub use client::{Client, Limits};
pub use error::{Error, Result};
