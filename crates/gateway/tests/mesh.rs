//! Datagrams between nodes, as sockets receive them.

use std::{net, sync, time::Duration};

use corneltrestle_gateway::{
    mesh::Mesh,
    source::{Change, Changes, Fact, Node, Subject},
    tables,
};
use corneltrestle_kernel::{host, pool, settings};
use corneltrestle_policy::{quarantine::Part, retry::fleet, revision};
use corneltrestle_wire::mesh;
use test_case::test_case;
use tokio::net::UdpSocket;

/// Time without a datagram after which no further one is expected.
const SILENCE: Duration = Duration::from_millis(300);

/// A revision of a store that does not name its eras.
fn rev(number: u64) -> revision::Revision {
    revision::Revision { era: 0, number }
}

/// A free UDP and TCP address of the loopback interface.
fn free_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

fn registered(name: &str, zone: &str, address: net::SocketAddr) -> Change {
    let node = Node { zone: zone.into(), address, boot: 9, memory: 512 };
    Change { revision: 1, subject: Subject::Node(name.into()), fact: Some(Fact::Node(node)) }
}

/// Opens the mesh of the node `own` in `zone-1`, which knows two other nodes of its zone.
async fn open() -> (net::SocketAddr, [UdpSocket; 2], sync::Arc<host::Host>, host::Opened) {
    open_as("no").await
}

/// Like [`open`], started with the whole deployment if `bootstrap` is `yes`.
async fn open_as(
    bootstrap: &str,
) -> (net::SocketAddr, [UdpSocket; 2], sync::Arc<host::Host>, host::Opened) {
    let (address, link) = (free_address(), free_address());
    let text = format!(
        "[node]\nid = own\nzone = zone-1\nregions = none\nmesh = {address}\nlink = {link}\n\
         bootstrap = {bootstrap}\n"
    );
    let settings = settings::Settings::parse("node.ini", &text, &settings::sections()).unwrap();
    let pool = pool::Pool::attach(tokio::runtime::Handle::current());
    let host = host::Host::open(settings, pool);
    let bind = || async { UdpSocket::bind("127.0.0.1:0").await.expect("a socket") };
    let near = [bind().await, bind().await];
    let changes = vec![
        registered("own", "zone-1", address),
        registered("near-1", "zone-1", near[0].local_addr().unwrap()),
        registered("near-2", "zone-1", near[1].local_addr().unwrap()),
    ];
    let tables = tables::Tables::of(&host);
    tables.catalog.lock().replace(Changes { revision: rev(1), changes }, host.now());
    let opened = host.open_plugins().expect("the plug-ins open");
    (address, near, host, opened)
}

fn urgent(relayed: bool) -> mesh::Datagram {
    let origin = mesh::Origin {
        node: "far".to_owned(),
        zone: "zone-2".to_owned(),
        boot: 7,
        sequence: 1,
        link: "127.0.0.1:1".to_owned(),
        draining: false,
    };
    let stalls = vec![mesh::Stall { upstream: "vm-1".to_owned(), ..mesh::Stall::default() }];
    mesh::Datagram {
        origin: Some(origin),
        stalls,
        forward: true,
        relayed,
        ..mesh::Datagram::default()
    }
}

/// Datagrams of the origin `far` that arrive at a socket until it is silent.
async fn forwarded(socket: &UdpSocket) -> Vec<mesh::Datagram> {
    let (mut buffer, mut found) = ([0; 2 * mesh::MAX_BYTES], Vec::new());
    let limit = tokio::time::Instant::now() + SILENCE;
    while let Ok(Ok(length)) = tokio::time::timeout_at(limit, socket.recv(&mut buffer)).await {
        let datagram = mesh::decode(&buffer[..length]).expect("a datagram");
        if datagram.origin.as_ref().is_some_and(|origin| origin.node == "far") {
            found.push(datagram);
        }
    }
    found
}

/// Guards against a zone in which each node passes an urgent datagram on to all others, so that
/// their number grows with the square of the number of nodes and fills their links.
#[test_case(false, 1; "from another zone")]
#[test_case(true, 0; "from a node of the zone that has passed it on")]
#[tokio::test]
async fn datagram_is_passed_on_within_a_zone_once(relayed: bool, expected: usize) {
    let (address, near, _host, opened) = open().await;
    let datagram = mesh::encode(urgent(relayed));
    for _ in 0..2 {
        near[0].send_to(&datagram, address).await.expect("a datagram is sent");
    }
    for socket in &near {
        let got = forwarded(socket).await;
        assert_eq!(got.len(), expected, "{got:?}");
        assert!(got.iter().all(|datagram| datagram.relayed));
    }
    opened.shutdown().await;
}

/// The changes of facts that arrive at a socket until it is silent: each with the revision after which
/// they follow and the one to which they lead.
async fn deltas(socket: &UdpSocket) -> Vec<(u64, u64, Vec<Change>)> {
    let (mut buffer, mut found) = ([0; 2 * mesh::MAX_BYTES], Vec::new());
    let limit = tokio::time::Instant::now() + SILENCE;
    while let Ok(Ok(length)) = tokio::time::timeout_at(limit, socket.recv(&mut buffer)).await {
        let datagram = mesh::decode(&buffer[..length]).expect("a datagram");
        if let Some(delta) = datagram.delta {
            let changes = postcard::from_bytes(&delta.changes).expect("changes");
            found.push((delta.after, datagram.revision, changes));
        }
    }
    found
}

fn evacuated(revision: u64, zone: &str) -> Change {
    let subject = Subject::Evacuation(zone.into());
    Change { revision, subject, fact: Some(Fact::Evacuated) }
}

/// Guards against a node that never learns of a change: the sender had received it after the changes
/// that it sent, and claimed that they lead to the revision of that change.
#[tokio::test]
async fn changes_are_sent_with_their_own_revision() {
    let (_, near, host, opened) = open().await;
    let sent = Changes { revision: rev(5), changes: vec![evacuated(4, "zone-4")] };
    let catalog = host.table::<tables::catalog::Catalog>();
    catalog.lock().apply(sent.clone(), host.now());
    let later = Changes { revision: rev(6), changes: vec![evacuated(6, "zone-6")] };
    catalog.lock().apply(later, host.now());
    let mesh = host.port::<Mesh>().expect("the mesh");
    mesh.broadcast_changes(rev(1), &sent, host.now());
    assert_eq!(deltas(&near[0]).await, [(1, 5, sent.changes)]);
    opened.shutdown().await;
}

/// Guards against changes of one transaction that arrive in part, as the first datagram with some of
/// them already leads to their revision.
#[tokio::test]
async fn changes_of_one_revision_are_sent_together() {
    let (_, near, host, opened) = open().await;
    let zone = |number: usize| format!("zone-{number:02}-with-a-long-name-that-fills-a-datagram");
    let change = |number: usize| evacuated(2 + number as u64 / 10, &zone(number));
    let sent = Changes { revision: rev(5), changes: (0..35).map(change).collect() };
    host.port::<Mesh>().expect("the mesh").broadcast_changes(rev(1), &sent, host.now());
    let found = deltas(&near[0]).await;
    assert!(found.len() > 1, "{found:?}");
    for (after, revision, changes) in &found {
        let expected = sent
            .changes
            .iter()
            .filter(|change| change.revision > *after && change.revision <= *revision);
        assert!(expected.eq(changes), "{after} to {revision}: {changes:?}");
    }
    opened.shutdown().await;
}

/// Guards against nodes that take more than their part of the slack of the retry budget, or none.
#[test_case("yes", 10.0; "start of the deployment")]
#[test_case("no", 0.0; "start of one node")]
#[tokio::test]
async fn slack_of_retries_is_divided_by_the_known_nodes(bootstrap: &str, expected: f64) {
    let (_, _near, host, opened) = open_as(bootstrap).await;
    let limits = fleet::Limits { ratio: 0.0, slack: 30.0, window: Duration::from_secs(10) };
    let table = host.table::<tables::retries::Retries>();
    table.lock().count(&"models".into(), &limits, host.now());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let shares = table.lock().shares(&limits, host.now());
    assert_eq!(shares, [("models".into(), expected)]);
    opened.shutdown().await;
}

/// Guards against nodes that each learn of a faulty part only by crashes of their own.
#[tokio::test]
async fn evidence_of_crashes_goes_from_node_to_node() {
    let (address, near, host, opened) = open().await;
    let part = Part::of("faulty");
    let crash = |number| mesh::Crash {
        upstream: number,
        request: number,
        parts: vec![part.0],
        age: 5,
        sent: 9,
    };
    let crashes = (0..4).map(crash).collect();
    let datagram = mesh::Datagram { crashes, ..urgent(false) };
    near[0].send_to(&mesh::encode(datagram), address).await.expect("a datagram is sent");
    tokio::time::sleep(SILENCE).await;
    let table = host.table::<tables::quarantine::Quarantine>();
    assert!(table.lock().parts().check(&[part], host.now()).is_some());
    let mut buffer = [0; 2 * mesh::MAX_BYTES];
    let told = async {
        loop {
            let length = near[1].recv(&mut buffer).await.expect("a datagram");
            let datagram = mesh::decode(&buffer[..length]).expect("a datagram");
            if datagram.quarantined.iter().any(|known| known.part == part.0) {
                return;
            }
        }
    };
    tokio::time::timeout(SILENCE, told).await.expect("heartbeats name quarantined parts");
    let sound = vec![mesh::Part { part: part.0, age: 0 }];
    let mut cleared = mesh::Datagram { sound, ..urgent(false) };
    cleared.origin.as_mut().expect("an origin").sequence = 2;
    near[0].send_to(&mesh::encode(cleared), address).await.expect("a datagram is sent");
    tokio::time::sleep(SILENCE).await;
    assert_eq!(table.lock().parts().check(&[part], host.now()), None);
    opened.shutdown().await;
}
