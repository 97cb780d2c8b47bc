//! `corneltrestle note`: release notes.

use std::path;

use corneltrestle_kernel::linkme;
use corneltrestle_local as local;
use corneltrestle_node::operate::{self, standing};
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

check says whether the note would be accepted, with every fault. apply makes it the state that the
system reaches and keeps; applying the same note twice is one note. status says at which revision a
note was accepted and in which availability zones that revision is in force.

Options:
  --node ADDRESS     operators' address of a node, such as 127.0.0.1:9100
  --token-file FILE  file with the operators' token
  --json             print the answer as JSON

Exit codes: 0 accepted, valid or, for status, in force in every zone; 1 rejected, conflict, not found,
not in force in every zone or not reachable; 2 wrong command line; 3 it is not known whether the note
was accepted.
";

fn run(parser: &mut lexopt::Parser) -> Result<command::Exit> {
    let (mut words, mut access, mut json) = (Vec::new(), client::Access::default(), false);
    while let Some(argument) = parser.next()? {
        match argument {
            Value(word) => words.push(word.string()?),
            Long("json") => json = true,
            Long(name) => {
                let name = name.to_owned();
                if !access.take(&name, parser)? {
                    return Err(command::Error::Usage(format!("unknown option --{name}")));
                }
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let [action, subject] = words.as_slice() else {
        return Err(command::Error::Usage(
            "expected check FILE, apply FILE or status ID".to_owned(),
        ));
    };
    let answer = match action.as_str() {
        "check" => access.call(hyper::Method::POST, "/v1/note/check", read(subject)?)?,
        "apply" => access.call(hyper::Method::POST, "/v1/note", read(subject)?)?,
        "status" => return status(&access, subject, json),
        other => return Err(command::Error::Usage(format!("unknown action {other}"))),
    };
    show(&answer, json)
}

fn read(file: &str) -> Result<String> {
    std::fs::read_to_string(path::PathBuf::from(file)).map_err(|e| command::Error::Failed {
        step: "read note",
        peer: file.to_owned(),
        cause: e.to_string(),
    })
}

fn show(answer: &local::client::Response, json: bool) -> Result<command::Exit> {
    let verdict: operate::Verdict = match serde_json::from_slice(&answer.body) {
        Ok(verdict) => verdict,
        Err(_) => {
            println!("{}", client::refused(answer));
            return Ok(command::Exit::Failure);
        }
    };
    if json {
        println!("{}", String::from_utf8_lossy(&answer.body));
    } else {
        print(&verdict);
    }
    Ok(match verdict {
        operate::Verdict::Accepted { .. } | operate::Verdict::Valid { .. } => {
            command::Exit::Success
        }
        operate::Verdict::Unknown { .. } => command::Exit::Unknown,
        _ => command::Exit::Failure,
    })
}

fn status(access: &client::Access, id: &str, json: bool) -> Result<command::Exit> {
    let answer = access.call(hyper::Method::GET, &format!("/v1/note/{id}"), String::new())?;
    let standing: standing::Standing = access.decode(&answer)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&standing).unwrap_or_default());
    } else {
        print!("{}", standing_text(&standing));
    }
    Ok(if standing.is_in_force() { command::Exit::Success } else { command::Exit::Failure })
}

/// The zones as a table, and the verdict.
fn standing_text(standing: &standing::Standing) -> String {
    let mut zones = table::open(&["zone", "state", "nodes"]);
    for zone in &standing.zones {
        let state = match zone.state {
            standing::State::InForce => "in force",
            standing::State::Behind => "behind",
            standing::State::Unreachable => "unreachable",
        };
        let nodes: Vec<_> = zone.nodes.iter().map(ToString::to_string).collect();
        zones.add_row([zone.zone.to_string(), state.to_owned(), nodes.join(", ")]);
    }
    let (id, revision) = (&standing.id, standing.revision);
    let verdict = if standing.is_in_force() {
        "in force in every zone"
    } else {
        "not known to be in force in every zone"
    };
    format!("Note {id} was accepted at revision {revision}; it is {verdict}.\n{zones}\n")
}

fn print(verdict: &operate::Verdict) {
    match verdict {
        operate::Verdict::Accepted { revision } => println!("accepted at revision {revision}"),
        operate::Verdict::Valid { revision } => {
            println!("valid; it would lead to revision {revision}")
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
