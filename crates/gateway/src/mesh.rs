//! The mesh: datagrams and calls between the nodes of a deployment.
//!
//! Each node sends heartbeats with its requests in progress to the nodes of its zone. One node of
//! each zone sends digests with the requests of all its nodes to the other zones. Urgent datagrams
//! go to all nodes of the own zone and to a few of each other zone, which forward them within
//! theirs.

mod facts;
mod incoming;
mod outgoing;

use std::{io, net, sync, time};

use corneltrestle_policy::rendezvous;
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;
use rand::seq::IndexedRandom;
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
    pub(crate) async fn flush(&self) {
        let items = self.tables.outbox.lock().take();
        for item in items {
            self.send(&item.datagram, &self.zone_peers()).await;
            if item.reach == outbox::Reach::All {
                self.send(&item.datagram, &self.relays()).await;
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

    /// Receives the next datagram that can be decoded. Returns it with its length in `buffer` and
    /// the address of its sender.
    ///
    /// Changes of facts are published when no further datagram waits, or after
    /// [`MAX_UNPUBLISHED`] of them.
    pub(crate) async fn receive(
        &self,
        buffer: &mut [u8],
        unpublished: &mut usize,
    ) -> (mesh::Datagram, usize, net::SocketAddr) {
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
                        return (datagram, length, peer);
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
        let snapshot = self.tables.current.load();
        let near = snapshot
            .nodes
            .iter()
            .filter(|(id, node)| node.zone == self.identity.zone && **id != self.identity.node);
        near.map(|(_, node)| node.address).collect()
    }

    /// Addresses of up to [`RELAYS_PER_ZONE`] nodes of each other zone, drawn anew on each call, as
    /// some nodes may be gone.
    pub(crate) fn relays(&self) -> Vec<net::SocketAddr> {
        let snapshot = self.tables.current.load();
        let mut zones = std::collections::BTreeMap::<_, Vec<net::SocketAddr>>::new();
        for node in snapshot.nodes.values().filter(|node| node.zone != self.identity.zone) {
            zones.entry(&node.zone).or_default().push(node.address);
        }
        let mut rng = rand::rng();
        zones
            .values()
            .flat_map(|nodes| nodes.choose_multiple(&mut rng, RELAYS_PER_ZONE).copied())
            .collect()
    }

    /// Whether this node sends the digests of its zone: it ranks first among the live nodes, large
    /// nodes before small ones.
    pub(crate) fn represents_zone(&self, now: moment::Moment) -> bool {
        let snapshot = self.tables.current.load();
        let zone = &self.identity.zone;
        let key = |node: &str| {
            let is_small = !snapshot.is_large(node, Some(zone));
            (is_small, rendezvous::weight(zone.as_str(), node))
        };
        let own = key(self.identity.node.as_str());
        let peers = self.tables.peers.lock();
        peers.same_zone(now).all(|node| own < key(node.as_str()))
    }
}
