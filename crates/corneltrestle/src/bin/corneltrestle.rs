//! Command-line program for operators; see [`corneltrestle::command`].

use std::process;

fn main() -> process::ExitCode {
    corneltrestle::command::main()
}
