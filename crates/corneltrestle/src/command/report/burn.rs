//! `corneltrestle report burn`: error budgets and burn rates of services by organisation.

mod html;
mod text;

use std::path;

use corneltrestle_kernel::linkme;
use corneltrestle_node::counts::summary;
use corneltrestle_policy::burn;
use lexopt::prelude::*;

use crate::command::{self, Result, client, report};

pub use html::render as html;
pub use text::render as text;

#[linkme::distributed_slice(report::REPORTS)]
#[linkme(crate = linkme)]
static BURN: report::Report = report::Report {
    name: "burn",
    summary: "error budgets and burn rates by service and organisation",
    help: HELP,
    run,
};

const HELP: &str = "\
Reports, for each service and organisation, how much of the error budget of the last 24 hours is
left and how fast it burns over the last 5 minutes and the last hour. A burn rate of 1 uses up the
budget in exactly 24 hours. The targets come from the release in force.

Usage: corneltrestle report burn --node ADDRESS --token-file FILE [--json] [--html FILE]

Each node keeps its counts in memory; the report adds up those of all nodes. Nodes that do not answer
are listed, and their counts are missing. A node that restarts begins with empty counts.

Verdicts: no-data, ok, slow-burn (both windows above 1), fast-burn (both windows at 6 or more, which
uses up the budget in 4 hours), exhausted.

Options:
  --node ADDRESS     operators' address of a node, such as 127.0.0.1:9100
  --token-file FILE  file with the operators' token
  --json             print the report as JSON
  --html FILE        also write the report with plots as one HTML file

Exit codes: 0 every budget lasts and every node answered, 1 a budget burns too fast or is exhausted,
a node is missing, or the report failed, 2 invalid command line.
";

fn run(parser: &mut lexopt::Parser) -> Result<command::Exit> {
    let (mut client, mut json, mut file) = (client::Client::default(), false, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => json = true,
            Long("html") => file = Some(path::PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(command::Exit::Success);
            }
            Long(name) => {
                let name = name.to_owned();
                if !client.parse_option(&name, parser)? {
                    return Err(command::Error::Usage(format!("unknown option --{name}")));
                }
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let response = client.call(hyper::Method::GET, "/v1/burn", String::new())?;
    let summary: summary::Summary = client.decode(&response)?;
    if let Some(file) = file {
        let failed = |cause: String| command::Error::Failed {
            step: "write report",
            target: file.display().to_string(),
            cause,
        };
        let page = html(&summary).map_err(failed)?;
        std::fs::write(&file, page).map_err(|e| failed(e.to_string()))?;
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&summary).unwrap_or_default());
    } else {
        print!("{}", text(&summary));
    }
    Ok(exit(&summary))
}

/// Success if the error budget of every row lasts and no node is missing.
pub fn exit(summary: &summary::Summary) -> command::Exit {
    let lasts = summary.rows.iter().all(|row| row.verdict <= burn::Verdict::Ok);
    if lasts && summary.missing.is_empty() {
        command::Exit::Success
    } else {
        command::Exit::Failure
    }
}
