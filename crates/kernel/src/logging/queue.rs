//! A bounded queue of log lines with a writer thread. Logging never blocks: lines beyond the
//! bound are dropped and counted.

use std::{collections, io, sync, thread, time};

use parking_lot::{Condvar, Mutex};

/// Capacity of the queue, which bounds the memory used when the reader of the output stops.
const MAX_BYTES: usize = 1024 * 1024;

/// Part of the capacity that is reserved for lines of high priority.
const RESERVED_BYTES: usize = MAX_BYTES / 4;

/// How important it is that a log line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Dropped first when the queue fills up.
    Normal,
    /// Dropped only when the whole queue is full; for warnings and errors.
    High,
}

/// The queue and its writer thread.
#[derive(Debug)]
pub struct Queue {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when lines are queued while the writer is idle, and when all lines are written.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    lines: collections::VecDeque<Vec<u8>>,
    /// Total length of `lines`.
    bytes: usize,
    /// Lines dropped since the last report of dropped lines.
    dropped: u64,
    /// Whether the writer thread is writing lines that it has taken from the queue.
    is_writing: bool,
}

impl Queue {
    /// Creates the queue and starts a thread that writes its lines to `out`.
    pub fn spawn<W: io::Write + Send + 'static>(out: W) -> Self {
        let shared = sync::Arc::new(Shared { state: Mutex::default(), changed: Condvar::new() });
        let writer = sync::Arc::clone(&shared);
        // Without the thread nothing is written, and lines are dropped once the queue is full.
        let spawned = thread::Builder::new().name("log".to_owned()).spawn(move || writer.run(out));
        if let Err(e) = spawned {
            eprintln!("log: cannot start the writer thread: {e}");
        }
        Self { shared }
    }

    /// Adds a line, or drops it if the queue is full.
    pub fn push(&self, line: Vec<u8>, priority: Priority) {
        let capacity = match priority {
            Priority::Normal => MAX_BYTES - RESERVED_BYTES,
            Priority::High => MAX_BYTES,
        };
        let mut state = self.shared.state.lock();
        if state.bytes + line.len() > capacity {
            state.dropped += 1;
            return;
        }
        state.bytes += line.len();
        state.lines.push_back(line);
        if !state.is_writing {
            self.shared.changed.notify_all();
        }
    }

    /// Waits until all lines are written, but no longer than `timeout`.
    pub fn flush(&self, timeout: time::Duration) {
        let mut state = self.shared.state.lock();
        let is_busy = |state: &mut State| !state.lines.is_empty() || state.is_writing;
        self.shared.changed.wait_while_for(&mut state, is_busy, timeout);
    }
}

impl Shared {
    /// The loop of the writer thread, which ends with the process.
    fn run<W: io::Write>(&self, mut out: W) {
        loop {
            let (lines, dropped) = self.take();
            let mut bytes = lines.concat();
            if dropped > 0 {
                let line = format!(
                    "WARN  log: lines were dropped, the reader is slow dropped={dropped}\n"
                );
                bytes.extend_from_slice(line.as_bytes());
            }
            // An error of the log output cannot be logged. Later writes may succeed again.
            let _ = out.write_all(&bytes).and_then(|()| out.flush());
            let mut state = self.state.lock();
            state.is_writing = false;
            if state.lines.is_empty() {
                self.changed.notify_all();
            }
        }
    }

    /// Waits for lines and takes all of them, with the number of lines dropped since the last call.
    fn take(&self) -> (Vec<Vec<u8>>, u64) {
        let mut state = self.state.lock();
        self.changed.wait_while(&mut state, |state| state.lines.is_empty());
        state.is_writing = true;
        state.bytes = 0;
        let lines = std::mem::take(&mut state.lines).into();
        (lines, std::mem::take(&mut state.dropped))
    }
}
