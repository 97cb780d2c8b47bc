//! The operators' program.

use std::process::ExitCode;

fn main() -> ExitCode {
    corneltrestle::command::main()
}
