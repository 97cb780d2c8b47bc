//! The entry node as a daemon.

use std::process;

use corneltrestle::kernel::daemon;

fn main() -> process::ExitCode {
    daemon::main("corneltrestled")
}
