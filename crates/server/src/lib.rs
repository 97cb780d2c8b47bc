//! HTTP servers of a node: an accept loop with limits on connections and headers, and a graceful
//! shutdown.
//!
//! A front end provides a service for requests and a [`refuse::Refuse`] for connections that never
//! carry a complete request.

pub mod accept;
mod early;
mod header;
pub mod limits;
pub mod refuse;
pub mod status;

pub use accept::bind;
pub use limits::Limits;
