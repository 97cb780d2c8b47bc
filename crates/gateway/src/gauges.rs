//! Gauges that are computed from the tables when metrics are scraped.

use std::sync;

use corneltrestle_kernel::{host, linkme, metric};

use crate::{identity, limits, tables::Tables};

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static FACTS_AGE: metric::Metric = metric::Metric::gauge(
    "facts_age_seconds",
    "Time since the store last confirmed the facts (configuration and registrations) that the node knows.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static FACTS_REVISION: metric::Metric =
    metric::Metric::gauge("facts_revision", "Revision of the facts that the node knows.");

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static FACTS_ERA: metric::Metric = metric::Metric::gauge(
    "facts_era",
    "Era of the facts that the node knows: rises each time the store comes back from an earlier copy; 0 if the store names none.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static RETURNS: metric::Metric = metric::Metric::counter(
    "store_returns_total",
    "Returns of the store from an earlier copy of itself that the node has noticed.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static CONFIG_VERSION: metric::Metric =
    metric::Metric::gauge("config_version", "Version of the configuration in force.");

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static UPSTREAMS: metric::Metric =
    metric::Metric::gauge("upstreams", "Registered upstreams, by service.");

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static GROUPS: metric::Metric = metric::Metric::gauge("groups", "Serving groups, by model.");

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static STALLED_UPSTREAMS: metric::Metric =
    metric::Metric::gauge("upstreams_stalled", "Upstreams that are known to be stalled.");

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static LIVE_PEERS: metric::Metric =
    metric::Metric::gauge("peers_live", "Other nodes that were heard from recently.");

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static COORDINATOR: metric::Metric =
    metric::Metric::gauge("coordinator", "Whether the node holds the coordinator's lease.");

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static RETRIES: metric::Metric = metric::Metric::gauge(
    "retries_in_window",
    "Retries in the window of the retry budget, by service.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static RETRY_SHARE: metric::Metric = metric::Metric::gauge(
    "retry_share",
    "Retries that this node may have in the window, its share of the retry budget of all nodes, by service.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static LIMITED: metric::Metric =
    metric::Metric::gauge("upstreams_limited", "Upstreams that limit the requests of all nodes.");

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static SHARING_NODES: metric::Metric = metric::Metric::gauge(
    "nodes_sharing",
    "Nodes between which bounds over all nodes are divided: those that are registered, or have been until a few seconds ago.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static PART: metric::Metric = metric::Metric::gauge(
    "limit_part",
    "Part of the limits of upstreams, and of the rates of cold ones, that belongs to this node, from 0 to 1; 0 while it does not know that it is registered.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static PARTS: metric::Metric = metric::Metric::gauge(
    "limit_parts_lent",
    "Sum of the parts of limits that were lent to this node, from which it grants permits, from 0 to 1.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static QUARANTINED: metric::Metric = metric::Metric::gauge(
    "parts_quarantined",
    "Parts of prompts that crash upstreams; requests with them are refused.",
);

#[linkme::distributed_slice(metric::GAUGES)]
#[linkme(crate = linkme)]
static READ: fn(&sync::Arc<host::Host>) = read;

/// Locks one table at a time.
fn read(host: &sync::Arc<host::Host>) {
    let (tables, now) = (Tables::of(host), host.now());
    let (confirmed, returns) = {
        let catalog = tables.catalog.lock();
        (catalog.confirmed_at(), catalog.returns())
    };
    metrics::counter!(RETURNS.name).absolute(returns);
    metrics::gauge!(FACTS_AGE.name)
        .set(confirmed.map_or(f64::INFINITY, |at| now.since(at).as_secs_f64()));
    let current = tables.current.load();
    metrics::gauge!(FACTS_REVISION.name).set(current.revision.number as f64);
    metrics::gauge!(FACTS_ERA.name).set(current.revision.era as f64);
    let version = current.deployment.as_ref().map_or(0, |declared| declared.version);
    metrics::gauge!(CONFIG_VERSION.name).set(version as f64);
    if let Some(declared) = &current.deployment {
        for service in declared.services.keys() {
            let number = current.fleet.of_service(service.as_str()).count();
            let label = service.as_str().to_owned();
            metrics::gauge!(UPSTREAMS.name, "service" => label).set(number as f64);
        }
        let engines = declared.services.values().filter_map(|service| service.engine.as_ref());
        for model in engines.flat_map(|engine| &engine.models) {
            let groups = current.fleet.groups().iter();
            let number = groups.filter(|group| group.model.as_ref() == Some(&model.name)).count();
            let label = model.name.as_str().to_owned();
            metrics::gauge!(GROUPS.name, "model" => label).set(number as f64);
        }
    }
    let boot = host.port::<identity::Identity>().map_or(0, |identity| identity.boot);
    let holds = current.coordinator.as_ref().is_some_and(|holder| holder.boot == boot);
    metrics::gauge!(COORDINATOR.name).set(f64::from(u8::from(holds)));
    metrics::gauge!(LIVE_PEERS.name).set(tables.peers.lock().live(now).count() as f64);
    metrics::gauge!(STALLED_UPSTREAMS.name).set(tables.stalls.lock().iter().count() as f64);
    let quarantined = tables.quarantine.lock().parts().quarantined().count();
    metrics::gauge!(QUARANTINED.name).set(quarantined as f64);
    {
        let (part, number) = {
            let census = tables.census.lock();
            (census.share(now), census.number())
        };
        metrics::gauge!(PART.name).set(part);
        metrics::gauge!(SHARING_NODES.name).set(number as f64);
    }
    {
        let quotas = tables.quotas.lock();
        let limited = quotas.known().iter().filter(|(_, limit)| limit.rate.is_some()).count();
        metrics::gauge!(LIMITED.name).set(limited as f64);
        metrics::gauge!(PARTS.name).set(quotas.parts(now));
    }
    for (service, extra) in tables.retries.lock().retries(now) {
        metrics::gauge!(RETRIES.name, "service" => service.as_str().to_owned())
            .set(f64::from(extra));
    }
    if let Ok(limits) = host.port::<limits::Limits>() {
        for (service, share) in tables.retries.lock().shares(&limits.retries, now) {
            metrics::gauge!(RETRY_SHARE.name, "service" => service.as_str().to_owned()).set(share);
        }
    }
}
