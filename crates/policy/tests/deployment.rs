//! Patches between versions of a configuration.

use std::{collections, time::Duration};

use corneltrestle_policy::deployment::{
    Cold, Deployment, Kind, Limits, Organisation, Organisations, Patch, Route, Service, Share,
};
use proptest::prelude::*;

fn route(name: u8, timeout: u64) -> Route {
    Route {
        name: format!("r-{name}").as_str().into(),
        host: "shop.example".to_owned(),
        prefix: format!("/{name}/"),
        kind: Kind::Idempotent,
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(100),
        max_gap: None,
        priority: 1,
        split: vec![Share { service: "orders".into(), weight: 1 }],
        attempt_limit: 2,
        public: false,
        regions: Vec::new(),
    }
}

fn organisation(name: u8, key: u8) -> Organisation {
    Organisation {
        name: format!("o-{name}").as_str().into(),
        keys: vec![format!("key-{name}-{key}")],
        priority: None,
        regions: Vec::new(),
    }
}

/// Versions with some of six routes, services and organisations, each in one of three forms.
fn deployment(version: u64) -> impl Strategy<Value = Deployment> {
    let forms = || prop::collection::btree_map(0_u8..6, 0_u8..3, 0..6);
    (forms(), forms(), forms(), 1_usize..3).prop_map(move |(routes, services, owners, limit)| {
        let owners = owners.into_iter().map(|(name, key)| organisation(name, key));
        Deployment {
            version,
            routes: routes.into_iter().map(|(name, form)| route(name, u64::from(form))).collect(),
            services: services
                .into_iter()
                .map(|(name, form)| {
                    let health_path = format!("/{form}");
                    let (cold, engine) = (Cold::default(), None);
                    let service = Service { health_path, max_connections: 10, cold, engine };
                    (format!("s-{name}").as_str().into(), service)
                })
                .collect(),
            organisations: Organisations::from(owners.collect::<Vec<_>>()),
            limits: Limits { header_bytes: limit, ..Limits::default() },
        }
    })
}

/// The parts in an order that does not depend on their history.
fn sorted(deployment: &Deployment) -> impl PartialEq + std::fmt::Debug {
    let routes: collections::BTreeMap<_, _> =
        deployment.routes.iter().map(|route| (route.name.clone(), route.clone())).collect();
    let organisations: collections::BTreeMap<_, _> =
        deployment.organisations.iter().map(|found| (found.name.clone(), found.clone())).collect();
    let services = deployment.services.clone();
    (deployment.version, routes, services, organisations, deployment.limits)
}

proptest! {
    /// Guards against nodes that differ in the configuration after the same changes.
    #[test]
    fn patch_leads_to_the_later_version(from in deployment(1), to in deployment(2)) {
        let patch = Patch::between(&from, &to).unwrap();
        let reached = patch.apply(&from).unwrap();
        prop_assert_eq!(sorted(&reached), sorted(&to));
        for key in to.organisations.iter().flat_map(|found| &found.keys) {
            prop_assert_eq!(reached.organisations.holder(key), to.organisations.holder(key));
        }
        prop_assert_eq!(patch.apply(&to), None);
    }
}

/// Guards against a patch that takes one of two routes with the same name for the other.
#[test]
fn no_patch_with_ambiguous_names() {
    let from =
        Deployment { version: 1, routes: vec![route(1, 5), route(1, 6)], ..Default::default() };
    let to = Deployment { version: 2, ..Deployment::default() };
    assert_eq!(Patch::between(&from, &to), None);
}

/// Guards against a change of one route that does not fit into a datagram, whatever the size of the
/// configuration.
#[test]
fn patch_of_one_route_is_small() {
    let routes: Vec<_> = (0..=u8::MAX).map(|name| route(name, 5)).collect();
    let from = Deployment { version: 1, routes, ..Deployment::default() };
    let mut to = Deployment { version: 2, ..from.clone() };
    to.routes[7].timeout = Duration::from_secs(9);
    let patch = Patch::between(&from, &to).unwrap();
    assert_eq!((patch.routes.len(), patch.removed.routes.len()), (1, 0));
}
