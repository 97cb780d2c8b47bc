//! Benchmark scenarios: bounded runs of the real code against the stand-ins on the loopback
//! interface. Each compares its figures with those of a simple baseline in the same run.
//!
//! A scenario is a module under [`scenario`] that registers itself in [`scenario::SCENARIOS`].

pub mod process;
pub mod report;
pub mod scenario;
pub mod traffic;
