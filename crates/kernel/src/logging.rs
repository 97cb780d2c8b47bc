//! Structured logs on standard error.

use std::io::Write;

use log::kv::{self, VisitSource};

/// The result of opening the log.
pub type Result<T> = std::result::Result<T, flexi_logger::FlexiLoggerError>;

/// Opens the log on standard error at `level`, for example `info` or `info, hyper=warn`.
///
/// Each line holds the time, the level, the message with the prefix of its part, and key-value
/// pairs.
///
/// # Errors
///
/// When the level cannot be parsed or a log is already open.
pub fn open(level: &str) -> Result<flexi_logger::LoggerHandle> {
    flexi_logger::Logger::try_with_str(level)?.format(line).log_to_stderr().start()
}

fn line(
    out: &mut dyn Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    write!(out, "{} {:5} {}", now.format_rfc3339(), record.level(), record.args())?;
    let mut pairs = Pairs { out };
    record.key_values().visit(&mut pairs).map_err(std::io::Error::other)
}

struct Pairs<'a> {
    out: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(
        &mut self,
        key: kv::Key<'kvs>,
        value: kv::Value<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        write!(self.out, " {key}={value}")?;
        Ok(())
    }
}
