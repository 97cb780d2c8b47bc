//! The share of a core that a machine has, as a quota: a process runs at full speed until it has used
//! its part of a tenth of a second, and not at all for the rest of it.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

const PERIOD: Duration = Duration::from_millis(100);
const LOOK: Duration = Duration::from_millis(2);

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Holds the process to a share of a core until `stop` is set; 0 stands for no process.
pub fn spawn(process: &Arc<AtomicU32>, share: f64, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (process, stop) = (Arc::clone(process), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let (begin, pid) = (Instant::now(), process.load(Ordering::SeqCst));
            let before = used(pid);
            let mut is_stopped = false;
            while begin.elapsed() < PERIOD {
                if !is_stopped
                    && pid != 0
                    && used(pid).saturating_sub(before) >= PERIOD.mul_f64(share)
                {
                    is_stopped = send(&process, pid, SIGSTOP);
                }
                thread::sleep(LOOK);
            }
            if is_stopped {
                send(&process, pid, SIGCONT);
            }
        }
    })
}

/// Sends a signal, unless the process has been replaced meanwhile.
fn send(process: &AtomicU32, pid: u32, signal: i32) -> bool {
    // SAFETY: the call has no requirements; the process is a child that has not been waited for.
    process.load(Ordering::SeqCst) == pid && unsafe { kill(pid as i32, signal) } == 0
}

/// Processor time that all threads of a process have used.
fn used(pid: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let of = |task: fs::DirEntry| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    Duration::from_nanos(tasks.filter_map(of).sum())
}
