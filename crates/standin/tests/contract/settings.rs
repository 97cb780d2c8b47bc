//! Settings: guards against a program that starts with invalid settings.

use std::path::Path;
use std::process::Command;

use test_case::test_case;

#[test_case("store", "[store]\nlisten = 127.0.0.1:0\nfaults = slow:20, pause\n", 0, ""; "valid store")]
#[test_case("engine", "[engine]\nvms = a, b\n", 0, ""; "valid engine")]
#[test_case("engine", "[engine]\n", 2, ":1: [engine] vms: missing"; "engine without VMs")]
#[test_case("engine", "[engine]\n\nvms = a, a\n", 2, ":3: [engine] vms: found \"a, a\""; "VM named twice")]
#[test_case("vms", "[vms]\nfaults = fast\n", 2, ":2: [vms] faults: found \"fast\""; "unknown fault")]
#[test_case("service", "[service]\ntime = 5\n", 2, ":2: [service] time: found \"5\""; "time without unit")]
#[test_case("other", "", 2, "unknown stand-in"; "unknown stand-in")]
fn check_names_the_fault(kind: &str, text: &str, code: i32, message: &str) {
    // Test processes that run at the same time share the directory.
    let name = format!("{kind}-{}-{}.ini", text.len(), std::process::id());
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_corneltrestle-standin"));
    let output = program.args([kind, "--check", "--settings"]).arg(&file).output().unwrap();
    std::fs::remove_file(&file).unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{error}");
    assert!(error.contains(message), "{error}");
}
