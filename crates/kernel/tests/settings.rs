//! Guards against invalid settings that are accepted, and against errors that do not say where the
//! fault is and what is expected.

use std::time::Duration;

use corneltrestle_kernel::settings::{Key, Section, Settings, Type};
use test_case::test_case;

static NODE: Section = Section {
    name: "node",
    help: "The node.",
    keys: &[
        Key::required("id", Type::Text, "Name."),
        Key::new("workers", Type::Count { min: 1, max: 64 }, "2", "Threads."),
        Key::new("view-bound", Type::millis(100, 60_000), "3s", "Oldest report."),
        Key::optional("secret", Type::Path, "File."),
        Key::new("mode", Type::Choice(&["a", "b"]), "a", "Mode."),
    ],
};

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse("node.ini", text, &[&NODE]).map_err(|e| e.to_string())
}

#[test]
fn defaults_are_filled_in() {
    let settings = parse("[node]\nid = n1\n").unwrap();
    let node = settings.section("node");
    assert_eq!(node.text("id"), "n1");
    assert_eq!(node.count("workers"), 2);
    assert_eq!(node.duration("view-bound"), Duration::from_secs(3));
    assert_eq!(node.path("secret"), None);
}

#[test_case("[node]\n", "node.ini:1: [node] id: missing; expected text"; "required key missing")]
#[test_case("[node]\nid = a\nworkers = 65\n", "node.ini:3: [node] workers: found \"65\"; expected a whole number from 1 to 64"; "out of range")]
#[test_case("[node]\nid = a\nview-bound = 3\n", "node.ini:3: [node] view-bound: found \"3\"; expected a time with its unit"; "unit missing")]
#[test_case("[node]\nid = a\nmode = c\n", "node.ini:3: [node] mode: found \"c\"; expected one of a, b"; "unknown choice")]
#[test_case("[node]\nid = a\nworker = 2\n", "node.ini:3: [node] worker: unknown key; known are id, workers"; "unknown key")]
#[test_case("[node]\nid = a\n[nod]\nid = a\n", "node.ini:3: [nod]: unknown section; known are node"; "unknown section")]
#[test_case("[node]\nid = a\nid = b\n", "node.ini:3: [node] id: the key appears twice"; "repeated key")]
#[test_case("[node]\nid = a\n[node\n", "node.ini:3"; "unclosed section")]
#[test_case("\u{1}\u{2}random\u{7f}bytes", "node.ini:1"; "random bytes")]
fn faults_name_file_line_section_and_key(text: &str, expected: &str) {
    let error = parse(text).unwrap_err();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn every_fault_is_listed() {
    let error = parse("[node]\nworkers = x\nmode = c\n").unwrap_err();
    assert_eq!(error.lines().count(), 3, "{error}");
}
