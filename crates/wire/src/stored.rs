//! JSON encoding of the values in the key-value store.
//!
//! Unknown fields are ignored when reading, because a newer node may have written the value. They
//! are lost if this version writes the value again.

use std::fmt;

use corneltrestle_policy::{assignment, claim, lease, release};
use serde::{Serialize, de};

/// Size limit of a value; the store refuses larger ones.
pub const MAX_BYTES: usize = 1_000_000;

/// The result of encoding or decoding a value.
pub type Result<T> = std::result::Result<T, Error>;

/// A value that cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Key of the value in the store.
    pub key: String,
    /// What is wrong with the value.
    pub kind: Kind,
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Kind {
    /// It is larger than [`MAX_BYTES`].
    TooLarge {
        /// Size of the encoded value.
        bytes: usize,
    },
    /// It is not the JSON of its type.
    Malformed {
        /// Path of the faulty field, for example `services.desk.timeout`; `.` for the value itself.
        path: String,
        /// Message of the JSON parser or encoder.
        message: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::TooLarge { bytes } => {
                write!(f, "{}: {bytes} bytes; at most {MAX_BYTES} are allowed", self.key)
            }
            Kind::Malformed { path, message } => write!(f, "{}: {path}: {message}", self.key),
        }
    }
}

impl std::error::Error for Error {}

/// A type whose values are kept in the store.
pub trait Stored: Serialize + de::DeserializeOwned {}

impl Stored for release::Release {}
impl Stored for assignment::Assignment {}
impl Stored for lease::Record {}
impl Stored for claim::Record {}

/// Decodes a value; `key` is named in errors.
///
/// # Errors
///
/// When the value is larger than [`MAX_BYTES`] or not the JSON of its type.
///
/// # Examples
///
/// ```
/// use corneltrestle_wire::{key, stored};
///
/// use corneltrestle_policy::lease;
///
/// let text = br#"{"holder":"n1","boot":7,"token":3,"later":true}"#;
/// let lease: lease::Record = stored::decode(&key::lease("a"), text).unwrap();
/// assert_eq!(lease.token, 3);
/// ```
pub fn decode<T: Stored>(key: &str, value: &[u8]) -> Result<T> {
    check_size(key, value.len())?;
    let mut json = serde_json::Deserializer::from_slice(value);
    let decoded = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| malformed(key, e.path().to_string(), e.inner()))?;
    json.end().map_err(|e| malformed(key, ".".to_owned(), &e))?;
    Ok(decoded)
}

/// Encodes a value; `key` is named in errors.
///
/// # Errors
///
/// When the encoded value is larger than [`MAX_BYTES`].
pub fn encode<T: Stored>(key: &str, value: &T) -> Result<Vec<u8>> {
    let encoded = serde_json::to_vec(value).map_err(|e| malformed(key, ".".to_owned(), &e))?;
    check_size(key, encoded.len())?;
    Ok(encoded)
}

fn check_size(key: &str, bytes: usize) -> Result<()> {
    if bytes > MAX_BYTES {
        return Err(Error { key: key.to_owned(), kind: Kind::TooLarge { bytes } });
    }
    Ok(())
}

fn malformed(key: &str, path: String, cause: &serde_json::Error) -> Error {
    Error { key: key.to_owned(), kind: Kind::Malformed { path, message: cause.to_string() } }
}
