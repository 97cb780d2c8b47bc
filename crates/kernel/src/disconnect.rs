//! Why the connection of a client has ended, for the requests that were in progress on it.

use std::sync;

/// Who ended a connection, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The client closed the connection, or the network broke it.
    #[default]
    Client,
    /// The node closed it, as the client took none of the bytes that waited for it.
    Unread,
    /// The node closed it at the drain limit of its stop.
    DrainLimit,
}

impl Cause {
    /// The name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Unread => "unread",
            Self::DrainLimit => "drain-limit",
        }
    }
}

/// What a node knows of the end of one connection. Clones share it.
///
/// # Examples
///
/// ```
/// use corneltrestle_kernel::disconnect;
///
/// let handle = disconnect::Handle::default();
/// assert_eq!(handle.cause(), disconnect::Cause::Client);
/// handle.record(disconnect::Cause::DrainLimit);
/// handle.record(disconnect::Cause::Unread);
/// assert_eq!(handle.cause(), disconnect::Cause::DrainLimit);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Handle(sync::Arc<sync::OnceLock<Cause>>);

impl Handle {
    /// Records why the node closes the connection; the first cause counts.
    pub fn record(&self, cause: Cause) {
        let _ = self.0.set(cause);
    }

    /// The cause that the node has recorded; without one, the client has ended the connection.
    pub fn cause(&self) -> Cause {
        self.0.get().copied().unwrap_or_default()
    }
}
