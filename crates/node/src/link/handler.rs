//! The handler of peers' calls, which answers from this node's tables.

use std::{sync, time};

use corneltrestle_kernel::{host, plugin};
use corneltrestle_policy::{assignment, eligibility, id, membership, release};
use corneltrestle_time::moment;
use corneltrestle_wire::{key, link as wire, stored};

use super::{Handler, Link};
use crate::{counts, identity, slots, tables, updates};

/// Time limit of the call to each other node of the zone when a status request asks for all of
/// them; shorter than the 2 s that the caller waits.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Answers calls from the tables of a node.
#[derive(Debug)]
pub struct NodeHandler<L> {
    host: sync::Arc<host::Host>,
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    link: sync::Arc<L>,
}

impl<L: Link> NodeHandler<L> {
    /// Creates the handler from the tables and ports of a host.
    ///
    /// # Errors
    ///
    /// When a port has not been provided.
    pub fn new(host: &sync::Arc<host::Host>) -> plugin::Result<Self> {
        Ok(Self {
            host: sync::Arc::clone(host),
            identity: host.port()?,
            tables: tables::Tables::new(host)?,
            link: host.port()?,
        })
    }

    /// The state of this node.
    pub fn own_status(&self) -> wire::NodeStatus {
        let now = self.host.now();
        let zone = &self.identity.zone;
        let (revision, watch_age) = {
            let config = self.tables.config.lock();
            (config.revision(), config.watch_age(now))
        };
        let stored = self.tables.replicas.lock().zone(zone.as_str());
        let serving = self.serving_replicas(zone, &stored.assignment, now);
        wire::NodeStatus {
            node: self.identity.node.clone(),
            zone: zone.clone(),
            is_reached: true,
            stage: self.host.lifecycle.stage(),
            revision,
            watch_age,
            replicas: u32::try_from(stored.assignment.replicas.len()).unwrap_or(u32::MAX),
            serving,
        }
    }

    fn serving_replicas(
        &self,
        zone: &id::Zone,
        assignment: &assignment::Assignment,
        now: moment::Moment,
    ) -> u32 {
        let zone_in = self.tables.current.load().accepts_work(zone.as_str());
        let leaving = Default::default();
        let reports = self.tables.reports.lock();
        let serving = assignment.replicas.iter().filter(|replica| {
            let max_age = self.identity.view_bound;
            let reports = reports.all();
            let view = eligibility::View {
                replica,
                reports,
                leaving: &leaving,
                zone_in,
                max_age,
                activity: None,
            };
            eligibility::check(&view, now).is_ok()
        });
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }

    /// The states of the other nodes of the zone, except dead ones.
    async fn zone_status(&self) -> Vec<wire::NodeStatus> {
        let now = self.host.now();
        let members = self.tables.members.lock().roster(self.identity.zone.as_str(), now);
        let ask = |member: wire::Member| async move {
            let request = wire::StatusRequest { whole_zone: false };
            let call = self.link.status(member.address, request);
            let reply = tokio::time::timeout(STATUS_TIMEOUT, call).await;
            let known = reply.ok().and_then(Result::ok).and_then(|r| r.nodes.into_iter().next());
            known.unwrap_or_else(|| unreachable_node(&member, &self.identity.zone))
        };
        let others = members.into_iter().filter(|member| {
            member.id != self.identity.node && member.age < membership::DEAD_AFTER
        });
        futures_util::future::join_all(others.map(ask)).await
    }
}

fn unreachable_node(member: &wire::Member, zone: &id::Zone) -> wire::NodeStatus {
    wire::NodeStatus {
        node: member.id.clone(),
        zone: zone.clone(),
        is_reached: false,
        stage: member.state,
        revision: 0,
        watch_age: time::Duration::ZERO,
        replicas: 0,
        serving: 0,
    }
}

impl<L: Link> Handler for NodeHandler<L> {
    async fn pull(&self, request: &wire::PullRequest) -> wire::Digest {
        let now = self.host.now();
        let (revision, watch_age) = {
            let config = self.tables.config.lock();
            (config.revision(), config.watch_age(now))
        };
        let rosters = {
            let members = self.tables.members.lock();
            let answer = |known: &wire::KnownRoster| {
                let roster = members.roster(known.zone.as_str(), now);
                wire::Roster::answer(&known.zone, &members.views(&roster), known)
            };
            request.rosters.iter().map(answer).collect()
        };
        let answer = |known: &wire::KnownReports| {
            let view = updates::ZoneReports::read(&self.tables, &known.zone, now);
            wire::Reports::answer(&known.zone, view.version, &view.ages, &view.loads, known)
        };
        wire::Digest {
            node: self.identity.node.clone(),
            revision,
            watch_age,
            rosters,
            reports: request.reports.iter().map(answer).collect(),
        }
    }

    async fn push(&self, update: &wire::Update) -> wire::Ack {
        let is_fresh = updates::is_new(&self.tables, &update.kind);
        if is_fresh {
            let address = {
                let now = self.host.now();
                let members = self.tables.members.lock();
                members.known.view(now).get(update.node.as_str()).map(|member| member.address)
            };
            updates::apply(&self.host, &self.tables, &*self.link, &update.kind, address).await;
            self.tables.outbox.lock().push(update.kind.clone(), Some(update.node.clone()));
        }
        wire::Ack { is_fresh }
    }

    async fn fetch(&self, request: &wire::FetchRequest) -> wire::Value {
        let (revision, body) = match &request.document {
            wire::Document::Release => {
                let release = self.tables.current.load();
                let encode = || stored::encode::<release::Release>(key::head(), &release);
                (release.revision, (release.revision > request.known).then(encode))
            }
            wire::Document::Assignment(zone) => {
                let known = self.tables.replicas.lock().zone(zone.as_str());
                let encode = || stored::encode(&key::groups(zone.as_str()), &*known.assignment);
                (known.version, (known.version > request.known).then(encode))
            }
        };
        wire::Value { revision, body: body.and_then(Result::ok).map(bytes::Bytes::from) }
    }

    async fn counts(&self, request: wire::CountsRequest) -> wire::CountsReply {
        counts::reply(&self.host, &self.identity, &self.tables, request)
    }

    async fn acquire(&self, request: &wire::SlotRequest) -> wire::Loan {
        slots::lend(&self.identity, &self.tables, request, self.host.now())
    }

    async fn release(&self, loan: u64) {
        self.tables.warmup.lock().return_slot(loan);
    }

    async fn status(&self, request: wire::StatusRequest) -> wire::StatusReply {
        let mut nodes = vec![self.own_status()];
        if request.whole_zone {
            nodes.extend(self.zone_status().await);
        }
        wire::StatusReply { nodes }
    }
}
