//! Guards against a log that blocks the threads that log, uses unbounded memory or drops warnings
//! before other lines.

use std::{
    io,
    sync::mpsc::{self, Receiver, Sender},
    thread,
    time::Duration,
};

use corneltrestle_kernel::logging::{Priority, Queue, RateLimit, Verdict};
use corneltrestle_time::Moment;

/// Time after which a call counts as blocked.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(60);

/// An output that blocks its writer until it is released, as a pipe whose reader has stopped does.
struct BlockedOutput {
    released: Receiver<()>,
    is_released: bool,
    written: Sender<Vec<u8>>,
}

impl io::Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.is_released = self.released.recv().is_ok();
        }
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A queue whose output blocks, the sender that releases the output and the receiver of what is
/// written.
fn blocked_queue() -> (Queue, Sender<()>, Receiver<Vec<u8>>) {
    let (release, released) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let queue = Queue::spawn(BlockedOutput { released, is_released: false, written });
    (queue, release, lines)
}

fn flushed(queue: &Queue, lines: &Receiver<Vec<u8>>) -> String {
    queue.flush(Duration::from_secs(10));
    String::from_utf8(lines.try_iter().flatten().collect()).expect("lines are text")
}

#[test]
fn blocked_output_does_not_block_logging() {
    let (queue, _release, _lines) = blocked_queue();
    let (done, is_done) = mpsc::channel();
    thread::spawn(move || {
        for _ in 0..100_000 {
            queue.push(vec![b'x'; 100], Priority::Normal);
        }
        let _ = done.send(());
    });
    assert!(is_done.recv_timeout(BLOCKED_TIMEOUT).is_ok(), "logging waits for the output");
}

#[test]
fn queue_is_bounded_and_reports_dropped_lines() {
    let (queue, release, lines) = blocked_queue();
    for _ in 0..50_000 {
        queue.push(b"a line that fills the queue up to its limit\n".to_vec(), Priority::Normal);
    }
    release.send(()).expect("the writer waits");
    let written = flushed(&queue, &lines);
    assert!(written.len() <= 2 * 1024 * 1024 + 1024, "{} bytes", written.len());
    assert!(written.contains("log: lines were dropped"), "dropped lines are not reported");
}

#[test]
fn warnings_are_kept_when_other_lines_fill_the_queue() {
    let (queue, release, lines) = blocked_queue();
    for _ in 0..50_000 {
        queue.push(b"a line that fills the queue up to its limit\n".to_vec(), Priority::Normal);
    }
    queue.push(b"a failure\n".to_vec(), Priority::High);
    release.send(()).expect("the writer waits");
    assert!(flushed(&queue, &lines).contains("a failure\n"));
}

#[test]
fn lines_are_written_in_order() {
    let (queue, release, lines) = blocked_queue();
    for number in 0..1_000 {
        queue.push(format!("line {number}\n").into_bytes(), Priority::Normal);
    }
    release.send(()).expect("the writer waits");
    let expected: String = (0..1_000).map(|number| format!("line {number}\n")).collect();
    assert_eq!(flushed(&queue, &lines), expected);
}

/// Logs one line per millisecond for a second; returns how many of them are written.
fn written(rate_limit: &mut RateLimit, is_urgent: bool) -> usize {
    let check = |milli: u64| {
        let now = Moment::from_millis(5_000 + milli);
        rate_limit.check(("place", 1), is_urgent, None, now)
    };
    (0..1_000).map(check).filter(|verdict| *verdict != Verdict::Suppress).count()
}

#[test]
fn more_warnings_than_other_lines_are_written() {
    let normal = written(&mut RateLimit::default(), false);
    let urgent = written(&mut RateLimit::default(), true);
    assert!(normal < urgent && urgent <= 200, "{normal} and {urgent}");
}

#[test]
fn next_line_reports_the_suppressed_ones() {
    let mut rate_limit = RateLimit::default();
    let written = written(&mut rate_limit, false);
    let next = rate_limit.check(("place", 1), false, None, Moment::from_millis(7_000));
    assert_eq!(next, Verdict::Write { suppressed: (1_000 - written) as u32 });
}

#[test]
fn call_sites_are_limited_independently() {
    let mut rate_limit = RateLimit::default();
    written(&mut rate_limit, false);
    let other = rate_limit.check(("place", 2), false, None, Moment::from_millis(5_999));
    assert_eq!(other, Verdict::Write { suppressed: 0 });
}

/// Guards against sampled requests of which only some call sites write lines, so that their course
/// cannot be followed in the log.
#[test]
fn all_call_sites_sample_the_same_requests() {
    let (mut one, mut other) = (RateLimit::default(), RateLimit::default());
    let now = Moment::from_millis(5);
    let mut sampled = 0;
    for number in 0..10_000 {
        let id = format!("request-{number}");
        let first = one.check(("a", 1), false, Some(&id), now) != Verdict::Suppress;
        let second = other.check(("b", 9), false, Some(&id), now) != Verdict::Suppress;
        if number >= 100 {
            assert_eq!(first, second, "{id}");
            sampled += usize::from(first);
        }
    }
    assert!((50..500).contains(&sampled), "{sampled} of 10,000");
}
