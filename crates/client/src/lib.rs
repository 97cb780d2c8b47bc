//! HTTP/1.1 connections to peers, shared by the clients of the platform and of upstreams.
//!
//! A [`pool::Pool`] keeps idle connections per peer. Each connection is driven by the future that
//! uses it, so that dropping a call or a [`body::Body`] closes the connection at once.

pub mod body;
mod connection;
pub mod error;
pub mod headers;
pub mod pool;

pub use error::{Error, Kind, Result};
