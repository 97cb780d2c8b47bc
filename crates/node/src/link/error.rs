//! Errors of links.

use std::{fmt, net};

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
    /// There is no connection to the peer.
    Unreachable {
        /// The call.
        step: &'static str,
        /// The peer.
        peer: net::SocketAddr,
        /// The cause.
        cause: String,
    },
    /// The peer did not answer in time.
    Silent {
        /// The call.
        step: &'static str,
        /// The peer.
        peer: net::SocketAddr,
    },
    /// The peer has another secret.
    Refused {
        /// The call.
        step: &'static str,
        /// The peer.
        peer: net::SocketAddr,
    },
    /// The peer answered with an error.
    Failed {
        /// The call.
        step: &'static str,
        /// The peer.
        peer: net::SocketAddr,
        /// The cause.
        cause: String,
    },
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

impl Error {
    /// Whether another connection to the peer may succeed.
    pub(super) fn is_connection(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Silent { .. })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Secret { min } => write!(f, "the link secret needs at least {min} bytes"),
            Self::Unreachable { step, peer, cause } => {
                write!(f, "{step} at node {peer}: not reachable: {cause}")
            }
            Self::Silent { step, peer } => write!(f, "{step} at node {peer}: no answer in time"),
            Self::Refused { step, peer } => {
                write!(f, "{step} at node {peer}: the node has another link secret")
            }
            Self::Failed { step, peer, cause } => write!(f, "{step} at node {peer}: {cause}"),
            Self::Malformed { step, peer, cause } => {
                write!(f, "{step} at node {peer}: malformed answer: {cause}")
            }
            Self::Server { address, cause } => write!(f, "link server at {address}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
