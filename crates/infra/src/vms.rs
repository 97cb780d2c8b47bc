//! The list of live and leaving VMs; it lags.

use corneltrestle_policy::vm;

/// The result of reading the list.
pub type Result<T> = std::result::Result<T, Error>;

/// The list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The step that failed.
    pub step: &'static str,
    /// Address of the list's server.
    pub peer: String,
    /// The cause.
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
    /// Reads the list.
    fn list(&self) -> impl Future<Output = Result<Vec<vm::Vm>>> + Send;
}
