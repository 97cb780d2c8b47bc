//! `corneltrestle demo`: runs the complete system in one process under load while a node restarts
//! and a zone is taken out of service and brought back, and checks every answer.

mod check;
mod notes;
mod report;
mod request;
mod run;
mod serve;
mod tally;
mod traffic;

use corneltrestle_kernel::{linkme, pool};
use lexopt::prelude::*;

use super::Result;
use crate::command;

#[linkme::distributed_slice(command::COMMANDS)]
#[linkme(crate = linkme)]
static DEMO: command::Command = command::Command {
    name: "demo",
    summary: "run the whole system in one process and check its guarantees",
    help: HELP,
    run,
};

const HELP: &str = "\
Runs stand-ins of the outside systems and four entry nodes in two availability zones in one process,
connected by real sockets on the loopback interface. Applies a release note, sends requests of two
organisations, restarts a node, takes a zone out of service, brings it back, and checks every answer.

Usage: corneltrestle demo [--serve] [--seed N] [--json]

Options:
  --serve   keep the deployment running after the run and print curl commands to try, until Ctrl-C
  --seed N  seed of the random requests (default 1)
  --json    print the table as JSON; progress goes to standard error

Exit codes: 0 no guarantee was violated, 1 a guarantee was violated or the demo could not run,
2 invalid command line.
";

/// Worker threads, shared by the deployment and the callers.
const WORKERS: usize = 4;

/// Options of the command line.
#[derive(Clone, Copy, Debug)]
struct Options {
    /// Keep the deployment running after the run.
    serve: bool,
    /// Seed of the random requests.
    seed: u64,
    /// Print the report as JSON.
    json: bool,
}

impl Options {
    /// Prints a line of progress; on stderr if stdout is for the JSON report.
    fn progress(&self, line: &str) {
        if self.json {
            eprintln!("{line}");
        } else {
            println!("{line}");
        }
    }
}

fn run(parser: &mut lexopt::Parser) -> Result<command::Exit> {
    let mut options = Options { serve: false, seed: 1, json: false };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("serve") => options.serve = true,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("json") => options.json = true,
            argument => return Err(argument.unexpected().into()),
        }
    }
    let pool = pool::Pool::new(WORKERS).map_err(|e| failed("start", "workers", e))?;
    let report = pool.block_on(run::run(options))?;
    Ok(if report.violations.is_empty() { command::Exit::Success } else { command::Exit::Failure })
}

fn failed(step: &'static str, target: impl ToString, cause: impl ToString) -> command::Error {
    command::Error::Failed { step, target: target.to_string(), cause: cause.to_string() }
}
