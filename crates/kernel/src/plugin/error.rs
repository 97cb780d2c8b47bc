//! The error of a plug-in that cannot be opened.

use std::{fmt, io};

/// Why a plug-in cannot be opened, with the step and the peer.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// An address could not be bound.
    Bind {
        /// The plug-in.
        step: &'static str,
        /// The address.
        peer: String,
        /// The cause.
        source: io::Error,
    },
    /// Settings contradict each other.
    Settings {
        /// The plug-in.
        step: &'static str,
        /// What is wrong and what would be right.
        hint: String,
    },
    /// A file named in the settings could not be read.
    File {
        /// The plug-in.
        step: &'static str,
        /// The file.
        peer: String,
        /// The cause.
        source: io::Error,
    },
    /// A port was requested before any plug-in offered it.
    Port {
        /// The type of the port.
        step: &'static str,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { step, peer, source } => write!(f, "{step}: cannot bind {peer}: {source}"),
            Self::Settings { step, hint } => write!(f, "{step}: {hint}"),
            Self::File { step, peer, source } => write!(f, "{step}: cannot read {peer}: {source}"),
            Self::Port { step } => write!(f, "no plug-in offers the port {step}"),
        }
    }
}

impl std::error::Error for Error {}
