//! Errors of checking and opening a plug-in.

use std::{fmt, io};

/// Why a plug-in cannot be opened.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// An address could not be bound.
    Bind {
        /// Name of the plug-in.
        plugin: &'static str,
        /// Address and port that the plug-in tried to bind.
        address: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// Settings contradict each other, or a value fails a check that its key's type cannot state.
    Settings {
        /// Name of the plug-in.
        plugin: &'static str,
        /// Section and key, what is wrong and what is expected.
        message: String,
    },
    /// A file named in the settings could not be read.
    File {
        /// Name of the plug-in.
        plugin: &'static str,
        /// Path of the file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// No plug-in that opened earlier has provided a port of this type.
    Port {
        /// Type name of the port.
        port: &'static str,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { plugin, address, source } => {
                write!(f, "{plugin}: cannot bind {address}: {source}")
            }
            Self::Settings { plugin, message } => write!(f, "{plugin}: {message}"),
            Self::File { plugin, path, source } => {
                write!(f, "{plugin}: cannot read {path}: {source}")
            }
            Self::Port { port } => write!(f, "no plug-in provides the port {port}"),
        }
    }
}

impl std::error::Error for Error {}
