//! What the cases share: stand-ins of the store and of runners, nodes as processes, and the record.

#![allow(dead_code)]

pub mod client;
pub mod crowd;
pub mod http;
pub mod json;
pub mod memory;
pub mod node;
pub mod quota;
pub mod record;
pub mod runner;
pub mod store;

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// How a case ended.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// Runs a case and writes its record to `folder/record.txt`. The exit code is 0 if the rule held, 1
/// if it was broken, and 2 if the case could not run.
pub fn main(
    folder: &str,
    run: impl FnOnce(&record::Record) -> Result<Verdict, Box<dyn std::error::Error>>,
) -> std::process::ExitCode {
    let record = record::Record::new();
    record.note(if has_trouble() { "with the disruption" } else { "without the disruption" });
    let (code, result) = match run(&record) {
        Ok(Verdict::Held(text)) => (0, format!("HELD: {text}")),
        Ok(Verdict::Broken(text)) => (1, format!("BROKEN: {text}")),
        Err(e) => (2, format!("NOT RUN: {e}")),
    };
    println!("{result}");
    let path = std::path::Path::new(folder).join("record.txt");
    if let Err(e) = record.write(&path, &result) {
        eprintln!("the record cannot be written: {e}");
        return std::process::ExitCode::from(2);
    }
    std::process::ExitCode::from(code)
}
