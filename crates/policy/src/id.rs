//! Names of the things that decisions are about.

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
    /// A VM of an upstream.
    Vm;
    /// An entry node.
    Node;
    /// A fabric domain.
    Fabric;
    /// An organisation that sends requests.
    Organisation;
    /// A service that requests are addressed to.
    Service;
    /// A declared set of replicas, which operators call a serving group.
    ReplicaSet;
    /// A model with its weights.
    Model;
    /// A region, which has one or more availability zones.
    Region;
    /// A route of requests.
    Route;
    /// A serving group formed from the VMs of a fabric domain.
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
    /// Number within the set, from 0.
    pub index: u16,
}

impl fmt::Display for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.set, self.index)
    }
}
