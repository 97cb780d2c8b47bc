//! Errors of calls to peers.

use std::{fmt, net};

/// The result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The peer cannot be connected to, or the connection ended during the call.
    Unreachable {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: net::SocketAddr,
        /// Message of the transport.
        cause: String,
    },
    /// The peer did not answer in time.
    Timeout {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: net::SocketAddr,
    },
    /// The peer does not accept the caller's credentials.
    Refused {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: net::SocketAddr,
    },
    /// The peer responded with an error.
    Failed {
        /// Name of the call.
        step: &'static str,
        /// Address of the peer.
        peer: net::SocketAddr,
        /// Message of the peer, shortened.
        cause: String,
    },
}

impl Error {
    /// Whether the connection failed or may be dead, so that a call on another one may succeed.
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
