//! `corneltrestle report`: prints reports.
//!
//! Each report is one file that registers itself in [`REPORTS`].

pub mod burn;

use corneltrestle_kernel::linkme::{self, distributed_slice};
use lexopt::prelude::*;

use super::Result;
use crate::command;

/// A report, a subcommand of `corneltrestle report`.
#[derive(Debug)]
pub struct Report {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub summary: &'static str,
    /// Text that `--help` prints.
    pub help: &'static str,
    /// Runs the report with the arguments that follow its name.
    pub run: fn(&mut lexopt::Parser) -> Result<command::Exit>,
}

/// All reports linked into the program.
#[distributed_slice]
#[linkme(crate = linkme)]
pub static REPORTS: [Report];

#[linkme::distributed_slice(command::COMMANDS)]
#[linkme(crate = linkme)]
static REPORT: command::Command =
    command::Command { name: "report", summary: "print a report", help: HELP, run };

const HELP: &str = "\
Prints a report.

Usage: corneltrestle report NAME [OPTIONS]

Reports:
  burn  error budgets and burn rates by service and organisation

Run 'corneltrestle report NAME --help' for the options of a report.

Exit codes: 0 success, 1 failure or negative result, 2 invalid command line.
";

fn run(parser: &mut lexopt::Parser) -> Result<command::Exit> {
    let Some(Value(name)) = parser.next()? else {
        return Err(command::Error::Usage("NAME is missing".to_owned()));
    };
    let name = name.string()?;
    let report = REPORTS.iter().find(|report| report.name == name);
    let report = report.ok_or_else(|| command::Error::Usage(format!("unknown report {name}")))?;
    (report.run)(parser)
}
