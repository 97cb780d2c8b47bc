//! Subcommands of `corneltrestle`, the command-line program for operators.
//!
//! Each command is one file that registers itself in [`COMMANDS`].

mod client;
mod demo;
pub mod explain;
mod measure;
mod note;
pub mod report;
mod status;
mod table;

use std::process;

use corneltrestle_kernel::linkme::{self, distributed_slice};

/// Result with [`Error`] as the error.
pub type Result<T> = std::result::Result<T, Error>;

/// A subcommand of the program.
#[derive(Debug)]
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description in the list of commands.
    pub summary: &'static str,
    /// Text that `--help` prints.
    pub help: &'static str,
    /// Runs the command with the arguments that follow its name.
    pub run: fn(&mut lexopt::Parser) -> Result<Exit>,
}

/// All commands linked into the program.
#[distributed_slice]
#[linkme(crate = linkme)]
pub static COMMANDS: [Command];

/// Result of a command that ran, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Exit code 0.
    Success,
    /// Exit code 1: the command ran with a negative result, such as a rejected note or a violated
    /// guarantee.
    Failure,
    /// Exit code 3: it is not known whether a write took effect.
    Unknown,
}

/// Why a command could not run.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The command line is invalid; exit code 2.
    Usage(String),
    /// A step of the command failed; exit code 1.
    Failed {
        /// What was attempted, such as `read note`.
        step: &'static str,
        /// Node, file or address that the step acted on.
        target: String,
        /// Why it failed.
        cause: String,
    },
}

impl From<lexopt::Error> for Error {
    fn from(e: lexopt::Error) -> Self {
        Self::Usage(e.to_string())
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Usage(hint) => f.write_str(hint),
            Self::Failed { step, target, cause } => write!(f, "{step} at {target}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Parses the command line of the process and runs the command that it names.
pub fn main() -> process::ExitCode {
    let mut parser = lexopt::Parser::from_env();
    match dispatch(&mut parser) {
        Ok(Exit::Success) => process::ExitCode::SUCCESS,
        Ok(Exit::Failure) => process::ExitCode::from(1),
        Ok(Exit::Unknown) => process::ExitCode::from(3),
        Err(Error::Usage(hint)) => {
            eprintln!("corneltrestle: {hint}; try --help");
            process::ExitCode::from(2)
        }
        Err(e) => {
            eprintln!("corneltrestle: {e}");
            process::ExitCode::from(1)
        }
    }
}

fn dispatch(parser: &mut lexopt::Parser) -> Result<Exit> {
    use lexopt::prelude::*;

    match parser.next()? {
        Some(Value(name)) => {
            let name = name.to_string_lossy().into_owned();
            match COMMANDS.iter().find(|command| command.name == name) {
                Some(command) => run(command, parser),
                None => Err(Error::Usage(format!("unknown command {name}"))),
            }
        }
        Some(Long("version")) => {
            println!("corneltrestle {}", env!("CARGO_PKG_VERSION"));
            Ok(Exit::Success)
        }
        Some(Long("help") | Short('h')) | None => {
            print!("{}", overview());
            Ok(Exit::Success)
        }
        Some(argument) => Err(argument.unexpected().into()),
    }
}

fn run(command: &Command, parser: &mut lexopt::Parser) -> Result<Exit> {
    let arguments: Vec<_> = parser.raw_args()?.collect();
    let is_help = |argument: &std::ffi::OsString| argument == "--help" || argument == "-h";
    // `report NAME --help` prints the help text of that report, so it is passed on.
    let prints_help = command.name != "report" || arguments.first().is_some_and(is_help);
    if prints_help && arguments.iter().any(is_help) {
        print!("{}", command.help);
        return Ok(Exit::Success);
    }
    (command.run)(&mut lexopt::Parser::from_args(arguments))
}

fn overview() -> String {
    let mut commands: Vec<_> = COMMANDS.iter().collect();
    commands.sort_by_key(|command| command.name);
    let mut text = String::from(
        "Command-line program for operators of corneltrestle.\n\nUsage: corneltrestle COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for command in commands {
        text.push_str(&format!("  {:8} {}\n", command.name, command.summary));
    }
    text.push_str(
        "\nRun 'corneltrestle COMMAND --help' for the options of a command.\n\nExit codes: \
         0 success, 1 failure or negative result, 2 invalid command line,\n3 unknown whether a \
         write took effect.\n",
    );
    text
}
