//! Organisations and the API keys that identify their requests.

use std::collections;

use crate::id;

/// An organisation that sends requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Organisation {
    /// Name, unique.
    pub name: id::Organisation,
    /// API keys that identify its requests.
    pub keys: Vec<String>,
    /// Priority of its requests, 0 is the highest; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions whose upstreams may serve its requests; empty for all.
    pub regions: Vec<id::Region>,
}

/// The organisations of a deployment, found by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "Vec<Organisation>", into = "Vec<Organisation>")]
pub struct Organisations {
    all: Vec<Organisation>,
    by_key: collections::HashMap<String, usize>,
}

impl Organisations {
    /// Whether no organisation is configured, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The organisation that the key belongs to.
    pub fn holder(&self, key: &str) -> Option<&Organisation> {
        self.by_key.get(key).map(|index| &self.all[*index])
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.all.iter()
    }
}

impl From<Vec<Organisation>> for Organisations {
    fn from(all: Vec<Organisation>) -> Self {
        let keys = all.iter().enumerate().flat_map(|(index, organisation)| {
            organisation.keys.iter().map(move |key| (key.clone(), index))
        });
        let by_key = keys.collect();
        Self { all, by_key }
    }
}

impl From<Organisations> for Vec<Organisation> {
    fn from(organisations: Organisations) -> Self {
        organisations.all
    }
}
