//! The operators' program.

use std::process;

fn main() -> process::ExitCode {
    corneltrestle::command::main()
}
