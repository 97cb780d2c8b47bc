//! Metrics of a process: the recorder and the page on which they are read.

mod page;
pub mod recorder;
