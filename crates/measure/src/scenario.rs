//! Scenarios, their registration and their errors.
//!
//! Each scenario is a module that registers itself in [`SCENARIOS`] at link time.

pub mod cold_start;
pub mod config;
pub mod control;
pub mod group_loss;
pub mod orders;
pub mod relay;
pub mod store_outage;
pub mod stranded;
pub mod zone_move;

use std::fmt;

use corneltrestle_kernel::linkme::{self, distributed_slice};
use corneltrestle_local as local;

use crate::report;

/// The result of running a scenario.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a scenario could not run.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The local deployment could not be started or operated.
    Local(local::Error),
    /// A step of the scenario failed.
    Failed {
        /// Short name of the step.
        step: &'static str,
        /// Text of the underlying error.
        cause: String,
    },
}

impl From<local::Error> for Error {
    fn from(e: local::Error) -> Self {
        Self::Local(e)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local(e) => e.fmt(f),
            Self::Failed { step, cause } => write!(f, "{step}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of all random choices of the scenario.
    pub seed: u64,
    /// Whether [`Options::print_progress`] prints anything.
    pub progress: bool,
}

impl Options {
    /// Prints a line to standard error if progress is wanted.
    pub fn print_progress(&self, line: impl fmt::Display) {
        if self.progress {
            eprintln!("{line}");
        }
    }
}

/// A measurement scenario.
#[derive(Debug)]
pub struct Scenario {
    /// Name on the command line and in the report.
    pub name: &'static str,
    /// What it measures, in one line.
    pub summary: &'static str,
    /// Runs the scenario; it must end within two minutes.
    pub run: fn(&Options) -> Result<report::Report>,
}

/// All scenarios linked into the program.
#[distributed_slice]
#[linkme(crate = linkme)]
pub static SCENARIOS: [Scenario];

/// All scenarios sorted by name.
pub fn ordered() -> Vec<&'static Scenario> {
    let mut all: Vec<_> = SCENARIOS.iter().collect();
    all.sort_by_key(|scenario| scenario.name);
    all
}
