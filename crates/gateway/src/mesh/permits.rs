//! Exchanging the limits of upstreams, and permits for requests to them.

use std::time;

use corneltrestle_policy::{
    id,
    quota::{grantor::Grant, known},
};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;
use rand::seq::IteratorRandom;

use crate::tables::{activity::saturating_millis, outbox::Reach};

impl super::Mesh {
    /// Asks for the permits that requests of this node wait for, and lends the node's part of the
    /// limits; `is_due` says whether to lend it again.
    pub(crate) fn ask_for_permits(&self, is_due: bool, now: moment::Moment) {
        let grantors = self.grantors(now);
        let part = self.tables.census.lock().share(now);
        let own = &self.identity.node;
        let ask = self.tables.quotas.lock().ask(own, &grantors, part, is_due, now);
        let Some(ask) = ask else { return };
        let Some(address) = self.address_of(ask.grantor.as_str()) else { return };
        let row = |(upstream, number): &(id::Vm, u32)| mesh::PermitRow {
            upstream: upstream.to_string(),
            number: *number,
            wait: 0,
        };
        let empty: &[(id::Vm, u32)] = &[];
        let parts = ask.wanted.chunks(mesh::MAX_LIMITS);
        for wanted in parts.chain(ask.wanted.is_empty().then_some(empty)) {
            let permits = mesh::Permits {
                asked: now.as_micros(),
                is_grant: false,
                part: ask.part,
                rows: wanted.iter().map(row).collect(),
            };
            let upstreams: Vec<_> = wanted.iter().map(|(upstream, _)| upstream.as_str()).collect();
            let limits = self.limits_of(&upstreams, now);
            self.send_permits(address, permits, limits, now);
        }
    }

    /// The nodes that may grant permits, in the order in which this node asks them: the coordinator if it
    /// was heard from lately, the hubs of the own zone, and the node itself.
    fn grantors(&self, now: moment::Moment) -> Vec<id::Node> {
        let snapshot = self.tables.current.load();
        let coordinator = snapshot.coordinator.as_ref().map(|holder| holder.node.clone());
        let peers = self.tables.peers.lock();
        let is_heard = |node: &id::Node| {
            *node == self.identity.node || peers.live(now).any(|(live, _)| live == node)
        };
        let coordinator = coordinator.filter(is_heard);
        let mut grantors: Vec<id::Node> = Vec::new();
        for node in coordinator.iter().chain(peers.hubs().chosen()).chain([&self.identity.node]) {
            let is_known = snapshot.nodes.contains_key(node) && !peers.is_draining(node.as_str());
            let is_own = *node == self.identity.node;
            if (is_known || is_own) && !grantors.contains(node) {
                grantors.push(node.clone());
            }
        }
        grantors
    }

    /// Limits of upstreams for periodic datagrams, some of them if there are many.
    pub(super) fn limits(&self, now: moment::Moment) -> Vec<mesh::Limit> {
        let quotas = self.tables.quotas.lock();
        let chosen = quotas.known().iter().choose_multiple(&mut rand::rng(), mesh::MAX_LIMITS);
        chosen.into_iter().map(|(id, limit)| encode(id, limit, now)).collect()
    }

    fn limits_of(&self, upstreams: &[&str], now: moment::Moment) -> Vec<mesh::Limit> {
        let quotas = self.tables.quotas.lock();
        let wanted = quotas.known().iter().filter(|(id, _)| upstreams.contains(&id.as_str()));
        wanted.map(|(id, limit)| encode(id, limit, now)).collect()
    }

    fn send_permits(
        &self,
        peer: std::net::SocketAddr,
        permits: mesh::Permits,
        limits: Vec<mesh::Limit>,
        now: moment::Moment,
    ) {
        let permits = Some(permits);
        let datagram = mesh::Datagram { permits, limits, ..self.datagram(false, now) };
        self.enqueue(mesh::encode(datagram), Reach::Peer(peer));
    }

    /// Handles the limits and permits in a datagram.
    pub(super) fn handle_permits(
        &self,
        origin: &mesh::Origin,
        datagram: &mesh::Datagram,
        now: moment::Moment,
    ) {
        if datagram.limits.is_empty() && datagram.permits.is_none() {
            return;
        }
        // What has waited in the socket during a pause of this process is older than it says.
        let has_paused = self.tables.pauses.lock().has_paused(now, now);
        let limits = datagram.limits.iter().filter(|_| !has_paused);
        let mut quotas = self.tables.quotas.lock();
        for limit in limits.take(mesh::MAX_LIMITS) {
            let stated = now.before(time::Duration::from_millis(u64::from(limit.age)));
            let source = known::Source { boot: limit.boot, micros: limit.micros };
            let (incarnation, rate) = (limit.incarnation, limit.rate);
            let known = known::Limit { incarnation, rate, stated, source };
            quotas.merge(&limit.upstream.as_str().into(), known);
        }
        let Some(permits) = &datagram.permits else { return };
        let node: id::Node = origin.node.as_str().into();
        let rows = permits.rows.iter().take(mesh::MAX_LIMITS);
        if permits.is_grant {
            quotas.answered(&node);
            let asked = moment::Moment::from_micros(permits.asked);
            for row in rows {
                let wait = time::Duration::from_millis(u64::from(row.wait));
                let grant = Grant { number: row.number, wait };
                quotas.receive(&row.upstream.as_str().into(), grant, asked, now);
            }
            quotas.signals().granted.notify_waiters();
            return;
        }
        if permits.part > 0.0 {
            quotas.borrow(&node, permits.part, now);
        }
        let answer = |row: &mesh::PermitRow| {
            let grant = quotas.grant(&row.upstream.as_str().into(), row.number, now);
            let (number, wait) = (grant.number, saturating_millis(grant.wait));
            mesh::PermitRow { upstream: row.upstream.clone(), number, wait }
        };
        let rows: Vec<_> = rows.map(answer).collect();
        drop(quotas);
        let Some(peer) = self.address_of(node.as_str()) else { return };
        let upstreams: Vec<_> = rows.iter().map(|row| row.upstream.as_str()).collect();
        let limits = self.limits_of(&upstreams, now);
        let grant = mesh::Permits { asked: permits.asked, is_grant: true, part: 0.0, rows };
        self.send_permits(peer, grant, limits, now);
    }
}

fn encode(upstream: &id::Vm, limit: &known::Limit, now: moment::Moment) -> mesh::Limit {
    mesh::Limit {
        upstream: upstream.to_string(),
        incarnation: limit.incarnation,
        rate: limit.rate,
        age: saturating_millis(now.since(limit.stated)),
        boot: limit.source.boot,
        micros: limit.source.micros,
    }
}
