//! Task: forms serving groups while this node holds the coordinator's lease.

mod lease;
mod orders;
mod probe;

use std::{collections, sync, time};

use corneltrestle_infra::store::Store;
use corneltrestle_kernel::{host, linkme, metric, plugin, settings};
use corneltrestle_policy::{demand, deployment, formation, id};
use corneltrestle_time::moment;

use crate::{identity, mesh, source::Source, tables, upstream::Client};

/// Longest time between two decisions; a change of the catalog triggers one at once.
const MAX_DECISION_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Age of the facts from which the coordinator does not act, as it may have missed changes.
const MAX_FACTS_AGE: time::Duration = time::Duration::from_secs(3);

/// Age of the facts from which no group is changed to another model, as the store may be unreachable.
const MAX_FACTS_AGE_OF_CHANGES: time::Duration = time::Duration::from_secs(1);

/// Age of the other nodes' counts of requests up to which they are used.
const MAX_USAGE_AGE: time::Duration = time::Duration::from_secs(4);

/// Time between two log lines that summarise all groups.
const SUMMARY_PERIOD: time::Duration = time::Duration::from_secs(1);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static LOADS: metric::Metric = metric::Metric::counter(
    "weight_loads_total",
    "Loads from the weight store that this node has ordered as the coordinator, by service.",
);

#[linkme::distributed_slice(metric::METRICS)]
#[linkme(crate = linkme)]
static CHANGES: metric::Metric = metric::Metric::counter(
    "group_changes_total",
    "Changes of the model of VMs that this node has made as the coordinator, by service and result: begun, completed or given-up.",
);

/// Settings of the task.
pub static SECTION: settings::Section = settings::Section {
    name: "groups",
    help: "Serving groups, while this node is the coordinator.",
    keys: &[settings::Key::new(
        "rebalance",
        settings::Type::Flag,
        "yes",
        "Whether groups of a model that has more than its demand needs are changed to a model that has fewer.",
    )],
};

/// State of the task.
#[derive(Debug)]
struct Coordinator<S, C> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    store: sync::Arc<S>,
    client: sync::Arc<C>,
    mesh: sync::Arc<mesh::Mesh>,
    /// Permits to send an order.
    orders: tokio::sync::Semaphore,
    /// Whether groups are changed to another model by the demand.
    rebalance: bool,
}

/// Starts the task on the host's worker pool.
///
/// # Errors
///
/// When no plug-in provides a port that it uses.
pub fn open<S: Store + Source, C: Client>(
    host: &sync::Arc<host::Host>,
) -> plugin::Result<plugin::Handle> {
    let coordinator = sync::Arc::new(Coordinator::<S, C> {
        host: sync::Arc::clone(host),
        identity: host.port()?,
        tables: tables::Tables::of(host),
        store: host.port()?,
        client: host.port()?,
        mesh: host.port()?,
        orders: tokio::sync::Semaphore::new(orders::MAX_CONCURRENT),
        rebalance: host.settings.section(SECTION.name).flag("rebalance"),
    });
    let handle = plugin::Handle::default();
    let holder = sync::Arc::clone(&coordinator);
    host.supervise(&handle, "lease", move || sync::Arc::clone(&holder).hold());
    host.supervise(&handle, "coordinate", move || sync::Arc::clone(&coordinator).run());
    Ok(handle)
}

impl<S: Store + Source, C: Client> Coordinator<S, C> {
    async fn run(self: sync::Arc<Self>) {
        let changed = self.tables.catalog.lock().changed();
        loop {
            let _ = tokio::time::timeout(MAX_DECISION_INTERVAL, changed.notified()).await;
            self.observe_groups();
            let now = self.host.now();
            if self.may_act(now) {
                self.probe(now);
                self.mark_damaged_groups(now);
                self.act(now);
            }
        }
    }

    /// Records which groups are complete, so that this node knows the loss of a member that happens
    /// before it becomes the coordinator.
    fn observe_groups(&self) {
        let snapshot = self.tables.current.load();
        let Some(deployment) = &snapshot.deployment else { return };
        let mut coordinator = self.tables.coordinator.lock();
        coordinator
            .complete
            .observe(&snapshot.fleet, |service| deployment.services.get(service)?.engine.as_ref());
    }

    /// Whether this node holds the lease and its facts are recent enough. After a return of the store,
    /// the VMs first register again what has become of them, and a former holder may act until it
    /// learns of the return.
    fn may_act(&self, now: moment::Moment) -> bool {
        let (confirmed, is_settled) = {
            let catalog = self.tables.catalog.lock();
            (catalog.confirmed_at(), catalog.is_settled(now))
        };
        let is_recent = confirmed.is_some_and(|at| now.since(at) < MAX_FACTS_AGE);
        is_recent && is_settled && self.holds(now)
    }

    /// Decides on the next steps and sends them as orders, if this node may act.
    fn act(self: &sync::Arc<Self>, now: moment::Moment) {
        if !self.may_act(now) {
            return;
        }
        let steps = self.decide(now);
        for step in steps {
            self.order(step);
        }
    }

    fn decide(&self, now: moment::Moment) -> Vec<formation::Step> {
        let snapshot = self.tables.current.load();
        let Some(deployment) = &snapshot.deployment else { return Vec::new() };
        let may_rebalance = self.may_rebalance(&snapshot, now);
        let mut coordinator = self.tables.coordinator.lock();
        let tables::coordinator::Coordinator { state, complete, busy, lost, summarized_at, .. } =
            &mut *coordinator;
        let Some(state) = state else { return Vec::new() };
        let is_due = summarized_at.is_none_or(|at| now.since(at) >= SUMMARY_PERIOD);
        if is_due {
            *summarized_at = Some(now);
        }
        let lost: collections::BTreeSet<id::Vm> = lost.keys().cloned().collect();
        let engines = deployment
            .services
            .iter()
            .filter_map(|(name, service)| service.engine.as_ref().map(|engine| (name, engine)));
        let runs_engine = |name: &id::Service| {
            deployment.services.get(name).is_some_and(|service| service.engine.is_some())
        };
        state.retain_services(runs_engine);
        let mut steps = Vec::new();
        for (service, engine) in engines {
            let demand = self.demand(service, engine, now);
            let uncertainty = self.uncertainty(service, engine, now);
            let in_progress = self.in_progress(service, &snapshot);
            // A deployment that is in use has had requests, whether this node knows of one or not.
            let has_traffic = !self.identity.bootstrap || self.tables.activity.lock().has_traffic();
            let view = formation::View {
                service,
                engine,
                fleet: &snapshot.fleet,
                complete,
                evacuated: &snapshot.evacuated,
                lost: &lost,
                busy,
                demand: &demand,
                uncertainty: &uncertainty,
                in_progress: &in_progress,
                has_traffic,
                may_rebalance,
            };
            let loads = state.loads();
            steps.extend(formation::decide(&view, state, now));
            let loads = state.loads() - loads;
            metrics::counter!(LOADS.name, "service" => service.as_str().to_owned())
                .increment(loads);
            record_changes(service, state);
            if is_due {
                let summary = formation::Summary::of(&view, state, now);
                let incomplete =
                    state.longest_incomplete(service.as_str(), now).unwrap_or_default();
                log::info!(
                    service = service.as_str(), token = state.token(), in_use = has_traffic,
                    loads = state.loads(), planned = state.planned(service.as_str()),
                    incomplete_ms = incomplete.as_millis();
                    "group: {summary}"
                );
            }
        }
        steps
    }

    /// Whether groups may be changed to another model: it is enabled, the store has confirmed the facts
    /// a short time ago, and a node of each zone is heard.
    fn may_rebalance(&self, snapshot: &tables::catalog::Snapshot, now: moment::Moment) -> bool {
        let is_confirmed = || {
            let catalog = self.tables.catalog.lock();
            let confirmed = catalog.confirmed_at();
            !catalog.is_unreachable()
                && confirmed.is_some_and(|at| now.since(at) < MAX_FACTS_AGE_OF_CHANGES)
        };
        let is_heard = || {
            let peers = self.tables.peers.lock();
            let live: collections::BTreeSet<_> = peers
                .live(now)
                .filter_map(|(node, _)| snapshot.nodes.get(node))
                .map(|node| &node.zone)
                .collect();
            let zones = snapshot.nodes.values().map(|node| &node.zone);
            zones.filter(|zone| **zone != self.identity.zone).all(|zone| live.contains(zone))
        };
        self.rebalance && is_confirmed() && is_heard()
    }

    /// Requests of all nodes in progress at the groups of each model.
    fn in_progress(
        &self,
        service: &id::Service,
        snapshot: &tables::catalog::Snapshot,
    ) -> collections::BTreeMap<id::Model, f64> {
        let mut found = collections::BTreeMap::new();
        let activity = self.tables.activity.lock();
        let groups = snapshot.fleet.groups().iter();
        for group in groups.filter(|group| group.is_open && group.service == *service) {
            let head = snapshot.fleet.head(group);
            if let (Some(head), Some(model)) = (head, &group.model) {
                let work = activity.estimated_work(head.id.as_str());
                *found.entry(model.clone()).or_insert(0.0) += f64::from(work.requests);
            }
        }
        found
    }

    /// Relative standard errors of the rates of [`Self::demand`], which follow from the requests of this
    /// node.
    fn uncertainty(
        &self,
        service: &id::Service,
        engine: &deployment::Engine,
        now: moment::Moment,
    ) -> collections::BTreeMap<id::Model, f64> {
        let table = self.tables.demand.lock();
        let of = |name: &id::Model| table.uncertainty(service, name.as_str(), now);
        engine.models.iter().map(|model| (model.name.clone(), of(&model.name))).collect()
    }

    /// Demand for each model over all nodes. The rate at this node is scaled up by its share of the
    /// service's requests: each node is assumed to see the same mix of models.
    fn demand(
        &self,
        service: &id::Service,
        engine: &deployment::Engine,
        now: moment::Moment,
    ) -> collections::BTreeMap<id::Model, demand::Demand> {
        let others = {
            let activity = self.tables.activity.lock();
            activity.usage_of_others(service.as_str(), MAX_USAGE_AGE, now).usage.requests
        };
        let own = self.tables.retries.lock().requests(service, now);
        let scale = f64::from(own + others) / f64::from(own.max(1));
        let table = self.tables.demand.lock();
        let demands = engine.models.iter().map(|model| {
            let own = table.of(service, model.name.as_str(), engine, now);
            (model.name.clone(), demand::Demand { rate: own.rate * scale, ..own })
        });
        demands.collect()
    }
}

/// Logs and counts what has become of changes of the model of VMs.
fn record_changes(service: &id::Service, state: &mut formation::State) {
    for event in state.take_events() {
        let result = match event.outcome {
            formation::Outcome::Begun => Some("begun"),
            formation::Outcome::Staged => None,
            formation::Outcome::Completed => Some("completed"),
            _ => Some("given-up"),
        };
        if let Some(result) = result {
            let service = service.as_str().to_owned();
            metrics::counter!(CHANGES.name, "service" => service, "result" => result).increment(1);
        }
        log::info!(service = service.as_str(), token = state.token(); "group: {event}");
    }
}
