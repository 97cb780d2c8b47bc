//! The daemon of an entry node: serves callers and operators until it is stopped.

use std::process;

use corneltrestle::kernel::daemon;

fn main() -> process::ExitCode {
    daemon::main("corneltrestled")
}
