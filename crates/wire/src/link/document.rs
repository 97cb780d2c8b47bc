//! Stored documents as a peer knows them.

use corneltrestle_policy::id;

use super::{Result, check, error, generated};
use crate::{link, stored};

/// A request for a stored document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchRequest {
    /// The document.
    pub document: Document,
    /// Revision that the caller has; an equal or older one is not sent.
    pub known: u64,
}

/// A document in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Document {
    /// The release.
    Release,
    /// The assignment of a zone.
    Assignment(id::Zone),
}

/// A stored document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Revision of the release, or store version of the assignment.
    pub revision: u64,
    /// The stored JSON; absent if the caller has it already or the node has none.
    pub body: Option<bytes::Bytes>,
}

impl From<FetchRequest> for generated::FetchRequest {
    fn from(request: FetchRequest) -> Self {
        let zone = match request.document {
            Document::Release => String::new(),
            Document::Assignment(zone) => zone.to_string(),
        };
        Self { version: link::VERSION, zone, known: request.known }
    }
}

impl TryFrom<generated::FetchRequest> for FetchRequest {
    type Error = error::Error;

    fn try_from(request: generated::FetchRequest) -> Result<Self> {
        let document = if request.zone.is_empty() {
            Document::Release
        } else {
            Document::Assignment(check::name("fetch.zone", &request.zone)?)
        };
        Ok(Self { document, known: request.known })
    }
}

impl From<Value> for generated::Value {
    fn from(value: Value) -> Self {
        Self { version: link::VERSION, revision: value.revision, body: value.body }
    }
}

impl TryFrom<generated::Value> for Value {
    type Error = error::Error;

    fn try_from(value: generated::Value) -> Result<Self> {
        let size = value.body.as_ref().map_or(0, bytes::Bytes::len);
        check::at_most("value.body", size, stored::MAX_BYTES)?;
        Ok(Self { revision: value.revision, body: value.body })
    }
}
