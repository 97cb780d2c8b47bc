//! gRPC calls by which nodes fetch facts from each other.

use std::{
    io, net,
    sync::{self, atomic},
    time,
};

use corneltrestle_kernel::{clock, host};
use corneltrestle_policy::{id, revision};
use corneltrestle_rpc::{self as rpc, incoming};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh::generated;
use tonic::{async_trait, transport};

use crate::{
    identity,
    source::Changes,
    tables::{activity::saturating_millis, catalog},
};

/// Size limit of a reply, for a configuration of about 1 MB and some thousand registrations.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Timeout of a call. Nodes are a few milliseconds apart, but all facts of a large deployment take a
/// slow link some hundred.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Timeout of connecting.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Rate at which a small node sends facts: less than half of the capacity of a slow link. Peers that
/// ask for more are refused, and retry at a peer that has the facts by then.
const SMALL_BYTES_PER_S: f64 = 1_000_000.0;

/// Rate at which a large node sends facts, see [`catalog::Snapshot::is_large`].
const LARGE_BYTES_PER_S: f64 = 8_000_000.0;

/// Time by which replies may be ahead of the rate.
const MAX_BURST: time::Duration = time::Duration::from_millis(100);

/// Concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: u32 = 32;

/// Client for the facts of other nodes.
#[derive(Debug)]
pub struct Facts {
    calls: rpc::Client<clock::System>,
}

impl Facts {
    /// Creates the client; a connection is opened by the first call to a peer.
    pub fn new(host: &host::Host) -> Self {
        let limits =
            rpc::Limits { connect: CONNECT_TIMEOUT, call: CALL_TIMEOUT, ..rpc::Limits::default() };
        Self { calls: rpc::Client::new(sync::Arc::new(host.clock), limits) }
    }

    /// Fetches what a peer has beyond revision `after`. The age of its confirmation is counted from
    /// `now`, the time before the call.
    ///
    /// # Errors
    ///
    /// When the peer does not answer, refuses the call, or its reply cannot be decoded.
    pub async fn fetch(
        &self,
        peer: net::SocketAddr,
        after: revision::Revision,
        now: moment::Moment,
    ) -> rpc::Result<catalog::Update> {
        let run = |channel: transport::Channel| async move {
            let mut client = generated::mesh_client::MeshClient::new(channel)
                .max_decoding_message_size(MAX_REPLY_BYTES);
            client.facts(generated::FactsRequest { after: after.number, era: after.era }).await
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
        let revision = revision::Revision { era: reply.era, number: reply.at };
        let age = time::Duration::from_millis(u64::from(reply.age));
        Ok(catalog::Update {
            changes: Changes { revision, changes },
            complete: reply.complete,
            confirmed: (reply.age != u32::MAX).then(|| now.before(age)),
        })
    }
}

/// Serves the calls of other nodes until `stop` is cancelled.
///
/// # Errors
///
/// When the server fails.
pub async fn serve(
    listener: net::TcpListener,
    host: sync::Arc<host::Host>,
    stop: tokio_util::sync::CancellationToken,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let service = generated::mesh_server::MeshServer::new(Service {
        own: host.port::<identity::Identity>().ok().map(|identity| identity.node.clone()),
        host,
        busy_until: atomic::AtomicU64::new(0),
    })
    .max_encoding_message_size(MAX_REPLY_BYTES);
    transport::Server::builder()
        .max_concurrent_streams(MAX_CALLS_PER_CONNECTION)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming::connections(listener), stop.cancelled_owned())
        .await
        .map_err(io::Error::other)
}

struct Service {
    host: sync::Arc<host::Host>,
    /// Name of this node.
    own: Option<id::Node>,
    /// When all replies so far will have been sent at the rate of the node, in microseconds.
    busy_until: atomic::AtomicU64,
}

impl Service {
    /// Whether another reply may be sent now.
    fn is_within_rate(&self, now: moment::Moment) -> bool {
        self.busy_until.load(atomic::Ordering::Relaxed) <= (now + MAX_BURST).as_micros()
    }

    /// Bytes per second that this node sends.
    fn rate(&self) -> f64 {
        let current = self.host.table::<catalog::Catalog>().lock().current();
        let snapshot = current.load();
        let is_large = self.own.as_ref().is_some_and(|own| snapshot.is_large(own.as_str(), None));
        if is_large { LARGE_BYTES_PER_S } else { SMALL_BYTES_PER_S }
    }

    /// Adds a reply of this size to the time until which the node is busy.
    fn record_sent(&self, bytes: usize, now: moment::Moment) {
        let span = (bytes as f64 / self.rate() * 1e6) as u64;
        let next = |until: u64| Some(until.max(now.as_micros()) + span);
        let _ = self.busy_until.fetch_update(
            atomic::Ordering::Relaxed,
            atomic::Ordering::Relaxed,
            next,
        );
    }
}

#[async_trait]
impl generated::mesh_server::Mesh for Service {
    async fn facts(
        &self,
        request: tonic::Request<generated::FactsRequest>,
    ) -> Result<tonic::Response<generated::FactsReply>, tonic::Status> {
        if !self.is_within_rate(self.host.now()) {
            return Err(tonic::Status::resource_exhausted(
                "the node sends facts to other nodes at its full rate",
            ));
        }
        let catalog = self.host.table::<catalog::Catalog>();
        let request = request.into_inner();
        let after = revision::Revision { era: request.era, number: request.after };
        let update = catalog.lock().update_since(after);
        let now = self.host.now();
        let changes = if update.changes.changes.is_empty() {
            Vec::new()
        } else {
            postcard::to_allocvec(&update.changes.changes)
                .map_err(|e| tonic::Status::internal(e.to_string()))?
        };
        self.record_sent(changes.len(), now);
        Ok(tonic::Response::new(generated::FactsReply {
            at: update.changes.revision.number,
            era: update.changes.revision.era,
            age: update
                .confirmed
                .map_or(u32::MAX, |confirmed| saturating_millis(now.since(confirmed))),
            complete: update.complete,
            changes: changes.into(),
        }))
    }
}
