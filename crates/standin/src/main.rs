//! Runs one kind of stand-in as a program: `corneltrestle-standin KIND --settings FILE`.

use std::{path, process};

use corneltrestle_kernel::{logging, pool, settings::Settings};
use corneltrestle_standin::{fault, server, settings};
use tokio::signal::unix::{self, signal};

/// Worker threads; few, because stand-ins share their machine with the nodes under test.
const WORKERS: usize = 2;

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

const USAGE: &str = "\
Usage: corneltrestle-standin store|engine|vms|service --settings FILE [--check]

Runs a stand-in for an outside system until SIGTERM or SIGINT.

  --settings FILE  INI file with the section of the stand-in
  --check          validate the settings and exit
  --help           print this text

Exit codes: 0 stopped or checked, 1 cannot run, 2 invalid arguments or settings.";

struct Arguments {
    kind: settings::Kind,
    file: path::PathBuf,
    check: bool,
}

fn main() -> process::ExitCode {
    let arguments = match parse() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            println!("{USAGE}\n\nFaults:");
            for fault in fault::FAULTS {
                println!("  {:15} {} (default {})", fault.name, fault.help, fault.default);
            }
            return process::ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("standin: {e}\n\n{USAGE}");
            return process::ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match arguments.kind.load(&arguments.file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return process::ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        return process::ExitCode::SUCCESS;
    }
    match run(arguments.kind, &settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            process::ExitCode::FAILURE
        }
    }
}

/// Parses the command line; `None` means that `--help` was given.
fn parse() -> Result<Option<Arguments>, lexopt::Error> {
    use lexopt::prelude::*;

    let (mut kind, mut file, mut check) = (None, None, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("settings") => file = Some(path::PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Value(name) if kind.is_none() => {
                let name = name.string()?;
                let unknown = || format!("unknown stand-in {name:?}");
                kind = Some(settings::Kind::from_name(&name).ok_or_else(unknown)?);
            }
            other => return Err(other.unexpected()),
        }
    }
    let kind = kind.ok_or("missing stand-in: store, engine, vms or service")?;
    let file = file.ok_or("missing --settings FILE")?;
    Ok(Some(Arguments { kind, file, check }))
}

fn run(kind: settings::Kind, settings: &Settings) -> Result<(), Box<dyn std::error::Error>> {
    let _log = logging::open("info", logging::Output::Stderr)?;
    let pool = pool::Pool::new(WORKERS)?;
    pool.block_on(async {
        match kind {
            settings::Kind::Store => until_signal(settings::store(settings).await?).await,
            settings::Kind::Engine => until_signal(settings::engines(settings).await?).await,
            settings::Kind::Vms => until_signal(settings::vms(settings).await?).await,
            settings::Kind::Service => until_signal(settings::service(settings).await?).await,
        }
    })?;
    Ok(())
}

async fn until_signal<A: server::Api>(running: settings::Running<A>) -> std::io::Result<()> {
    let mut terminate = signal(unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    running.shutdown().await;
    Ok(())
}
