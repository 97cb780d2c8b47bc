//! An HTTP/1.1 client with a connection pool, shared by the clients of the platform's services and
//! of upstreams.
//!
//! A [`pool::Pool`] keeps idle connections per peer address. No background task polls a connection:
//! the future that uses it does. Dropping a call or a [`body::Body`] therefore closes the
//! connection at once.

pub mod body;
mod connection;
pub mod error;
pub mod headers;
mod limited;
pub mod pool;

pub use error::{Error, Kind, Result};
