//! Decisions of corneltrestle as pure functions.
//!
//! Nothing here does I/O, awaits, encodes or reads a clock: each function takes borrowed views and
//! the present time and returns a small decision.

pub mod adoption;
pub mod assignment;
pub mod changeset;
pub mod id;
pub mod lease;
pub mod membership;
pub mod plan;
pub mod rank;
pub mod release;
pub mod report;
pub mod vm;
pub mod wholeness;

pub use corneltrestle_time::Moment;
