//! The platform's list of VMs that are live or about to leave. It may be out of date.

use corneltrestle_policy::vm;

/// The result of reading the list.
pub type Result<T> = std::result::Result<T, Error>;

/// The error of reading the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Name of the operation that failed.
    pub step: &'static str,
    /// Address of the server that provides the list.
    pub peer: String,
    /// Description of the failure.
    pub cause: String,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} at VM list {}: {}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for Error {}

/// The platform's list of VMs.
pub trait Vms: Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// When the server does not answer or its answer cannot be decoded.
    fn list(&self) -> impl Future<Output = Result<Vec<vm::Vm>>> + Send;
}
