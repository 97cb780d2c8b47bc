//! Structured logs: one line an event, in a bounded queue, so that no request waits for a reader.

mod entry;
mod line;
mod queue;
mod quota;

pub use entry::Entry;
pub use queue::{Queue, Urgency};
pub use quota::{Quota, Verdict};

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
/// pairs. Each place in the code writes a limited number of lines a second; the next line of it
/// tells in `left_out` how many were not written.
///
/// # Errors
///
/// When the level cannot be parsed or a log is already open.
pub fn open(level: &str, output: Output) -> Result<flexi_logger::LoggerHandle> {
    let writer = line::Writer::spawn(output);
    flexi_logger::Logger::try_with_str(level)?.log_to_writer(Box::new(writer)).start()
}
