//! HTTP/1.1 and HTTP/2 servers: an accept loop with limits on connections and headers, and a
//! graceful shutdown.
//!
//! A front end provides a [`tower::Service`] for requests and a [`refuse::Refuse`], which builds
//! the responses that the server sends when a limit is exceeded, in the front end's error format.

pub mod accept;
pub mod body;
mod connection;
mod header;
pub mod limits;
mod output;
pub mod peer;
pub mod refuse;
mod session;
mod socket;
pub mod status;
mod unread;
mod withheld;

pub use accept::bind;
pub use limits::Limits;
