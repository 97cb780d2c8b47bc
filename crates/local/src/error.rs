//! Errors of starting and calling a deployment.

use std::{fmt, io};

use corneltrestle_kernel::node;

/// Why a deployment could not be started or called.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// A stand-in could not bind its address.
    Bind {
        /// Kind of stand-in, such as `engine`.
        component: &'static str,
        /// IP address that it tried to bind.
        address: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The files of a deployment could not be written.
    File {
        /// Directory of the files.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A node could not be started.
    Node {
        /// Name of the node.
        name: String,
        /// Error of the node.
        source: node::Error,
    },
    /// An HTTP call failed.
    Call {
        /// What was attempted, such as `connect`.
        step: &'static str,
        /// Address that was called.
        address: String,
        /// Why it failed.
        cause: String,
    },
    /// No node is running, or none has the given name.
    NoNode,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { component, address, source } => {
                write!(f, "{component}: cannot bind {address}: {source}")
            }
            Self::File { path, source } => write!(f, "cannot write {path}: {source}"),
            Self::Node { name, source } => write!(f, "node {name}: {source}"),
            Self::Call { step, address, cause } => write!(f, "{step} at {address}: {cause}"),
            Self::NoNode => f.write_str("no node is running"),
        }
    }
}

impl std::error::Error for Error {}
