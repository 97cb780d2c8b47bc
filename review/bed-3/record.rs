//! The record of a case: what was sent, answered and run, with times since its start.

use std::{
    fmt::Display,
    fs, io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record; clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    /// Notes something that happens now.
    pub fn note(&self, line: impl Display) {
        self.note_at(Instant::now(), line);
    }

    pub fn note_at(&self, at: Instant, line: impl Display) {
        let mut lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        lines.push((at, line.to_string()));
    }

    /// Seconds since the start of the case.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes the record in the order of time, and `result` at its end.
    pub fn write(&self, path: &Path, result: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(|e| e.into_inner()).clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in &lines {
            text.push_str(&format!("{:8.3} {line}\n", self.seconds(*at)));
        }
        text.push_str(result);
        text.push('\n');
        fs::write(path, text)
    }
}

/// A temporary folder, removed when it is dropped.
#[derive(Debug)]
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
