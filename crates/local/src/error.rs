//! Errors of a deployment.

use std::{fmt, io};

use corneltrestle_kernel::node;

/// Why a deployment cannot run, with the step and the peer.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// An address could not be bound.
    Bind {
        /// The part.
        step: &'static str,
        /// The address.
        peer: String,
        /// The cause.
        source: io::Error,
    },
    /// A file could not be written.
    File {
        /// The file.
        peer: String,
        /// The cause.
        source: io::Error,
    },
    /// A node could not be opened.
    Node {
        /// The node.
        peer: String,
        /// The cause.
        source: node::Error,
    },
    /// A call failed.
    Call {
        /// The step.
        step: &'static str,
        /// The address.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// No node is running.
    NoNode,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { step, peer, source } => write!(f, "{step}: cannot bind {peer}: {source}"),
            Self::File { peer, source } => write!(f, "cannot write {peer}: {source}"),
            Self::Node { peer, source } => write!(f, "node {peer}: {source}"),
            Self::Call { step, peer, cause } => write!(f, "{step} at {peer}: {cause}"),
            Self::NoNode => f.write_str("no node is running"),
        }
    }
}

impl std::error::Error for Error {}
