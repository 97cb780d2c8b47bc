//! Guards against a settings page that differs from the settings that the daemon knows.

use std::process::Command;

#[test]
fn settings_page_is_the_one_that_the_daemon_prints() {
    let printed = Command::new(env!("CARGO_BIN_EXE_corneltrestled"))
        .arg("--print-settings")
        .output()
        .unwrap();
    assert!(printed.status.success());
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/settings.md");
    assert!(
        std::fs::read(page).unwrap() == printed.stdout,
        "docs/settings.md is out of date; write it with: \
         cargo run -p corneltrestled -- --print-settings > docs/settings.md"
    );
}
