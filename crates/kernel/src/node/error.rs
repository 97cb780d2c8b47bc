//! Errors of opening a node.

use std::{fmt, io};

use crate::{plugin, settings};

/// Why a node cannot be opened.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The worker threads could not be started.
    Pool(io::Error),
    /// The settings are invalid.
    Settings(settings::Error),
    /// A plug-in could not be opened.
    Plugin(plugin::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pool(e) => write!(f, "cannot start the worker threads: {e}"),
            Self::Settings(e) => e.fmt(f),
            Self::Plugin(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for Error {}
