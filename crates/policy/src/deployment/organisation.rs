//! Organisations and their keys.

use std::collections;

use crate::id;

/// An organisation that sends requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Organisation {
    /// Its name.
    pub name: id::Organisation,
    /// Keys that it uses.
    pub keys: Vec<String>,
    /// Urgency of its requests, 0 first; goes before the urgency of a route.
    pub priority: Option<u8>,
    /// Regions whose upstreams may serve it; empty for all.
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
    /// Whether there are none, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The organisation that holds a key.
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
