//! Differences between two versions of a configuration. They are small where a configuration is
//! large, so that nodes can send them to each other at once.

use std::collections;

use super::{Deployment, Limits, Organisation, Organisations, Route, Service};
use crate::id;

/// What changes from one version of a configuration to a later one.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::deployment;
///
/// let first = deployment::Deployment { version: 1, ..Default::default() };
/// let second = deployment::Deployment { version: 2, ..Default::default() };
/// let patch = deployment::Patch::between(&first, &second).expect("no names twice");
/// assert_eq!(patch.apply(&first), Some(second.clone()));
/// assert_eq!(patch.apply(&second), None);
/// ```
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Patch {
    /// Version to which it applies.
    pub base: u64,
    /// Version to which it leads.
    pub version: u64,
    /// Routes that are new or have changed.
    pub routes: Vec<Route>,
    /// Services that are new or have changed.
    pub services: collections::BTreeMap<id::Service, Service>,
    /// Organisations that are new or have changed.
    pub organisations: Vec<Organisation>,
    /// The limits, if they have changed.
    pub limits: Option<Limits>,
    /// What is no longer configured.
    pub removed: Removed,
}

/// Names that are no longer configured.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Removed {
    /// Routes.
    pub routes: Vec<id::Route>,
    /// Services.
    pub services: Vec<id::Service>,
    /// Organisations.
    pub organisations: Vec<id::Organisation>,
}

impl Patch {
    /// The difference between two versions. `None` if one of them has two routes or two
    /// organisations of the same name, which a patch could not tell apart.
    pub fn between(from: &Deployment, to: &Deployment) -> Option<Self> {
        let routes = by_name(&from.routes, |route| &route.name)?;
        let next_routes = by_name(&to.routes, |route| &route.name)?;
        let organisations = by_name(from.organisations.iter(), |found| &found.name)?;
        let next_organisations = by_name(to.organisations.iter(), |found| &found.name)?;
        let services: collections::BTreeMap<_, _> = from.services.iter().collect();
        let next_services = to.services.iter().collect();
        Some(Self {
            base: from.version,
            version: to.version,
            routes: changed(&routes, &next_routes).map(|(_, route)| route.clone()).collect(),
            services: changed(&services, &next_services)
                .map(|(name, service)| (name.clone(), service.clone()))
                .collect(),
            organisations: changed(&organisations, &next_organisations)
                .map(|(_, found)| found.clone())
                .collect(),
            limits: (from.limits != to.limits).then_some(to.limits),
            removed: Removed {
                routes: missing(&routes, &next_routes),
                services: missing(&services, &next_services),
                organisations: missing(&organisations, &next_organisations),
            },
        })
    }

    /// The later version, from the one that the patch applies to; `None` for another version.
    pub fn apply(&self, to: &Deployment) -> Option<Deployment> {
        if to.version != self.base {
            return None;
        }
        let mut services = to.services.clone();
        services.retain(|name, _| !self.removed.services.contains(name));
        services.extend(self.services.clone());
        let organisations = replace(
            to.organisations.iter(),
            &self.organisations,
            &self.removed.organisations,
            |found| &found.name,
        );
        Some(Deployment {
            version: self.version,
            routes: replace(&to.routes, &self.routes, &self.removed.routes, |route| &route.name),
            services,
            organisations: Organisations::from(organisations),
            limits: self.limits.unwrap_or(to.limits),
        })
    }
}

type Named<'a, N, T> = collections::BTreeMap<&'a N, &'a T>;

/// The items by their names; `None` if two have the same one.
fn by_name<'a, N: Ord + 'a, T: 'a>(
    items: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &N,
) -> Option<Named<'a, N, T>> {
    let mut found = collections::BTreeMap::new();
    for item in items {
        if found.insert(name(item), item).is_some() {
            return None;
        }
    }
    Some(found)
}

/// Items of `to` that `from` lacks or holds with another value.
fn changed<'a, N: Ord, T: PartialEq>(
    from: &Named<'a, N, T>,
    to: &Named<'a, N, T>,
) -> impl Iterator<Item = (&'a N, &'a T)> {
    to.iter()
        .filter(|(name, item)| from.get(*name) != Some(*item))
        .map(|(name, item)| (*name, *item))
}

/// Names in `from` that `to` lacks.
fn missing<N: Ord + Clone, T>(from: &Named<'_, N, T>, to: &Named<'_, N, T>) -> Vec<N> {
    from.keys().filter(|name| !to.contains_key(*name)).map(|name| (*name).clone()).collect()
}

/// The items of `from` without the removed ones, with those of `next` in the place of items of the
/// same name, or at the end.
fn replace<'a, N: Ord + 'a, T: Clone + 'a>(
    from: impl IntoIterator<Item = &'a T>,
    next: &'a [T],
    removed: &[N],
    name: impl Fn(&T) -> &N,
) -> Vec<T> {
    let mut next: collections::BTreeMap<&N, &T> =
        next.iter().map(|item| (name(item), item)).collect();
    let removed: collections::BTreeSet<&N> = removed.iter().collect();
    let kept = from.into_iter().filter(|item| !removed.contains(name(item)));
    let mut items: Vec<T> =
        kept.map(|item| next.remove(name(item)).unwrap_or(item).clone()).collect();
    items.extend(next.into_values().cloned());
    items
}
