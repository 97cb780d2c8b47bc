//! Stored documents fetched from a peer that has a newer version.

use corneltrestle_policy::id;

use super::{Result, check, error, generated};
use crate::{link, stored};

/// Asks a peer for a stored document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchRequest {
    /// Which document.
    pub document: Document,
    /// Revision that the caller has, compared with [`Value::revision`]; an equal or older one is
    /// not sent.
    pub known: u64,
}

/// Names a document in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Document {
    /// The current release.
    Release,
    /// The assignment of a zone's VMs to serving groups.
    Assignment(id::Zone),
}

/// A stored document as the answering node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Revision of the release, or the store's version of the assignment.
    pub revision: u64,
    /// The stored JSON, at most [`stored::MAX_BYTES`]; absent if the caller has it already or the
    /// answering node has none.
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
