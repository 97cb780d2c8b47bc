//! `corneltrestle measure`: runs measurement scenarios.

use corneltrestle_kernel::linkme;
use corneltrestle_measure::scenario;
use lexopt::prelude::*;

use super::Result;
use crate::command;

#[linkme::distributed_slice(command::COMMANDS)]
#[linkme(crate = linkme)]
static MEASURE: command::Command = command::Command {
    name: "measure",
    summary: "run a measurement scenario next to its baseline",
    help: HELP,
    run,
};

const HELP: &str = "\
Runs a measurement scenario: the real code against small stand-ins on the loopback interface, next to
a simple baseline in the same run.

Usage: corneltrestle measure SCENARIO [--seed N] [--json]
       corneltrestle measure --list

Options:
  --seed N  seed of all random values of the scenario (default 1)
  --json    print the results as JSON
  --list    list the scenarios

Exit codes: 0 all goals met, 1 a goal was not met or the scenario could not run, 2 invalid command
line.
";

fn run(parser: &mut lexopt::Parser) -> Result<command::Exit> {
    let (mut name, mut seed, mut json, mut list) = (None, 1, false, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Value(value) if name.is_none() => name = Some(value.string()?),
            Long("seed") => seed = parser.value()?.parse()?,
            Long("json") => json = true,
            Long("list") => list = true,
            argument => return Err(argument.unexpected().into()),
        }
    }
    if list {
        for scenario in scenario::ordered() {
            println!("{:14} {}", scenario.name, scenario.summary);
        }
        return Ok(command::Exit::Success);
    }
    let name = name.ok_or_else(|| command::Error::Usage("SCENARIO is missing".to_owned()))?;
    let scenario = scenario::ordered()
        .into_iter()
        .find(|scenario| scenario.name == name)
        .ok_or_else(|| {
            command::Error::Usage(format!("unknown scenario {name}; `measure --list` prints all"))
        })?;
    let report = (scenario.run)(&scenario::Options { seed, progress: !json }).map_err(|e| {
        command::Error::Failed { step: "measure", target: name, cause: e.to_string() }
    })?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print!("{report}");
    }
    Ok(if report.is_met() { command::Exit::Success } else { command::Exit::Failure })
}
