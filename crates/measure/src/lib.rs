//! Measurement scenarios: bounded runs of the real code against the stand-ins, each beside a
//! simple baseline in the same run.
//!
//! A scenario is one file that registers itself in [`scenario::SCENARIOS`].

pub mod process;
pub mod report;
pub mod scenario;
pub mod traffic;
