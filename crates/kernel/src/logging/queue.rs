//! Lines that wait to be written, in a bounded queue that never blocks those who log.

use std::{collections, io, sync, thread, time};

use parking_lot::{Condvar, Mutex};

/// Most bytes that wait; a stopped reader costs no more memory than this.
const MAX_BYTES: usize = 1024 * 1024;

/// Part of the queue that only urgent lines use.
const RESERVE: usize = MAX_BYTES / 4;

/// A log line may be this important.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It is dropped first when the queue fills up.
    Usual,
    /// It is kept while there is any room.
    Urgent,
}

/// The queue, with a thread that writes its lines.
#[derive(Debug)]
pub struct Queue {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when lines wait, and when all of them are written.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    lines: collections::VecDeque<Vec<u8>>,
    bytes: usize,
    dropped: u64,
    is_writing: bool,
}

impl Queue {
    /// Spawns the thread that writes to `out`.
    pub fn spawn<W: io::Write + Send + 'static>(out: W) -> Self {
        let shared = sync::Arc::new(Shared { state: Mutex::default(), changed: Condvar::new() });
        let writer = sync::Arc::clone(&shared);
        // Without the thread, lines are counted as dropped once the queue is full.
        let spawned = thread::Builder::new().name("log".to_owned()).spawn(move || writer.run(out));
        if let Err(e) = spawned {
            eprintln!("log: the writer cannot be started: {e}");
        }
        Self { shared }
    }

    /// Adds a line, or drops it if the queue is full.
    pub fn push(&self, line: Vec<u8>, urgency: Urgency) {
        let room = match urgency {
            Urgency::Usual => MAX_BYTES - RESERVE,
            Urgency::Urgent => MAX_BYTES,
        };
        let mut state = self.shared.state.lock();
        if state.bytes + line.len() > room {
            state.dropped += 1;
            return;
        }
        state.bytes += line.len();
        state.lines.push_back(line);
        if !state.is_writing {
            self.shared.changed.notify_all();
        }
    }

    /// Waits until all lines are written, but no longer than `limit`.
    pub fn flush(&self, limit: time::Duration) {
        let mut state = self.shared.state.lock();
        let idle = |state: &mut State| !state.lines.is_empty() || state.is_writing;
        self.shared.changed.wait_while_for(&mut state, idle, limit);
    }
}

impl Shared {
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
            // Nobody can be told of an error; the next lines may be written.
            let _ = out.write_all(&bytes).and_then(|()| out.flush());
            let mut state = self.state.lock();
            state.is_writing = false;
            if state.lines.is_empty() {
                self.changed.notify_all();
            }
        }
    }

    /// Waits for lines and takes them, with the number of those that were dropped before.
    fn take(&self) -> (Vec<Vec<u8>>, u64) {
        let mut state = self.state.lock();
        self.changed.wait_while(&mut state, |state| state.lines.is_empty());
        state.is_writing = true;
        state.bytes = 0;
        let lines = std::mem::take(&mut state.lines).into();
        (lines, std::mem::take(&mut state.dropped))
    }
}
