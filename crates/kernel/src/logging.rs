//! Structured logs.

use std::io::Write;

use log::kv::{self, VisitSource};

/// The result of opening the log.
pub type Result<T> = std::result::Result<T, flexi_logger::FlexiLoggerError>;

/// The stream to which lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Opens the log at `level`, for example `info` or `info, hyper=warn`.
///
/// Each line holds the time, the level, the message with the prefix of its part, and key-value
/// pairs.
///
/// # Errors
///
/// When the level cannot be parsed or a log is already open.
pub fn open(level: &str, output: Output) -> Result<flexi_logger::LoggerHandle> {
    let logger = flexi_logger::Logger::try_with_str(level)?.format(line);
    match output {
        Output::Stderr => logger.log_to_stderr().start(),
        Output::Stdout => logger.log_to_stdout().start(),
    }
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
