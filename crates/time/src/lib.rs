//! Points in time and the clocks that read them.
//!
//! Functions that decide take a [`Moment`] as an argument; only the edges of the system read a
//! [`clock::Clock`].

pub mod clock;
pub mod moment;

pub use moment::Moment;
