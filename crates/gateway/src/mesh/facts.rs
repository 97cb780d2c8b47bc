//! Facts that nodes hand on to each other.

use std::{
    io, net,
    sync::{self, atomic},
    time,
};

use corneltrestle_kernel::{clock, host};
use corneltrestle_rpc::{self as rpc, incoming};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh::generated;
use tonic::{async_trait, transport};

use crate::{
    source::Changes,
    tables::{activity::millis, catalog},
};

/// Largest answer: a configuration of about 1 MB and some thousand registrations.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Longest time of a call. Nodes are a few milliseconds apart.
const CALL: time::Duration = time::Duration::from_millis(600);

/// Longest time to connect.
const CONNECT: time::Duration = time::Duration::from_millis(300);

/// Bytes a second that a node hands on: less than half of a slow link. Peers that ask for more are
/// turned away, and ask one of those that have the facts by then.
const RATE: f64 = 1_000_000.0;

/// Time for which answers may be ahead of the rate.
const BURST: time::Duration = time::Duration::from_millis(100);

/// Calls in progress on one connection.
const MAX_CALLS: u32 = 32;

/// Calls for the facts of other nodes.
#[derive(Debug)]
pub struct Facts {
    calls: rpc::Client<clock::System>,
}

impl Facts {
    /// Opens the calls; connections are opened by the first call to a peer.
    pub fn open(host: &host::Host) -> Self {
        let limits = rpc::Limits { connect: CONNECT, call: CALL, ..rpc::Limits::default() };
        Self { calls: rpc::Client::open(sync::Arc::new(host.clock), limits) }
    }

    /// What the peer knows beyond revision `after`; ages count from `now`, before the call.
    ///
    /// # Errors
    ///
    /// When the peer does not answer, or with something that cannot be read.
    pub async fn fetch(
        &self,
        peer: net::SocketAddr,
        after: u64,
        now: moment::Moment,
    ) -> rpc::Result<catalog::Excerpt> {
        let run = |channel: transport::Channel| async move {
            let mut client = generated::mesh_client::MeshClient::new(channel)
                .max_decoding_message_size(MAX_BYTES);
            client.facts(generated::FactsRequest { after }).await
        };
        let reply = self.calls.call("facts", peer, run).await?;
        let changes = if reply.changes.is_empty() {
            Vec::new()
        } else {
            postcard::from_bytes(&reply.changes).map_err(|e| rpc::Error::Failed {
                step: "facts",
                peer,
                cause: e.to_string(),
            })?
        };
        let age = time::Duration::from_millis(u64::from(reply.age));
        Ok(catalog::Excerpt {
            changes: Changes { revision: reply.at, changes },
            complete: reply.complete,
            confirmed: (reply.age != u32::MAX).then(|| now.before(age)),
        })
    }
}

/// Answers the calls of other nodes until `stop` is cancelled.
///
/// # Errors
///
/// When the server ends without being stopped.
pub async fn serve(
    listener: net::TcpListener,
    host: sync::Arc<host::Host>,
    stop: tokio_util::sync::CancellationToken,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let service =
        generated::mesh_server::MeshServer::new(Service { host, sent: atomic::AtomicU64::new(0) })
            .max_encoding_message_size(MAX_BYTES);
    transport::Server::builder()
        .max_concurrent_streams(MAX_CALLS)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming::connections(listener), stop.cancelled_owned())
        .await
        .map_err(io::Error::other)
}

struct Service {
    host: sync::Arc<host::Host>,
    /// When the answers so far will have been sent at the rate, in microseconds.
    sent: atomic::AtomicU64,
}

impl Service {
    /// Whether another answer may be given now.
    fn has_room(&self, now: moment::Moment) -> bool {
        self.sent.load(atomic::Ordering::Relaxed) <= (now + BURST).as_micros()
    }

    fn count(&self, bytes: usize, now: moment::Moment) {
        let span = (bytes as f64 / RATE * 1e6) as u64;
        let next = |sent: u64| Some(sent.max(now.as_micros()) + span);
        let _ = self.sent.fetch_update(atomic::Ordering::Relaxed, atomic::Ordering::Relaxed, next);
    }
}

#[async_trait]
impl generated::mesh_server::Mesh for Service {
    async fn facts(
        &self,
        request: tonic::Request<generated::FactsRequest>,
    ) -> Result<tonic::Response<generated::FactsReply>, tonic::Status> {
        if !self.has_room(self.host.now()) {
            return Err(tonic::Status::resource_exhausted("other nodes are given facts"));
        }
        let catalog = self.host.table::<catalog::Catalog>();
        let excerpt = catalog.lock().excerpt(request.into_inner().after);
        let now = self.host.now();
        let changes = if excerpt.changes.changes.is_empty() {
            Vec::new()
        } else {
            postcard::to_allocvec(&excerpt.changes.changes)
                .map_err(|e| tonic::Status::internal(e.to_string()))?
        };
        self.count(changes.len(), now);
        Ok(tonic::Response::new(generated::FactsReply {
            at: excerpt.changes.revision,
            age: excerpt.confirmed.map_or(u32::MAX, |confirmed| millis(now.since(confirmed))),
            complete: excerpt.complete,
            changes: changes.into(),
        }))
    }
}
