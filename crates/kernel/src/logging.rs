//! Structured logging: one line per event, rate-limited per call site and written by a thread of
//! its own from a bounded queue, so that a slow reader of the output never delays a request.

mod entry;
mod line;
mod queue;
mod rate_limit;

pub use entry::Entry;
pub use queue::{Priority, Queue};
pub use rate_limit::{RateLimit, Verdict};

/// The result of opening the log.
pub type Result<T> = std::result::Result<T, flexi_logger::FlexiLoggerError>;

/// The stream to which log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Installs the logger at `level`, for example `info` or `info, hyper=warn`.
///
/// Each line holds the time, the level, the message, which starts with the name of its component,
/// and key-value pairs. Each call site writes a limited number of lines per second; its next line
/// states in `left_out` how many were not written. Keep the handle
/// until the program ends.
///
/// # Errors
///
/// When the level cannot be parsed or a logger is already installed.
pub fn open(level: &str, output: Output) -> Result<flexi_logger::LoggerHandle> {
    let writer = line::Writer::spawn(output);
    flexi_logger::Logger::try_with_str(level)?.log_to_writer(Box::new(writer)).start()
}
