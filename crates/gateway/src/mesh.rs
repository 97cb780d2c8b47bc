//! Datagrams between the nodes of a deployment.

mod facts;

use std::{io, net, sync, time};

use corneltrestle_policy::id;
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;
use tokio::{net::UdpSocket, sync::Notify};

use crate::{
    identity,
    tables::{self, activity::millis, peers, stalls},
};

pub use facts::{Facts, serve};

/// The result of binding the mesh.
pub type Result<T> = io::Result<T>;

/// This node's end of the mesh.
#[derive(Debug)]
pub struct Mesh {
    identity: sync::Arc<identity::Identity>,
    tables: tables::Tables,
    socket: UdpSocket,
    sequence: sync::atomic::AtomicU64,
    /// Notified when peers are to hear of something at once.
    urgent: Notify,
    /// Whether peers are to be asked with the next pulse.
    asks: sync::atomic::AtomicBool,
    /// Notified when a peer knows later facts.
    behind: Notify,
}

impl Mesh {
    /// Binds the address of the node; has to be called on a worker.
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
        let (urgent, behind) = (Notify::new(), Notify::new());
        let asks = sync::atomic::AtomicBool::new(false);
        Ok(sync::Arc::new(Self { identity, tables, socket, sequence, urgent, asks, behind }))
    }

    /// Asks peers to tell of themselves at once.
    pub fn ask(&self) {
        self.asks.store(true, sync::atomic::Ordering::Relaxed);
        self.hurry();
    }

    /// Whether peers are to be asked with the next pulse; true once for each request to do so.
    pub(crate) fn takes_ask(&self) -> bool {
        self.asks.swap(false, sync::atomic::Ordering::Relaxed)
    }

    /// Lets peers hear of something at once.
    pub fn hurry(&self) {
        self.urgent.notify_one();
    }

    /// Waits until peers are to hear of something at once.
    pub(crate) async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// The peers, those of the own zone first.
    pub(crate) fn peers(&self) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
        let snapshot = self.tables.current.load();
        let others = snapshot.nodes.iter().filter(|(id, _)| **id != self.identity.node);
        let (near, far): (Vec<_>, Vec<_>) =
            others.map(|(_, node)| node).partition(|node| node.zone == self.identity.zone);
        let addresses =
            |nodes: Vec<&crate::source::Node>| nodes.into_iter().map(|node| node.address).collect();
        (addresses(near), addresses(far))
    }

    /// The pulse of this node.
    pub(crate) fn pulse(&self, asks: bool, draining: bool, now: moment::Moment) -> Vec<u8> {
        let (revision, heard) = {
            let catalog = self.tables.catalog.lock();
            (catalog.at(), catalog.heard())
        };
        let rows = self.tables.activity.lock().rows(now);
        let usage = self.tables.retries.lock().usage(now);
        let stalls = self.tables.stalls.lock();
        let stalls =
            stalls.iter().filter(|(_, stall)| stall.is_own).map(|(id, stall)| mesh::Stall {
                upstream: id.to_string(),
                born: stall.born,
                age: millis(now.since(stall.at)),
            });
        mesh::encode(mesh::Pulse {
            node: self.identity.node.to_string(),
            boot: self.identity.boot,
            sequence: self.sequence.fetch_add(1, sync::atomic::Ordering::Relaxed),
            revision,
            age: heard.map_or(u32::MAX, |heard| millis(now.since(heard))),
            draining,
            rows,
            stalls: stalls.collect(),
            asks,
            usage,
            port: u32::from(self.identity.link.port()),
        })
    }

    /// Sends a datagram to each of the peers. One that cannot be sent is as good as lost.
    pub(crate) async fn send(&self, datagram: &[u8], peers: &[net::SocketAddr]) {
        for peer in peers {
            if let Err(e) = self.socket.send_to(datagram, peer).await {
                log::debug!("mesh: a datagram to {peer} was not sent: {e}");
            }
        }
    }

    /// Receives the next pulse of a peer, with its address.
    pub(crate) async fn receive(&self) -> (mesh::Pulse, net::SocketAddr) {
        let mut buffer = [0; 2 * mesh::MAX_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, peer)) => match mesh::decode(&buffer[..length]) {
                    Ok(pulse) if pulse.node != self.identity.node.as_str() => return (pulse, peer),
                    Ok(_) => {}
                    Err(e) => log::warn!("mesh: a datagram of {peer} cannot be read: {e}"),
                },
                Err(e) => {
                    log::warn!("mesh: cannot receive: {e}");
                    tokio::time::sleep(RECEIVE_PAUSE).await;
                }
            }
        }
    }

    /// Takes what the peer at `from` tells.
    pub(crate) fn take(&self, pulse: &mesh::Pulse, from: net::SocketAddr, now: moment::Moment) {
        let node: id::Node = pulse.node.as_str().into();
        if !self.tables.activity.lock().hear(&node, pulse, now) {
            return;
        }
        self.take_revision(&node, pulse, from, now);
        self.tables.retries.lock().hear(&node, &pulse.usage, now);
        for stall in &pulse.stalls {
            self.take_stall(stall, now);
        }
    }

    /// Notes which facts a peer knows.
    fn take_revision(
        &self,
        node: &id::Node,
        pulse: &mesh::Pulse,
        from: net::SocketAddr,
        now: moment::Moment,
    ) {
        let port = u16::try_from(pulse.port).unwrap_or(0);
        let age = time::Duration::from_millis(u64::from(pulse.age));
        let confirmed = (pulse.age != u32::MAX).then(|| now.before(age));
        let own_zone = &self.identity.zone;
        let zone = self.tables.current.load().nodes.get(node).map(|node| node.zone.clone());
        let own = {
            let mut catalog = self.tables.catalog.lock();
            if let Some(confirmed) = confirmed.filter(|_| pulse.revision == catalog.at()) {
                catalog.confirm(confirmed);
            }
            catalog.at()
        };
        self.tables.peers.lock().hear(
            node.clone(),
            peers::Peer {
                link: net::SocketAddr::new(from.ip(), port),
                is_near: zone.as_ref() == Some(own_zone),
                revision: pulse.revision,
                confirmed,
                draining: pulse.draining,
                at: now,
            },
        );
        if pulse.revision > own {
            self.behind.notify_one();
        }
    }

    /// Waits until a peer tells of later facts than this node knows.
    pub(crate) async fn behind(&self) {
        self.behind.notified().await;
    }

    /// Takes a stall that a peer has found, unless own streams show that the upstream works.
    fn take_stall(&self, stall: &mesh::Stall, now: moment::Moment) {
        let at = now.before(time::Duration::from_millis(u64::from(stall.age)));
        let activity = self.tables.activity.lock();
        let id: id::Vm = stall.upstream.as_str().into();
        let works = activity.waiting().any(|own| own.upstream == id && own.progress >= at);
        if works {
            return;
        }
        let found = stalls::Stall { born: stall.born, at, is_own: false };
        if self.tables.stalls.lock().note(&id, found) {
            log::info!(upstream = id.as_str(); "stall: a peer has found that it stands still");
            activity.interrupt(id.as_str());
        }
    }
}

/// Pause after a failed receive.
const RECEIVE_PAUSE: time::Duration = time::Duration::from_millis(10);
