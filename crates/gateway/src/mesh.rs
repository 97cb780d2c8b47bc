//! The mesh: datagrams and calls between the nodes of a deployment.
//!
//! Each node sends heartbeats with its requests in progress to the nodes of its zone; in a zone of
//! many nodes only to its hubs, which send the sum of all requests to each node. The first hub of
//! each zone sends digests with the requests of all its nodes to the other zones. Urgent datagrams
//! go to all nodes of the own zone and to a few of each other zone, which forward them within
//! theirs.

mod evidence;
mod facts;
mod incoming;
mod outgoing;
mod permits;

use std::{io, net, sync, time};

use corneltrestle_policy::{census, id};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;
use rand::seq::{IteratorRandom, SliceRandom};
use tokio::net::UdpSocket;

use crate::{
    identity,
    tables::{self, outbox},
};

pub use facts::{Facts, serve};

/// The result of binding the mesh.
pub type Result<T> = io::Result<T>;

/// Nodes of each other zone to which a datagram is sent; more than one, as some may be gone.
const RELAYS_PER_ZONE: usize = 2;

/// Age of the loads by which other nodes count as heard from.
const HEARD_AGE: time::Duration = time::Duration::from_secs(2);

/// Number of other nodes of a zone up to which all of them exchange heartbeats directly.
const MAX_DIRECT_PEERS: usize = 15;

/// Datagrams with changes of facts after which the changes are published although more wait.
const MAX_UNPUBLISHED: usize = 32;

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// This node's end of the mesh.
#[derive(Debug)]
pub struct Mesh {
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    socket: UdpSocket,
    sequence: sync::atomic::AtomicU64,
    /// Notified when a datagram is queued in the outbox.
    queued: tokio::sync::Notify,
    /// Notified when a peer reports a later revision of the facts.
    behind: tokio::sync::Notify,
}

impl Mesh {
    /// Binds the UDP address of the node; has to be called on a worker thread.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn bind(
        identity: sync::Arc<identity::Identity>,
        tables: tables::Tables,
    ) -> Result<sync::Arc<Self>> {
        let socket = net::UdpSocket::bind(identity.mesh)?;
        socket.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(socket)?;
        let sequence = sync::atomic::AtomicU64::new(1);
        let (queued, behind) = (tokio::sync::Notify::new(), tokio::sync::Notify::new());
        Ok(sync::Arc::new(Self { identity, tables, socket, sequence, queued, behind }))
    }

    /// Records which nodes are registered, for the shares of bounds over all nodes. Nothing is known
    /// before the first registration.
    ///
    /// Facts are up to date as long as the store confirms them, or other nodes do not have later ones.
    /// While the store answers no node, registrations do not change, and most nodes hear each other.
    pub(crate) fn observe_nodes(&self, now: moment::Moment) {
        let snapshot = self.tables.current.load();
        if snapshot.nodes.is_empty() {
            return;
        }
        let (revision, confirmed) = {
            let catalog = self.tables.catalog.lock();
            (catalog.revision(), catalog.confirmed_at())
        };
        let (live, heard, agreed) = {
            let peers = self.tables.peers.lock();
            (peers.live(now).count(), peers.number() + 1, peers.last_agreed(revision))
        };
        let reported = self.tables.activity.lock().usage_of_others("", HEARD_AGE, now).known;
        let number = {
            let mut census = self.tables.census.lock();
            let number = census.number().max(snapshot.nodes.len());
            let hears_most = 2 * (live.max(reported) + 1) > number;
            let informed = confirmed.max(agreed.filter(|_| hears_most));
            let view = census::View {
                own: self.registration(&snapshot),
                informed: informed.unwrap_or(moment::Moment::ZERO),
            };
            census.observe(&self.identity, snapshot.nodes.keys(), view, now);
            census.number()
        };
        let informed = confirmed.max(agreed).unwrap_or(moment::Moment::ZERO);
        let mut retries = self.tables.retries.lock();
        retries.observe_nodes(number.max(heard), self.identity.bootstrap, informed, now);
    }

    /// How this node is registered.
    fn registration(&self, snapshot: &tables::catalog::Snapshot) -> census::Registration {
        match snapshot.nodes.get(&self.identity.node) {
            None => census::Registration::Absent,
            Some(node) if node.boot == self.identity.boot => census::Registration::Own,
            Some(_) => census::Registration::Earlier,
        }
    }

    /// Waits until a datagram is queued to be sent at once.
    pub(crate) async fn queued(&self) {
        self.queued.notified().await;
    }

    /// Waits until a peer reports a later revision than that of this node.
    pub(crate) async fn behind(&self) {
        self.behind.notified().await;
    }

    /// Queues a datagram to be sent at once.
    fn enqueue(&self, datagram: Vec<u8>, reach: outbox::Reach) {
        self.tables.outbox.lock().push(outbox::Item { datagram, reach });
        self.queued.notify_one();
    }

    /// Sends all queued datagrams.
    ///
    /// All of them go to the same relays, so that changes of facts keep their order.
    pub(crate) async fn flush(&self) {
        let items = self.tables.outbox.lock().take();
        let relays = std::cell::OnceCell::new();
        for item in items {
            let near = match item.reach {
                outbox::Reach::Peer(address) => vec![address],
                outbox::Reach::Zone | outbox::Reach::All => self.zone_peers(),
                outbox::Reach::Listeners | outbox::Reach::AllListeners => self.listeners(),
            };
            self.send(&item.datagram, &near).await;
            if matches!(item.reach, outbox::Reach::All | outbox::Reach::AllListeners) {
                self.send(&item.datagram, relays.get_or_init(|| self.relays())).await;
            }
        }
    }

    /// Sends a datagram to each of the peers. A failure is only logged, as datagrams may be lost
    /// anyway.
    pub(crate) async fn send(&self, datagram: &[u8], peers: &[net::SocketAddr]) {
        for peer in peers {
            if let Err(e) = self.socket.send_to(datagram, peer).await {
                log::debug!("mesh: sending a datagram to {peer} failed: {e}");
            }
        }
    }

    /// Receives the next datagram that can be decoded. Returns it with the address of its sender.
    ///
    /// Changes of facts are published when no further datagram waits, or after
    /// [`MAX_UNPUBLISHED`] of them.
    pub(crate) async fn receive(
        &self,
        buffer: &mut [u8],
        unpublished: &mut usize,
    ) -> (mesh::Datagram, net::SocketAddr) {
        loop {
            let received = match self.socket.try_recv_from(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.publish(unpublished);
                    self.socket.recv_from(buffer).await
                }
                received => received,
            };
            match received {
                Ok((length, peer)) => match mesh::decode(&buffer[..length]) {
                    Ok(datagram) => {
                        *unpublished += usize::from(datagram.delta.is_some());
                        if *unpublished >= MAX_UNPUBLISHED {
                            self.publish(unpublished);
                        }
                        return (datagram, peer);
                    }
                    Err(e) => log::warn!("mesh: a datagram from {peer} cannot be decoded: {e}"),
                },
                Err(e) => {
                    log::warn!("mesh: receiving a datagram failed: {e}");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }

    fn publish(&self, unpublished: &mut usize) {
        if std::mem::take(unpublished) > 0 {
            self.tables.catalog.lock().publish();
        }
    }
}

/// Receivers of datagrams.
impl Mesh {
    /// Addresses of the other nodes of the own zone.
    pub(crate) fn zone_peers(&self) -> Vec<net::SocketAddr> {
        self.zone_nodes().into_iter().map(|(_, address)| address).collect()
    }

    /// Addresses of up to [`RELAYS_PER_ZONE`] nodes of each other zone, drawn anew on each call, as
    /// some nodes may be gone; large ones where there are enough, as a relay sends each datagram to
    /// all nodes of its zone.
    pub(crate) fn relays(&self) -> Vec<net::SocketAddr> {
        let snapshot = self.tables.current.load();
        let zones: std::collections::BTreeSet<_> =
            snapshot.nodes.values().map(|node| &node.zone).collect();
        let mut rng = rand::rng();
        let mut relays = Vec::new();
        for zone in zones.into_iter().filter(|zone| **zone != self.identity.zone) {
            let mut nodes = snapshot.nodes_of(zone);
            nodes.shuffle(&mut rng);
            nodes.sort_by_key(|(_, is_large)| !is_large);
            let chosen = nodes.into_iter().take(RELAYS_PER_ZONE);
            relays.extend(chosen.map(|(node, _)| snapshot.nodes[node].address));
        }
        relays
    }

    /// Chooses the hubs of the own zone; a node that is shutting down does not choose itself.
    pub(crate) fn choose_hubs(&self, draining: bool, now: moment::Moment) {
        let snapshot = self.tables.current.load();
        let registered = snapshot.nodes_of(&self.identity.zone);
        let own = &self.identity.node;
        let registered = registered.into_iter().filter(|(node, _)| !draining || *node != own);
        let mut peers = self.tables.peers.lock();
        let pause_end = self.pause_end(now);
        peers.choose_hubs(&self.identity.zone, own, registered, pause_end, now);
    }

    /// End of the latest pause of this process; `now` if one may have just ended.
    fn pause_end(&self, now: moment::Moment) -> Option<moment::Moment> {
        let pauses = self.tables.pauses.lock();
        if pauses.has_paused(now, now) { Some(now) } else { pauses.last_end() }
    }

    /// Whether the nodes of the own zone report to hubs.
    pub(crate) fn uses_hubs(&self) -> bool {
        let snapshot = self.tables.current.load();
        let nodes = snapshot.nodes.values().filter(|node| node.zone == self.identity.zone);
        nodes.count() > MAX_DIRECT_PEERS + 1
    }

    /// Place of this node among the hubs of its zone, from 0; `None` if it is none.
    pub(crate) fn place_among_hubs(&self) -> Option<usize> {
        self.tables.peers.lock().hubs().place(self.identity.node.as_str())
    }

    /// Addresses of the nodes that take this node's heartbeats: the other hubs of the own zone, or
    /// all its other nodes if there are few.
    pub(crate) fn listeners(&self) -> Vec<net::SocketAddr> {
        if !self.uses_hubs() {
            return self.zone_peers();
        }
        let hubs = self.tables.peers.lock().hubs().chosen().to_vec();
        let snapshot = self.tables.current.load();
        let others = hubs.iter().filter(|hub| **hub != self.identity.node);
        others.filter_map(|hub| Some(snapshot.nodes.get(hub)?.address)).collect()
    }

    /// The other nodes of the own zone with their addresses.
    pub(crate) fn zone_nodes(&self) -> Vec<(id::Node, net::SocketAddr)> {
        let snapshot = self.tables.current.load();
        let near = snapshot
            .nodes
            .iter()
            .filter(|(id, node)| node.zone == self.identity.zone && **id != self.identity.node);
        near.map(|(id, node)| (id.clone(), node.address)).collect()
    }

    /// Address of a random other node of the own zone.
    pub(crate) fn random_peer(&self) -> Option<net::SocketAddr> {
        self.zone_peers().into_iter().choose(&mut rand::rng())
    }

    /// Address for the datagrams of a node; `None` if it is not registered.
    pub(crate) fn address_of(&self, node: &str) -> Option<net::SocketAddr> {
        self.tables.current.load().nodes.get(node).map(|node| node.address)
    }
}
