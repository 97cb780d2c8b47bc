//! Guards against pages of the documentation that differ from the settings and metrics that the
//! daemon knows.

use std::process::Command;

use test_case::test_case;

#[test_case("--print-settings", "settings.md")]
#[test_case("--print-metrics", "metrics.md")]
fn page_is_the_one_that_the_daemon_prints(option: &str, page: &str) {
    let printed = Command::new(env!("CARGO_BIN_EXE_corneltrestled")).arg(option).output().unwrap();
    assert!(printed.status.success());
    let path = format!("{}/../../docs/{page}", env!("CARGO_MANIFEST_DIR"));
    assert!(
        std::fs::read(path).unwrap() == printed.stdout,
        "docs/{page} is out of date; write it with: \
         cargo run -p corneltrestled -- {option} > docs/{page}"
    );
}
