//! `corneltrestle demo`: the whole system in one process, under load, with a zone that leaves and
//! returns.

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
over real sockets on the loopback interface. Applies a release note, sends requests of two
organisations, restarts a node, takes a zone out of service, brings it back, and checks
every answer.

Usage: corneltrestle demo [--serve] [--seed N] [--json]

Options:
  --serve   keep the deployment up after the run, with curl lines to try, until Ctrl-C
  --seed N  seed of the requests; 1 unless given
  --json    print the table as JSON; progress goes to standard error

Exit codes: 0 no guarantee was violated, 1 a guarantee was violated or the demo could not run,
2 wrong command line.
";

/// Worker threads of the deployment and of the callers.
const WORKERS: usize = 4;

/// What the command line asks for.
#[derive(Clone, Copy, Debug)]
struct Options {
    serve: bool,
    seed: u64,
    json: bool,
}

impl Options {
    /// Prints a line of progress.
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

fn failed(step: &'static str, peer: impl ToString, cause: impl ToString) -> command::Error {
    command::Error::Failed { step, peer: peer.to_string(), cause: cause.to_string() }
}
