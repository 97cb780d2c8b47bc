//! Codecs of corneltrestle.
//!
//! Encodings are kept apart from decisions: this crate turns bytes into the types of
//! [`corneltrestle_policy`] and back.

pub mod key;
pub mod link;
pub mod mesh;
pub mod note;
pub mod openai;
pub mod sse;
pub mod stored;
