//! `corneltrestle explain`: the story of a request or an upstream, from the logs of all processes.

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
    summary: "tell the story of a request or an upstream from logs",
    help: HELP,
    run,
};

const HELP: &str = "\
Tells the story of one request or one upstream from the logs of several processes.

Usage: corneltrestle explain ID FILE... [--json]

ID is the id of a request, or the name of an upstream. Each file holds the log of one process and
is named after it. Lines are put in order by their time; beside those about ID, the story holds
what the processes concerned believed of the upstreams in question, and of themselves, at that time.

Options:
  --json  print the story as JSON

Exit codes: 0 the story was told, 1 no line is about ID or a file cannot be read, 2 wrong command
line.
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
    let id = id.ok_or_else(|| command::Error::Usage("an id is missing".to_owned()))?;
    if files.is_empty() {
        return Err(command::Error::Usage("a file with a log is missing".to_owned()));
    }
    let mut lines = Vec::new();
    for file in &files {
        lines.extend(read(file)?);
    }
    let Some(story) = Timeline::build(&id, lines) else {
        eprintln!(
            "corneltrestle: no line is about {id}. Requests that are answered are left out of logs \
             when there are many; failures are left out last."
        );
        return Ok(command::Exit::Failure);
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&story).unwrap_or_default());
    } else {
        print!("{}", text::render(&story));
    }
    Ok(command::Exit::Success)
}

/// The lines of a file, with the name of its process.
fn read(file: &path::Path) -> Result<Vec<Line>> {
    let bytes = fs::read(file).map_err(|e| command::Error::Failed {
        step: "read",
        peer: file.display().to_string(),
        cause: e.to_string(),
    })?;
    let process = file.file_stem().unwrap_or(file.as_os_str()).to_string_lossy().into_owned();
    let text = String::from_utf8_lossy(&bytes);
    let line = |entry| Line { process: process.clone(), entry };
    Ok(text.lines().filter_map(logging::Entry::parse).map(line).collect())
}
