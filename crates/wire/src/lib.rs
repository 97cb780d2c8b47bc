//! Codecs of corneltrestle.
//!
//! This crate converts between bytes and plain types, most of them from [`corneltrestle_policy`].
//! It decides nothing, so that the same decisions serve every protocol.

pub mod key;
pub mod link;
pub mod mesh;
pub mod note;
pub mod openai;
pub mod sse;
pub mod stored;
