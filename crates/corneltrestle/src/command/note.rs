//! `corneltrestle note`: release notes.

use std::path::PathBuf;

use corneltrestle_kernel::linkme;
use corneltrestle_local::caller::Answer;
use corneltrestle_node::operate::Verdict;
use corneltrestle_node::operate::standing::{Standing, State};
use hyper::Method;
use lexopt::prelude::*;

use super::client::{self, Access};
use super::{COMMANDS, Command, Error, Exit, Result, table};

#[linkme::distributed_slice(COMMANDS)]
#[linkme(crate = linkme)]
static NOTE: Command =
    Command { name: "note", summary: "check, apply and look up release notes", help: HELP, run };

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

fn run(parser: &mut lexopt::Parser) -> Result<Exit> {
    let (mut words, mut access, mut json) = (Vec::new(), Access::default(), false);
    while let Some(argument) = parser.next()? {
        match argument {
            Value(word) => words.push(word.string()?),
            Long("json") => json = true,
            Long(name) => {
                let name = name.to_owned();
                if !access.take(&name, parser)? {
                    return Err(Error::Usage(format!("unknown option --{name}")));
                }
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let [action, subject] = words.as_slice() else {
        return Err(Error::Usage("expected check FILE, apply FILE or status ID".to_owned()));
    };
    let answer = match action.as_str() {
        "check" => access.call(Method::POST, "/v1/note/check", read(subject)?)?,
        "apply" => access.call(Method::POST, "/v1/note", read(subject)?)?,
        "status" => return status(&access, subject, json),
        other => return Err(Error::Usage(format!("unknown action {other}"))),
    };
    show(&answer, json)
}

fn read(file: &str) -> Result<String> {
    std::fs::read_to_string(PathBuf::from(file)).map_err(|e| Error::Failed {
        step: "read note",
        peer: file.to_owned(),
        cause: e.to_string(),
    })
}

fn show(answer: &Answer, json: bool) -> Result<Exit> {
    let verdict: Verdict = match serde_json::from_slice(&answer.body) {
        Ok(verdict) => verdict,
        Err(_) => {
            println!("{}", client::refused(answer));
            return Ok(Exit::Failure);
        }
    };
    if json {
        println!("{}", String::from_utf8_lossy(&answer.body));
    } else {
        print(&verdict);
    }
    Ok(match verdict {
        Verdict::Accepted { .. } | Verdict::Valid { .. } => Exit::Success,
        Verdict::Unknown { .. } => Exit::Unknown,
        _ => Exit::Failure,
    })
}

fn status(access: &Access, id: &str, json: bool) -> Result<Exit> {
    let answer = access.call(Method::GET, &format!("/v1/note/{id}"), String::new())?;
    let standing: Standing = access.decode(&answer)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&standing).unwrap_or_default());
    } else {
        print!("{}", standing_text(&standing));
    }
    Ok(if standing.is_in_force() { Exit::Success } else { Exit::Failure })
}

/// The zones as a table, and the verdict.
fn standing_text(standing: &Standing) -> String {
    let mut zones = table::open(&["zone", "state", "nodes"]);
    for zone in &standing.zones {
        let state = match zone.state {
            State::InForce => "in force",
            State::Behind => "behind",
            State::Unreachable => "unreachable",
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

fn print(verdict: &Verdict) {
    match verdict {
        Verdict::Accepted { revision } => println!("accepted at revision {revision}"),
        Verdict::Valid { revision } => println!("valid; it would lead to revision {revision}"),
        Verdict::Rejected { faults } => {
            println!("rejected:");
            faults.iter().for_each(|fault| println!("  {fault}"));
        }
        Verdict::Conflict { revision, hint } => println!("conflict at revision {revision}: {hint}"),
        Verdict::Unavailable { cause } => println!("not accepted: {cause}"),
        Verdict::Unknown { cause, hint } => println!("unknown: {cause}; {hint}"),
    }
}
