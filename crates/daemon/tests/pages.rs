//! Guards against documentation pages that differ from the settings and metrics that the daemon
//! prints.

use std::process::Command;

use test_case::test_case;

#[test_case("--print-settings", "settings.md")]
#[test_case("--print-metrics", "metrics.md")]
fn documentation_page_matches_printed_output(option: &str, page: &str) {
    let printed = Command::new(env!("CARGO_BIN_EXE_corneltrestled")).arg(option).output().unwrap();
    assert!(printed.status.success());
    let path = format!("{}/../../docs/{page}", env!("CARGO_MANIFEST_DIR"));
    assert!(
        std::fs::read(path).unwrap() == printed.stdout,
        "docs/{page} is out of date; write it with: \
         cargo run -p corneltrestled -- {option} > docs/{page}"
    );
}
