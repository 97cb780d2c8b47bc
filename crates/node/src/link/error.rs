//! Errors of links.

use std::{fmt, net};

use corneltrestle_rpc as rpc;
use corneltrestle_wire::link as wire;

/// Why a call to a peer, or the server, failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The shared secret is too short.
    Secret {
        /// Its least length in bytes.
        min: usize,
    },
    /// The call failed.
    Call(rpc::Error),
    /// The answer is out of its bounds.
    Malformed {
        /// The call.
        step: &'static str,
        /// The peer.
        peer: net::SocketAddr,
        /// The field.
        cause: wire::Error,
    },
    /// The server ended without being stopped.
    Server {
        /// The address that it served.
        address: net::SocketAddr,
        /// The cause.
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
