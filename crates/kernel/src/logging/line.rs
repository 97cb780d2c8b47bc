//! Lines of the log.

use std::{fmt, io, time};

use corneltrestle_time::moment;
use flexi_logger::writers::LogWriter;
use log::kv::{self, VisitSource};
use parking_lot::Mutex;

use super::{Output, Queue, Quota, Urgency, Verdict};

/// Longest time that the end of the process waits for its last lines.
const LAST: time::Duration = time::Duration::from_millis(200);

/// Formats lines and queues them.
pub(super) struct Writer {
    queue: Queue,
    quota: Mutex<Quota>,
    started: time::Instant,
}

impl Writer {
    pub(super) fn spawn(output: Output) -> Self {
        let queue = match output {
            Output::Stderr => Queue::spawn(io::stderr()),
            Output::Stdout => Queue::spawn(io::stdout()),
        };
        Self { queue, quota: Mutex::default(), started: time::Instant::now() }
    }

    fn judge(&self, record: &log::Record<'_>, is_urgent: bool) -> Verdict {
        let id = record.key_values().get("id".into());
        let id = id.as_ref().and_then(kv::Value::to_borrowed_str);
        let place = (record.module_path_static().unwrap_or(""), record.line().unwrap_or(0));
        let now = moment::Moment::ZERO + self.started.elapsed();
        self.quota.lock().judge(place, is_urgent, id, now)
    }
}

impl LogWriter for Writer {
    fn write(&self, _: &mut flexi_logger::DeferredNow, record: &log::Record<'_>) -> io::Result<()> {
        let is_urgent = record.level() <= log::Level::Warn;
        let Verdict::Write { left } = self.judge(record, is_urgent) else { return Ok(()) };
        let mut line = Vec::with_capacity(256);
        format(&mut line, record, left)?;
        let urgency = if is_urgent { Urgency::Urgent } else { Urgency::Usual };
        self.queue.push(line, urgency);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.queue.flush(LAST);
        Ok(())
    }

    fn shutdown(&self) {
        self.queue.flush(LAST);
    }
}

fn format<W: io::Write>(out: &mut W, record: &log::Record<'_>, left: u32) -> io::Result<()> {
    let now = humantime::format_rfc3339_micros(time::SystemTime::now());
    write!(out, "{now} {:5} {}", record.level(), record.args())?;
    record.key_values().visit(&mut Pairs { out }).map_err(io::Error::other)?;
    if left > 0 {
        write!(out, " left_out={left}")?;
    }
    writeln!(out)
}

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

/// Text in quotes if it would not be one word otherwise.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_word = !self.0.is_empty()
            && !self.0.contains(|c: char| c.is_whitespace() || c.is_control() || "\"=".contains(c));
        if is_word { f.write_str(self.0) } else { write!(f, "{:?}", self.0) }
    }
}
