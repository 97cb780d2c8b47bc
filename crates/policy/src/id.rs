//! Identifier types: a separate type for each kind of name, cheap to clone.

use std::{borrow::Borrow, fmt, sync};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// An availability zone.
    Zone;
    /// A VM, and the upstream that runs on it.
    Vm;
    /// An entry node, which receives requests and passes them on to upstreams.
    Node;
    /// A fabric domain: VMs that are connected by a fast network.
    Fabric;
    /// An organisation that sends requests.
    Organisation;
    /// A service that requests are addressed to.
    Service;
    /// A declared set of replicas, which operators call a serving group.
    ReplicaSet;
    /// A model, identified by the name of its weights.
    Model;
    /// A region, which consists of one or more availability zones.
    Region;
    /// A route, which maps requests to services.
    Route;
    /// A group of VMs that serve a model together, or a standby group of one VM.
    Group;
}

/// One replica of a replica set.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub struct Replica {
    /// The replica set.
    pub set: ReplicaSet,
    /// Index within the set, from 0.
    pub index: u16,
}

impl fmt::Display for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.set, self.index)
    }
}
