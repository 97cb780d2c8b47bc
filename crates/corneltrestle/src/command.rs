//! Commands of the operators' program; each is one file that registers itself.

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

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// A command.
#[derive(Debug)]
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// One line for the overview.
    pub summary: &'static str,
    /// Complete help text.
    pub help: &'static str,
    /// Runs the command with the arguments after its name.
    pub run: fn(&mut lexopt::Parser) -> Result<Exit>,
}

/// All commands linked into the program.
#[distributed_slice]
#[linkme(crate = linkme)]
pub static COMMANDS: [Command];

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// As asked.
    Success,
    /// The thing asked about is not as wished: a note was rejected, a promise was broken.
    Failure,
    /// It is not known whether a write took effect.
    Unknown,
}

/// Why a command could not run.
#[derive(Debug)]
#[non_exhaustive]
pub enum Error {
    /// The command line is wrong.
    Usage(String),
    /// A step failed.
    Failed {
        /// The step.
        step: &'static str,
        /// The node, file or address concerned.
        peer: String,
        /// The cause.
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
            Self::Failed { step, peer, cause } => write!(f, "{step} at {peer}: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs the program with its command line.
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
    // Reports have help texts of their own behind their names.
    let own_help = command.name != "report" || arguments.first().is_some_and(is_help);
    if own_help && arguments.iter().any(is_help) {
        print!("{}", command.help);
        return Ok(Exit::Success);
    }
    (command.run)(&mut lexopt::Parser::from_args(arguments))
}

fn overview() -> String {
    let mut commands: Vec<_> = COMMANDS.iter().collect();
    commands.sort_by_key(|command| command.name);
    let mut text = String::from(
        "The operators' program of corneltrestle.\n\nUsage: corneltrestle COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for command in commands {
        text.push_str(&format!("  {:8} {}\n", command.name, command.summary));
    }
    text.push_str(
        "\nEach command has --help.\n\nExit codes: 0 as asked, 1 failed or not as wished, \
         2 wrong command line,\n3 it is not known whether a write took effect.\n",
    );
    text
}
