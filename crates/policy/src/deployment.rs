//! Configuration of a deployment that the gateway proxies requests for: routes, services,
//! organisations and limits.

mod engine;
mod limits;
mod organisation;
mod patch;
mod route;
mod service;

use std::collections;

pub use engine::{Engine, LoadLimits, Model};
pub use limits::Limits;
pub use organisation::{Organisation, Organisations};
pub use patch::{Patch, Removed};
pub use route::{Kind, Route, Share};
pub use service::{Cold, Service};

use crate::id;

/// One complete version of the configuration.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::deployment;
///
/// let empty = deployment::Deployment::default();
/// assert!(empty.route("shop.example", "/orders/7").is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Deployment {
    /// Version; increases with each change, not always by one.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: collections::BTreeMap<id::Service, Service>,
    /// Organisations with their keys; requests need no key if there are none.
    pub organisations: Organisations,
    /// Limits on what callers may send.
    pub limits: Limits,
}

impl Deployment {
    /// The route of a request: among the routes of its host, the one with the longest prefix.
    ///
    /// `host` may carry a port, and upper-case letters match lower-case ones.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) { name } else { host }
        });
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(route.prefix.as_str()))
            .max_by_key(|route| route.prefix.len())
    }
}
