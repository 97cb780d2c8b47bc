//! Errors of links.

use std::{fmt, net};

use corneltrestle_rpc as rpc;
use corneltrestle_wire::link as wire;

/// An error of a call to a peer, or of the link server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The shared secret is too short.
    Secret {
        /// Minimum length in bytes.
        min: usize,
    },
    /// The peer was not reached or answered with an error.
    Call(rpc::Error),
    /// The response has a field out of its bounds.
    Malformed {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: net::SocketAddr,
        /// The field and its fault.
        cause: wire::Error,
    },
    /// The server failed.
    Server {
        /// Address that it listened on.
        address: net::SocketAddr,
        /// The underlying error.
        cause: String,
    },
}

impl From<rpc::Error> for Error {
    fn from(error: rpc::Error) -> Self {
        Self::Call(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Secret { min } => write!(f, "the link secret needs at least {min} bytes"),
            Self::Call(error) => error.fmt(f),
            Self::Malformed { step, peer, cause } => {
                write!(f, "{step} at node {peer}: malformed answer: {cause}")
            }
            Self::Server { address, cause } => write!(f, "link server at {address}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
