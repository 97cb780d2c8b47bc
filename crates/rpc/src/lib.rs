//! gRPC between nodes, for any service: a client that keeps one channel for each peer, and incoming
//! connections for a server, limited in number and in idle time.

mod channels;
pub mod client;
pub mod error;
pub mod incoming;

pub use client::{Client, Limits};
pub use error::{Error, Result};
