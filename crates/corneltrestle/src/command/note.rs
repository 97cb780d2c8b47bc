//! `corneltrestle note`: checks, applies and looks up release notes.

use std::path;

use corneltrestle_kernel::linkme;
use corneltrestle_local as local;
use corneltrestle_node::operate::{self, rollout};
use lexopt::prelude::*;

use super::{Result, client, table};
use crate::command;

#[linkme::distributed_slice(command::COMMANDS)]
#[linkme(crate = linkme)]
static NOTE: command::Command = command::Command {
    name: "note",
    summary: "check, apply and look up release notes",
    help: HELP,
    run,
};

const HELP: &str = "\
Checks, applies and looks up release notes.

Usage: corneltrestle note check FILE --node ADDRESS --token-file FILE [--json]
       corneltrestle note apply FILE --node ADDRESS --token-file FILE [--json]
       corneltrestle note status ID --node ADDRESS --token-file FILE [--json]

check validates the note without applying it and lists all errors. apply makes the note the desired
state of the system; applying the same note again has no further effect. status shows at which
revision a note was accepted and in which availability zones that revision is in force.

Options:
  --node ADDRESS     operators' address of a node, such as 127.0.0.1:9100
  --token-file FILE  file with the operators' token
  --json             print the response as JSON

Exit codes: 0 accepted, valid or, for status, in force in every zone; 1 rejected, conflict, not found,
not in force in every zone or not reachable; 2 invalid command line; 3 unknown whether the note was
accepted.
";

fn run(parser: &mut lexopt::Parser) -> Result<command::Exit> {
    let (mut arguments, mut client, mut json) = (Vec::new(), client::Client::default(), false);
    while let Some(argument) = parser.next()? {
        match argument {
            Value(value) => arguments.push(value.string()?),
            Long("json") => json = true,
            Long(name) => {
                let name = name.to_owned();
                if !client.parse_option(&name, parser)? {
                    return Err(command::Error::Usage(format!("unknown option --{name}")));
                }
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let [action, subject] = arguments.as_slice() else {
        return Err(command::Error::Usage(
            "expected check FILE, apply FILE or status ID".to_owned(),
        ));
    };
    let response = match action.as_str() {
        "check" => client.call(hyper::Method::POST, "/v1/note/check", read(subject)?)?,
        "apply" => client.call(hyper::Method::POST, "/v1/note", read(subject)?)?,
        "status" => return status(&client, subject, json),
        other => return Err(command::Error::Usage(format!("unknown action {other}"))),
    };
    print_response(&response, json)
}

fn read(file: &str) -> Result<String> {
    std::fs::read_to_string(path::PathBuf::from(file)).map_err(|e| command::Error::Failed {
        step: "read note",
        target: file.to_owned(),
        cause: e.to_string(),
    })
}

fn print_response(response: &local::client::Response, json: bool) -> Result<command::Exit> {
    let verdict: operate::Verdict = match serde_json::from_slice(&response.body) {
        Ok(verdict) => verdict,
        Err(_) => {
            println!("{}", client::error_text(response));
            return Ok(command::Exit::Failure);
        }
    };
    if json {
        println!("{}", String::from_utf8_lossy(&response.body));
    } else {
        print_verdict(&verdict);
    }
    Ok(match verdict {
        operate::Verdict::Accepted { .. } | operate::Verdict::Valid { .. } => {
            command::Exit::Success
        }
        operate::Verdict::Unknown { .. } => command::Exit::Unknown,
        _ => command::Exit::Failure,
    })
}

fn status(client: &client::Client, id: &str, json: bool) -> Result<command::Exit> {
    let response = client.call(hyper::Method::GET, &format!("/v1/note/{id}"), String::new())?;
    let rollout: rollout::Rollout = client.decode(&response)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&rollout).unwrap_or_default());
    } else {
        print!("{}", rollout_text(&rollout));
    }
    Ok(if rollout.is_in_force() { command::Exit::Success } else { command::Exit::Failure })
}

/// A sentence with the result, and the zones as a table.
fn rollout_text(rollout: &rollout::Rollout) -> String {
    let mut zones = table::new(&["zone", "state", "nodes"]);
    for zone in &rollout.zones {
        let state = match zone.state {
            rollout::State::InForce => "in force",
            rollout::State::Behind => "behind",
            rollout::State::Unreachable => "unreachable",
        };
        let nodes: Vec<_> = zone.nodes.iter().map(ToString::to_string).collect();
        zones.add_row([zone.zone.to_string(), state.to_owned(), nodes.join(", ")]);
    }
    let (id, revision) = (&rollout.id, rollout.revision);
    let verdict = if rollout.is_in_force() {
        "in force in every zone"
    } else {
        "not known to be in force in every zone"
    };
    format!("Note {id} was accepted at revision {revision}; it is {verdict}.\n{zones}\n")
}

fn print_verdict(verdict: &operate::Verdict) {
    match verdict {
        operate::Verdict::Accepted { revision } => println!("accepted at revision {revision}"),
        operate::Verdict::Valid { revision } => {
            println!("valid; it would become revision {revision}")
        }
        operate::Verdict::Rejected { faults } => {
            println!("rejected:");
            faults.iter().for_each(|fault| println!("  {fault}"));
        }
        operate::Verdict::Conflict { revision, hint } => {
            println!("conflict at revision {revision}: {hint}")
        }
        operate::Verdict::Unavailable { cause } => println!("not accepted: {cause}"),
        operate::Verdict::Unknown { cause, hint } => println!("unknown: {cause}; {hint}"),
    }
}
