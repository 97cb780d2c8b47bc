//! Facts that nodes fetch from each other. Guards against a node that all others ask for facts at
//! once, and that answers none of them in time.

use std::{collections, net, sync, time::Duration};

use corneltrestle_gateway::{
    mesh::{self, Facts},
    source::{Change, Changes, Fact, Subject},
    tables,
};
use corneltrestle_kernel::{host, pool, settings};
use corneltrestle_policy::{revision, upstream};
use futures_util::future::join_all;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio_util::sync::CancellationToken;

/// Number of upstreams of a large deployment.
const UPSTREAMS: u64 = 900;

/// A revision of a store that does not name its eras.
fn rev(number: u64) -> revision::Revision {
    revision::Revision { era: 0, number }
}

fn host() -> sync::Arc<host::Host> {
    let settings = settings::Settings::parse("test", "", &[]).expect("no settings");
    host::Host::open(settings, pool::Pool::attach(tokio::runtime::Handle::current()))
}

fn registered(number: u64) -> Change {
    let id = format!("vm-{number}-of-a-large-deployment");
    let upstream = upstream::Upstream {
        id: id.as_str().into(),
        service: "models-of-a-large-deployment".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "zone-1".into(),
        version: "version-1".to_owned(),
        slots: 30,
        state: upstream::State::Ready,
        cold_left: Duration::ZERO,
        incarnation: 1_700_000_000_000 + number,
        engine: Some(upstream::Engine {
            fabric: Some("a-fabric-domain".into()),
            staged: vec!["model-1".into()],
            ..upstream::Engine::default()
        }),
    };
    let fact = Fact::Upstream(sync::Arc::new(upstream));
    Change { revision: number, subject: Subject::Upstream(id.as_str().into()), fact: Some(fact) }
}

/// Serves a node that knows all upstreams; returns its address.
fn serve(stop: &CancellationToken) -> net::SocketAddr {
    let host = host();
    let changes = (1..=UPSTREAMS).map(registered).collect();
    let tables = tables::Tables::of(&host);
    tables.catalog.lock().replace(Changes { revision: rev(UPSTREAMS), changes }, host.now());
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.set_nonblocking(true).expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(mesh::serve(listener, host, stop.clone()));
    address
}

#[tokio::test]
async fn concurrent_fetches_beyond_the_rate_are_refused_and_answered_later() {
    let stop = CancellationToken::new();
    let address = serve(&stop);
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..24 {
        waiting.spawn(async move {
            let (host, mut refused) = (host(), 0);
            let facts = Facts::new(&host);
            loop {
                match facts.fetch(address, rev(0), host.now()).await {
                    Ok(update) => return (update.changes.changes.len(), refused),
                    Err(e) => {
                        assert!(
                            e.to_string()
                                .contains("the node sends facts to other nodes at its full rate"),
                            "{e}"
                        );
                        refused += 1;
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
            }
        });
    }
    let answered = tokio::time::timeout(Duration::from_secs(20), waiting.join_all());
    let answered = answered.await.expect("all fetches are answered within the time");
    assert!(answered.iter().all(|(number, _)| *number as u64 == UPSTREAMS));
    assert!(answered.iter().any(|(_, refused)| *refused > 0), "no fetch was refused");
    stop.cancel();
}

#[tokio::test]
async fn empty_updates_are_not_limited_by_the_rate() {
    let stop = CancellationToken::new();
    let address = serve(&stop);
    let host = host();
    let facts = Facts::new(&host);
    let mut seen = collections::BTreeSet::new();
    for _ in 0..24 {
        let update = facts.fetch(address, rev(UPSTREAMS), host.now()).await.expect("an answer");
        seen.insert(update.changes.revision.number);
    }
    assert_eq!(seen, [UPSTREAMS].into());
    stop.cancel();
}

/// Resident memory of this process in KB.
fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Guards against a node that keeps all bytes of a faulty peer, or waits for it without end.
#[test_case(b"", b"x"; "no protocol")]
#[test_case(b"\0\0\0\x04\0\0\0\0\0", b"\0\0\0\x04\0\0\0\0\0"; "settings")]
#[test_case(b"\0\0\0\x04\0\0\0\0\0", b"\0\0\x08\x06\0\0\0\0\0pingpong"; "pings")]
#[test_case(b"\0\0\0\x04\0\0\0\0\0", b"\0\0\x04\x01\0\0\0\0\x01\x40\x01a\0"; "headers")]
#[test_case(b"\0\0\0\x04\0\0\0\0\0\0\0\x01\x01\x04\0\0\0\x01\x88", b"\0\0\x05\0\0\0\0\0\x01\0\xff\xff\xff\xff"; "message")]
#[tokio::test]
async fn endless_peer_is_given_up(start: &'static [u8], repeat: &'static [u8]) {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        let block = repeat.repeat(16 * 1024 / repeat.len());
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((mut socket, _)) = listener.accept().await {
            let block = block.clone();
            connections.spawn(async move {
                let _ = socket.write_all(start).await;
                while socket.write_all(&block).await.is_ok() {}
            });
        }
    });
    let (host, before) = (host(), memory_kb());
    let facts = Facts::new(&host);
    let fetches = (0..8).map(|_| facts.fetch(address, rev(0), host.now()));
    let ended = tokio::time::timeout(Duration::from_secs(10), join_all(fetches)).await;
    assert!(ended.expect("the calls end").iter().all(Result::is_err));
    let growth = memory_kb().saturating_sub(before);
    assert!(growth < 32 * 1024, "{growth} KB more than before");
    server.abort();
}
