//! Errors of calls to peers.

use std::{fmt, net};

/// The result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
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
    Timeout {
        /// The call.
        step: &'static str,
        /// The peer.
        peer: net::SocketAddr,
    },
    /// The peer does not accept the caller's credentials.
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
}

impl Error {
    /// Whether another connection to the peer may succeed.
    pub fn is_connection(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Timeout { .. })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { step, peer, cause } => {
                write!(f, "{step} at node {peer}: not reachable: {cause}")
            }
            Self::Timeout { step, peer } => write!(f, "{step} at node {peer}: no answer in time"),
            Self::Refused { step, peer } => {
                write!(f, "{step} at node {peer}: the node has another link secret")
            }
            Self::Failed { step, peer, cause } => write!(f, "{step} at node {peer}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}
