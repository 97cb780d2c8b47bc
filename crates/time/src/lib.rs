//! Points in time, and the clocks that read them.
//!
//! Decision logic takes a [`Moment`] as an argument and never reads a [`clock::Clock`] itself, so
//! that it can be tested without one.

pub mod clock;
pub mod moment;

pub use moment::Moment;
