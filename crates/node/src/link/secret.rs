//! The shared secret that authenticates each call, sent in its metadata.

use std::fmt;

use sha2::Digest;
use subtle::ConstantTimeEq;
use tonic::{metadata, service::Interceptor};

use super::Result;
use crate::link;

/// Minimum length of the shared secret.
pub const MIN_SECRET_BYTES: usize = 16;

/// Metadata key of the secret.
const METADATA_KEY: &str = "corneltrestle-secret-bin";

/// The secret as a client sends it. It is marked as sensitive, so it is neither printed nor kept in
/// header compression tables.
#[derive(Clone)]
pub(super) struct Outgoing {
    value: metadata::BinaryMetadataValue,
}

/// The secret as the server checks it. The hashes are compared in constant time, so the time of a
/// check says nothing about the expected secret.
#[derive(Clone)]
pub(super) struct Expected {
    hash: [u8; 32],
}

impl Outgoing {
    pub(super) fn new(secret: &[u8]) -> Result<Self> {
        check(secret)?;
        let mut value = metadata::MetadataValue::from_bytes(secret);
        value.set_sensitive(true);
        Ok(Self { value })
    }

    pub(super) fn attach(&self, metadata: &mut metadata::MetadataMap) {
        metadata.insert_bin(METADATA_KEY, self.value.clone());
    }
}

impl Expected {
    pub(super) fn new(secret: &[u8]) -> Result<Self> {
        check(secret)?;
        Ok(Self { hash: sha2::Sha256::digest(secret).into() })
    }

    fn matches(&self, metadata: &metadata::MetadataMap) -> bool {
        let sent = metadata.get_bin(METADATA_KEY).and_then(|value| value.to_bytes().ok());
        sent.is_some_and(|sent| {
            let hash: [u8; 32] = sha2::Sha256::digest(&sent).into();
            hash.ct_eq(&self.hash).into()
        })
    }
}

impl Interceptor for Expected {
    fn call(
        &mut self,
        request: tonic::Request<()>,
    ) -> std::result::Result<tonic::Request<()>, tonic::Status> {
        if self.matches(request.metadata()) {
            Ok(request)
        } else {
            Err(tonic::Status::unauthenticated("wrong link secret"))
        }
    }
}

impl fmt::Debug for Outgoing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Outgoing(..)")
    }
}

impl fmt::Debug for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Expected(..)")
    }
}

fn check(secret: &[u8]) -> Result<()> {
    if secret.len() < MIN_SECRET_BYTES {
        return Err(link::Error::Secret { min: MIN_SECRET_BYTES });
    }
    Ok(())
}
