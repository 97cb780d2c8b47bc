//! The entry point of a daemon: command line, settings, signals and exit codes.

use std::{fs, path, process, time};

use lexopt::prelude::*;
use tokio::signal::unix;

use crate::{host, linkme, logging, metric, node, plugin, settings};

const HELP: &str = "\
An entry node of corneltrestle.

Usage: {name} --settings FILE [--check]
       {name} --print-settings | --print-metrics

Options:
  --settings FILE  INI file with the settings; docs/settings.md lists every key
  --check          check the settings and stop
  --print-settings print the reference page of the settings
  --print-metrics  print the reference page of the metrics
  --help           print this text
  --version        print the version

SIGTERM and SIGINT drain the node: it accepts no new requests, lets requests in progress finish
within the drain limit and exits. The settings file is read again on SIGHUP and when it changes;
keys that have changed are logged and take effect at the next start. Errors in the file are logged
and otherwise ignored.

Exit codes: 0 stopped as asked, 1 cannot run, 2 wrong command line or settings.
";

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

static LOG: settings::Section = settings::Section {
    name: "log",
    help: "Log output, one line per event.",
    keys: &[
        settings::Key::new(
            "level",
            settings::Type::Text,
            "info",
            "Lowest level written, with overrides per module, such as `info, hyper=warn`.",
        ),
        settings::Key::new(
            "output",
            settings::Type::Choice(&["stderr", "stdout"]),
            "stderr",
            "Stream to which log lines are written.",
        ),
    ],
};

/// Declares the `[log]` section. The plug-in has nothing to open: [`serve`] opens the log before
/// all plug-ins, so that they can log while they open.
#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static LOGGING: plugin::Plugin = plugin::Plugin {
    name: "log",
    kind: plugin::Kind::Port,
    section: Some(&LOG),
    check: plugin::unchecked,
    open: |_: &std::sync::Arc<host::Host>| Ok(plugin::Handle::idle()),
};

struct Arguments {
    /// Path of the settings file.
    settings: path::PathBuf,
    /// Whether to exit after checking the settings.
    check: bool,
}

/// Runs the daemon `name` with the plug-ins that are linked into it, and returns its exit code
/// once a signal has stopped it.
pub fn main(name: &'static str) -> process::ExitCode {
    let arguments = match parse(name) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{name}: {e}; try --help");
            return process::ExitCode::from(EXIT_USAGE);
        }
    };
    match load(&arguments.settings) {
        Ok(_) if arguments.check => {
            println!("{}: ok", arguments.settings.display());
            process::ExitCode::SUCCESS
        }
        Ok(settings) => serve(&arguments.settings, settings),
        Err(message) => {
            eprintln!("{message}");
            process::ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Parses the command line. `None` if an option such as `--help` has printed its text already.
fn parse(name: &str) -> Result<Option<Arguments>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let (mut settings, mut check) = (None, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(path::PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Long("print-settings") => {
                print!("{}", settings::reference(&settings::sections()));
                return Ok(None);
            }
            Long("print-metrics") => {
                print!("{}", metric::reference());
                return Ok(None);
            }
            Long("help") | Short('h') => {
                print!("{}", HELP.replace("{name}", name));
                return Ok(None);
            }
            Long("version") => {
                println!("{name} {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            _ => return Err(argument.unexpected()),
        }
    }
    let settings = settings.ok_or("--settings FILE is missing")?;
    Ok(Some(Arguments { settings, check }))
}

fn load(path: &path::Path) -> Result<settings::Settings, String> {
    let settings =
        settings::Settings::load(path, &settings::sections()).map_err(|e| e.to_string())?;
    node::check(&settings).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(settings)
}

fn serve(path: &path::Path, settings: settings::Settings) -> process::ExitCode {
    let section = settings.section(LOG.name);
    let output = match section.text("output") {
        "stdout" => logging::Output::Stdout,
        _ => logging::Output::Stderr,
    };
    let _log = match logging::open(section.text("level"), output) {
        Ok(log) => log,
        Err(e) => {
            eprintln!("[log] level: {e}");
            return process::ExitCode::from(EXIT_USAGE);
        }
    };
    match run(path, settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(message) => {
            log::error!("node: {message}");
            process::ExitCode::FAILURE
        }
    }
}

/// Runs the node until a signal stops it.
fn run(path: &path::Path, settings: settings::Settings) -> Result<(), String> {
    let pool = node::Node::spawn_pool(&settings).map_err(|e| e.to_string())?;
    // The handlers are installed before the node opens, so that a signal during start drains it
    // instead of ending the process.
    let signals = pool.block_on(async { Signals::open() });
    let mut signals = signals.map_err(|e| format!("cannot listen for signals: {e}"))?;
    let mut file = SettingsFile { path, settings: settings.clone(), modified: modified(path) };
    let node = node::Node::open_on(pool, settings).map_err(|e| e.to_string())?;
    let result = loop {
        match node.host().pool.block_on(signals.next(node.host())) {
            Event::Stop => break Ok(()),
            Event::Failed => break Err("a background task has failed for good".to_owned()),
            Event::Reload => file.reload(),
            Event::Poll if modified(path) != file.modified => file.reload(),
            Event::Poll => {}
        }
    };
    node.shutdown();
    result
}

/// Interval at which the modification time of the settings file is checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// The settings file and its content when it was last read.
struct SettingsFile<'a> {
    path: &'a path::Path,
    /// The last valid content.
    settings: settings::Settings,
    /// Modification time at the last read; `None` if it could not be determined.
    modified: Option<time::SystemTime>,
}

impl SettingsFile<'_> {
    /// Reads the file again and logs which keys have changed. The running node keeps the settings
    /// that it was opened with.
    fn reload(&mut self) {
        self.modified = modified(self.path);
        match load(self.path) {
            Ok(settings) => {
                let changed = self.settings.changed(&settings).join(", ");
                let changed = if changed.is_empty() { "nothing" } else { &changed };
                log::info!("node: settings read again; changed from the next start on: {changed}");
                self.settings = settings;
            }
            Err(e) => log::error!("node: cannot reload the settings, the change is ignored: {e}"),
        }
    }
}

fn modified(path: &path::Path) -> Option<time::SystemTime> {
    fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

/// An event that the main thread handles while the node runs.
enum Event {
    /// SIGTERM or SIGINT: drain the node and exit.
    Stop,
    /// SIGHUP: read the settings again.
    Reload,
    /// A background task has failed for good: drain the node and exit.
    Failed,
    /// The poll interval has passed: check whether the settings file has changed.
    Poll,
}

/// Handlers of the signals that a daemon acts on.
struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    fn open() -> std::io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }

    async fn next(&mut self, host: &host::Host) -> Event {
        tokio::select! {
            () = host.failed() => Event::Failed,
            _ = self.terminate.recv() => Event::Stop,
            _ = self.interrupt.recv() => Event::Stop,
            _ = self.hangup.recv() => Event::Reload,
            () = tokio::time::sleep(POLL_INTERVAL) => Event::Poll,
        }
    }
}
