//! `corneltrestle explain`: merges the logs of several processes into the timeline of one request or
//! one upstream.

mod text;
pub mod timeline;

use std::{fs, path};

use corneltrestle_kernel::{linkme, logging};
use lexopt::prelude::*;

use super::Result;
use crate::command;
use timeline::{Line, Timeline};

#[linkme::distributed_slice(command::COMMANDS)]
#[linkme(crate = linkme)]
static EXPLAIN: command::Command = command::Command {
    name: "explain",
    summary: "show the timeline of a request or an upstream from logs",
    help: HELP,
    run,
};

const HELP: &str = "\
Shows the timeline of one request or one upstream from the logs of several processes.

Usage: corneltrestle explain ID FILE... [--json]

ID is the id of a request or the name of an upstream. Each FILE is the log of one process and is
named after it. Lines are sorted by time. Beside the lines about ID, the timeline of a request holds
the lines of the same time on the state of its upstreams, and those of the processes that handled it
on their own state.

Options:
  --json  print the timeline as JSON

Exit codes: 0 success, 1 no line is about ID or a file cannot be read, 2 invalid command line.
";

fn run(parser: &mut lexopt::Parser) -> Result<command::Exit> {
    let (mut id, mut files, mut json) = (None, Vec::new(), false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => json = true,
            Value(value) if id.is_none() => id = Some(value.string()?),
            Value(value) => files.push(path::PathBuf::from(value)),
            argument => return Err(argument.unexpected().into()),
        }
    }
    let id = id.ok_or_else(|| command::Error::Usage("ID is missing".to_owned()))?;
    if files.is_empty() {
        return Err(command::Error::Usage("FILE is missing".to_owned()));
    }
    let mut lines = Vec::new();
    for file in &files {
        lines.extend(read(file)?);
    }
    let Some(timeline) = Timeline::build(&id, lines) else {
        eprintln!(
            "corneltrestle: no line is about {id}; under load, logs omit answered requests first and \
             failed requests last"
        );
        return Ok(command::Exit::Failure);
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&timeline).unwrap_or_default());
    } else {
        print!("{}", text::render(&timeline));
    }
    Ok(command::Exit::Success)
}

/// Parses the log lines of a file; the file name without its extension is the name of the process.
fn read(file: &path::Path) -> Result<Vec<Line>> {
    let bytes = fs::read(file).map_err(|e| command::Error::Failed {
        step: "read",
        target: file.display().to_string(),
        cause: e.to_string(),
    })?;
    let process = file.file_stem().unwrap_or(file.as_os_str()).to_string_lossy().into_owned();
    let text = String::from_utf8_lossy(&bytes);
    let line = |entry| Line { process: process.clone(), entry };
    Ok(text.lines().filter_map(logging::Entry::parse).map(line).collect())
}
