//! Guards against calls without the secret, responses that are out of bounds, peers that never
//! answer, and connections that are kept after they broke or became too old.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use corneltrestle_kernel::lifecycle::Stage;
use corneltrestle_node::link::{Error, Handler, Limits, Link, TonicLink, serve};
use corneltrestle_rpc as rpc;
use corneltrestle_time::clock::Manual;
use corneltrestle_wire::link::{
    Ack, CountsReply, CountsRequest, Digest, Document, FetchRequest, Loan, NodeStatus, PullRequest,
    SlotRequest, StatusReply, StatusRequest, Update, UpdateKind, Value,
};
use test_case::test_case;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

const SECRET: &[u8] = b"sixteen bytes or more";

/// Answers with fixed values and counts the pulls; `body` is the size of a fetched document.
#[derive(Default)]
struct Peer {
    calls: AtomicUsize,
    body: usize,
}

impl Handler for Peer {
    async fn pull(&self, request: &PullRequest) -> Digest {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let (rosters, reports) = (Vec::new(), Vec::new());
        let node = request.node.clone();
        Digest { node, revision: 7, watch_age: Duration::ZERO, rosters, reports }
    }

    async fn push(&self, update: &Update) -> Ack {
        Ack { is_fresh: update.kind == UpdateKind::Revision { revision: 8 } }
    }

    async fn fetch(&self, request: &FetchRequest) -> Value {
        Value { revision: request.known + 1, body: Some(vec![b'x'; self.body].into()) }
    }

    async fn counts(&self, _: CountsRequest) -> CountsReply {
        CountsReply { node: "n1".into(), rows: Vec::new() }
    }

    async fn acquire(&self, request: &SlotRequest) -> Loan {
        (request.epoch == 4).then_some(request.start)
    }

    async fn release(&self, loan: u64) {
        self.calls.store(usize::try_from(loan).unwrap(), Ordering::SeqCst);
    }

    async fn status(&self, request: StatusRequest) -> StatusReply {
        let node = NodeStatus {
            node: "n1".into(),
            zone: "a".into(),
            is_reached: request.is_zone,
            stage: Stage::Draining,
            revision: 7,
            watch_age: Duration::from_millis(3),
            replicas: 2,
            serving: 1,
        };
        StatusReply { nodes: vec![node] }
    }
}

struct Running {
    address: SocketAddr,
    peer: Arc<Peer>,
    stop: CancellationToken,
    server: AbortOnDropHandle<Result<(), Error>>,
}

async fn start(body: usize, address: &str) -> Running {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = Arc::new(Peer { body, ..Peer::default() });
    let stop = CancellationToken::new();
    let server = tokio::spawn(serve(listener, Arc::clone(&peer), SECRET, stop.clone()));
    Running { address, peer, stop, server: AbortOnDropHandle::new(server) }
}

fn open(secret: &[u8], call: Duration) -> (TonicLink<Manual>, Arc<Manual>) {
    let clock = Arc::new(Manual::default());
    let limits = Limits { call, ..Limits::default() };
    (TonicLink::new(Arc::clone(&clock), secret, limits).unwrap(), clock)
}

fn pull(node: &str) -> PullRequest {
    PullRequest { node: node.into(), rosters: Vec::new(), reports: Vec::new() }
}

const LONG: Duration = Duration::from_secs(30);

#[tokio::test]
async fn every_call_reaches_the_handler_and_returns_its_answer() {
    let running = start(3, "127.0.0.1:0").await;
    let (link, _) = open(SECRET, LONG);
    let peer = running.address;
    assert_eq!(link.pull(peer, &pull("n2")).await.unwrap().node, "n2".into());
    let update = Update { node: "n2".into(), kind: UpdateKind::Revision { revision: 8 } };
    assert_eq!(link.push(peer, &update).await, Ok(Ack { is_fresh: true }));
    let request = FetchRequest { document: Document::Release, known: 4 };
    let value = link.fetch(peer, &request).await.unwrap();
    assert_eq!((value.revision, &value.body.unwrap()[..]), (5, &b"xxx"[..]));
    assert!(link.counts(peer, CountsRequest { since: 1 }).await.unwrap().rows.is_empty());
    let status = link.status(peer, StatusRequest { is_zone: true }).await.unwrap();
    assert_eq!((status.nodes[0].stage, status.nodes[0].is_reached), (Stage::Draining, true));
    let replica = corneltrestle_policy::id::Replica { set: "s".into(), index: 2 };
    let (node, left) = ("n2".into(), Duration::from_millis(7));
    let slot = SlotRequest { node, replica, epoch: 4, start: 9, left };
    assert_eq!(link.acquire(peer, &slot).await, Ok(Some(9)));
    assert_eq!(link.acquire(peer, &SlotRequest { epoch: 3, ..slot }).await, Ok(None));
    link.release(peer, 9).await.unwrap();
    assert_eq!(running.peer.calls.load(Ordering::SeqCst), 9);
}

#[test_case(b"sixteen bytes or more!"; "longer")]
#[test_case(b"sixteen bytes or mora"; "another last byte")]
#[test_case(b"................"; "unrelated")]
#[tokio::test]
async fn wrong_secret_is_refused_before_the_handler_runs(secret: &[u8]) {
    let running = start(0, "127.0.0.1:0").await;
    let (link, _) = open(secret, LONG);
    let error = link.pull(running.address, &pull("n2")).await.unwrap_err();
    assert_eq!(error, Error::Call(rpc::Error::Refused { step: "pull", peer: running.address }));
    assert_eq!(running.peer.calls.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn missing_and_short_secrets_are_refused() {
    let running = start(0, "127.0.0.1:0").await;
    let target = format!("http://{}", running.address);
    use corneltrestle_wire::link::generated;
    let mut bare = generated::link_client::LinkClient::connect(target).await.unwrap();
    let status = bare.pull(generated::PullRequest::default()).await.unwrap_err();
    assert_eq!(status.code(), tonic::Code::Unauthenticated);
    let short = TonicLink::new(Arc::new(Manual::default()), b"short", Limits::default());
    assert_eq!(short.err(), Some(Error::Secret { min: 16 }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let served = serve(listener, Arc::clone(&running.peer), b"", CancellationToken::new()).await;
    assert_eq!(served, Err(Error::Secret { min: 16 }));
}

#[test]
fn secret_is_not_printed() {
    let (link, _) = open(SECRET, LONG);
    let text = format!("{link:?}");
    assert!(text.contains("Outgoing(..)") && !text.contains("sixteen"), "{text}");
}

#[tokio::test]
async fn error_names_the_field_that_is_out_of_bounds() {
    let running = start(0, "127.0.0.1:0").await;
    let (link, _) = open(SECRET, LONG);
    let error = link.pull(running.address, &pull(&"n".repeat(300))).await.unwrap_err();
    assert!(
        matches!(&error, Error::Call(rpc::Error::Failed { cause, .. }) if cause.starts_with("pull.node: "))
    );
    assert_eq!(running.peer.calls.load(Ordering::SeqCst), 0);
}

#[test_case(1_000_001, "fetch at node"; "document above its limit")]
#[test_case(3_000_000, "fetch at node"; "message above its limit")]
#[tokio::test]
async fn oversized_answer_is_an_error(body: usize, expected: &str) {
    let running = start(body, "127.0.0.1:0").await;
    let (link, _) = open(SECRET, LONG);
    let request = FetchRequest { document: Document::Assignment("a".into()), known: 0 };
    let error = link.fetch(running.address, &request).await.unwrap_err();
    assert!(
        matches!(error, Error::Malformed { .. } | Error::Call(rpc::Error::Failed { .. })),
        "{error}"
    );
    assert!(error.to_string().starts_with(expected), "{error}");
}

#[tokio::test]
async fn silent_peer_times_out_and_its_connection_is_replaced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let (link, _) = open(SECRET, Duration::from_millis(200));
    let mut kept = Vec::new();
    for _ in 0..2 {
        let request = pull("n2");
        let accepted = tokio::time::timeout(LONG, listener.accept());
        let (error, accepted) = tokio::join!(link.pull(peer, &request), accepted);
        assert_eq!(error, Err(Error::Call(rpc::Error::Timeout { step: "pull", peer })));
        kept.push(accepted.expect("a new connection"));
    }
}

#[tokio::test]
async fn closed_port_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    drop(listener);
    let (link, _) = open(SECRET, LONG);
    let error = link.pull(peer, &pull("n2")).await.unwrap_err();
    assert!(matches!(error, Error::Call(rpc::Error::Unreachable { step: "pull", .. })), "{error}");
}

#[tokio::test]
async fn call_uses_a_new_connection_after_a_restart_of_the_peer() {
    let running = start(0, "127.0.0.1:0").await;
    let (link, _) = open(SECRET, LONG);
    link.pull(running.address, &pull("n2")).await.unwrap();
    running.stop.cancel();
    assert_eq!(running.server.await.unwrap(), Ok(()));
    let restarted = start(0, &running.address.to_string()).await;
    link.pull(restarted.address, &pull("n2")).await.unwrap();
    assert_eq!(restarted.peer.calls.load(Ordering::SeqCst), 1);
}

/// Forwards connections and counts them. Each notification of `silence` stops one connection from
/// forwarding, without closing it.
struct Relay {
    address: SocketAddr,
    count: Arc<AtomicUsize>,
    silence: Arc<Notify>,
}

async fn relay(target: SocketAddr) -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (count, silence) = (Arc::new(AtomicUsize::new(0)), Arc::new(Notify::new()));
    let running = Relay { address, count: Arc::clone(&count), silence: Arc::clone(&silence) };
    tokio::spawn(async move {
        while let Ok((mut inbound, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            let silence = Arc::clone(&silence);
            tokio::spawn(async move {
                let mut outbound = TcpStream::connect(target).await?;
                tokio::select! {
                    result = tokio::io::copy_bidirectional(&mut inbound, &mut outbound) => result,
                    () = silence.notified() => std::future::pending().await,
                }
            });
        }
    });
    running
}

#[tokio::test]
async fn call_uses_a_new_connection_when_the_open_one_is_silent() {
    let running = start(0, "127.0.0.1:0").await;
    let relay = relay(running.address).await;
    let (link, _) = open(SECRET, Duration::from_secs(2));
    link.pull(relay.address, &pull("n2")).await.unwrap();
    relay.silence.notify_one();
    tokio::task::yield_now().await;
    link.pull(relay.address, &pull("n3")).await.unwrap();
    assert_eq!(relay.count.load(Ordering::SeqCst), 2);
}

#[test_case(500, 1; "young channel is kept")]
#[test_case(601, 2; "old channel is replaced")]
#[tokio::test]
async fn channel_is_used_until_its_maximum_age(seconds: u64, connections: usize) {
    let running = start(0, "127.0.0.1:0").await;
    let relay = relay(running.address).await;
    let (link, clock) = open(SECRET, LONG);
    link.pull(relay.address, &pull("n2")).await.unwrap();
    clock.advance(Duration::from_secs(seconds));
    link.pull(relay.address, &pull("n2")).await.unwrap();
    assert_eq!(relay.count.load(Ordering::SeqCst), connections);
}
