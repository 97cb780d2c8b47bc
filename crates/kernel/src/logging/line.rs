//! Formatting of log lines.

use std::{fmt, io, time};

use corneltrestle_time::moment;
use flexi_logger::writers::LogWriter;
use log::kv::{self, VisitSource};
use parking_lot::Mutex;

use super::{Output, Priority, Queue, RateLimit, Verdict};

/// Longest time for which a flush, such as that at the end of the process, waits for the output.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Formats records as lines and queues those that the rate limit allows.
pub(super) struct Writer {
    queue: Queue,
    rate_limit: Mutex<RateLimit>,
    /// Origin of the moments that `rate_limit` receives.
    started: time::Instant,
}

impl Writer {
    pub(super) fn spawn(output: Output) -> Self {
        let queue = match output {
            Output::Stderr => Queue::spawn(io::stderr()),
            Output::Stdout => Queue::spawn(io::stdout()),
        };
        Self { queue, rate_limit: Mutex::default(), started: time::Instant::now() }
    }

    /// Applies the rate limit; the field `id` of a record is that of its request.
    fn check(&self, record: &log::Record<'_>, is_urgent: bool) -> Verdict {
        let id = record.key_values().get("id".into());
        let id = id.as_ref().and_then(kv::Value::to_borrowed_str);
        let site = (record.module_path_static().unwrap_or(""), record.line().unwrap_or(0));
        let now = moment::Moment::ZERO + self.started.elapsed();
        self.rate_limit.lock().check(site, is_urgent, id, now)
    }
}

impl LogWriter for Writer {
    fn write(&self, _: &mut flexi_logger::DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let is_urgent = record.level() <= log::Level::Warn;
        let Verdict::Write { suppressed } = self.check(record, is_urgent) else { return Ok(()) };
        let mut line = Vec::with_capacity(256);
        format(&mut line, record, suppressed)?;
        let priority = if is_urgent { Priority::High } else { Priority::Normal };
        self.queue.push(line, priority);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.queue.flush(FLUSH_TIMEOUT);
        Ok(())
    }

    fn shutdown(&self) {
        self.queue.flush(FLUSH_TIMEOUT);
    }
}

/// Writes a record as one line. [`Entry::parse`](super::Entry::parse) reads this format.
fn format<W: io::Write>(out: &mut W, record: &log::Record<'_>, suppressed: u32) -> io::Result<()> {
    let now = humantime::format_rfc3339_micros(time::SystemTime::now());
    write!(out, "{now} {:5} {}", record.level(), record.args())?;
    record.key_values().visit(&mut Pairs { out }).map_err(io::Error::other)?;
    if suppressed > 0 {
        write!(out, " left_out={suppressed}")?;
    }
    writeln!(out)
}

/// Writes key-value pairs as ` key=value`.
struct Pairs<'a, W> {
    out: &'a mut W,
}

impl<'kvs, W: io::Write> VisitSource<'kvs> for Pairs<'_, W> {
    fn visit_pair(
        &mut self,
        key: kv::Key<'kvs>,
        value: kv::Value<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        match value.to_borrowed_str() {
            Some(text) => write!(self.out, " {key}={}", Quoted(text))?,
            None => write!(self.out, " {key}={value}")?,
        }
        Ok(())
    }
}

/// Displays text as it is if it is a single word, and quoted and escaped otherwise, so that a
/// value cannot be mistaken for several fields.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_word = !self.0.is_empty()
            && !self.0.contains(|c: char| c.is_whitespace() || c.is_control() || "\"=".contains(c));
        if is_word { f.write_str(self.0) } else { write!(f, "{:?}", self.0) }
    }
}
