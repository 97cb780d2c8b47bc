//! Guards against violated guarantees while the complete system runs under load, a node restarts and a
//! zone is taken out of service and brought back, and against a demo that does not report them.

use std::{fs, path::Path, process::Command};

use serde_json::Value;

#[test]
fn demo_keeps_every_guarantee() {
    let output = Command::new(env!("CARGO_BIN_EXE_corneltrestle"))
        .args(["demo", "--json", "--seed", "7"])
        .output()
        .unwrap();
    let progress = String::from_utf8_lossy(&output.stderr);
    let text = String::from_utf8(output.stdout).unwrap();
    // The output of a shortened test log is of no use without the cause.
    let kept = Path::new(env!("CARGO_TARGET_TMPDIR")).join("demo-seed-7.txt");
    fs::write(kept, format!("{progress}\n{text}")).unwrap();
    let report: Value = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {progress}"));
    assert_eq!(report["violations"], Value::Array(Vec::new()), "{text}\n{progress}");
    assert_eq!(output.status.code(), Some(0), "{progress}");
    let number = |path: &str| {
        let found = report.pointer(path).and_then(Value::as_u64);
        found.unwrap_or_else(|| panic!("no number at {path} in {text}"))
    };
    assert_eq!(number("/seed"), 7);
    for none in ["/total/wrong", "/total/cut-off", "/orders/duplicates", "/zone/out", "/overloads"]
    {
        assert_eq!(number(none), 0, "{none} in {text}");
    }
    for some in ["/requests/streamed/whole", "/requests/whole/whole", "/zone/before", "/zone/after"]
    {
        assert!(number(some) > 0, "{some} in {text}");
    }
    assert!(number("/orders/run") > 0 && number("/orders/run") <= number("/orders/keys"), "{text}");
    let repeated = number("/requests/order repeated/sent");
    assert_eq!(repeated, number("/requests/order/sent"), "{text}");
    assert_eq!(number("/requests/streamed over a stop/whole"), 1, "{text}");
    let ended = ["whole", "refused", "cut-off", "no-answer", "wrong"];
    let ended: u64 = ended.iter().map(|end| number(&format!("/total/{end}"))).sum();
    assert_eq!(ended, number("/total/sent"), "{text}");
}

#[test]
fn demo_rejects_an_unknown_option() {
    let output = Command::new(env!("CARGO_BIN_EXE_corneltrestle"))
        .args(["demo", "--seeds", "7"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--seeds"));
}
