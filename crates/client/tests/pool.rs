//! The connection pool: which connections are kept, and which are used again.

#[path = "support/scripted.rs"]
mod scripted;

use std::{net, sync::Arc, time::Duration};

use corneltrestle_client::pool::{Config, Delivery, Pool};
use http_body_util::Full;
use hyper::Request;
use scripted::{
    Scripted,
    Step::{Read, Stall, Write},
    answer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const TIMEOUT: Duration = Duration::from_secs(2);

async fn get(pool: &Arc<Pool>, peer: net::SocketAddr) -> corneltrestle_client::Result<String> {
    let request = Request::get("/").body(Full::default()).unwrap();
    let answer = pool.fetch(peer, request, Delivery::Repeatable, TIMEOUT, 1_000).await?;
    Ok(String::from_utf8(answer.into_body().to_vec()).unwrap())
}

/// Guards against connections to many peers that stay open after their idle time, until the process
/// has no descriptors left.
#[tokio::test]
async fn idle_connections_to_other_peers_are_closed() {
    let idle = Scripted::bind(vec![vec![Read, Write(answer("200 OK", "a")), Stall]]).await;
    let used = Scripted::bind(vec![vec![Read, Write(answer("200 OK", "b")), Stall]]).await;
    let config = Config { idle_timeout: Duration::from_millis(100), ..Config::default() };
    let pool = Pool::open(config);
    assert_eq!(get(&pool, idle.address).await.unwrap(), "a");
    // The pool looks for idle connections at most every two seconds.
    let calls = async {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let _ = get(&pool, used.address).await;
        }
    };
    let closed = tokio::time::timeout(Duration::from_secs(10), idle.closed());
    tokio::select! {
        closed = closed => assert!(closed.is_ok(), "the idle connection stays open"),
        () = calls => {}
    }
}

/// Guards against the claim that nothing was sent, where only the second attempt found no peer.
#[tokio::test]
async fn request_that_was_sent_before_the_peer_was_gone_may_have_run() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut read = [0; 1_024];
        assert!(socket.read(&mut read).await.unwrap() > 0);
        socket.write_all(answer("200 OK", "a").as_bytes()).await.unwrap();
        assert!(socket.read(&mut read).await.unwrap() > 0);
        drop(listener);
    });
    let pool = Pool::open(Config::default());
    assert_eq!(get(&pool, peer).await.unwrap(), "a");
    let failed = get(&pool, peer).await.unwrap_err();
    assert_eq!(failed.kind, corneltrestle_client::Kind::Broken, "{failed}");
    server.await.unwrap();
}

/// Guards against a caller that ends a task of the node with the time that it states.
#[tokio::test]
async fn timeout_of_any_length_is_taken() {
    let server = Scripted::bind(vec![vec![Read, Write(answer("200 OK", "a")), Stall]]).await;
    let pool = Pool::open(Config::default());
    let request = Request::get("/").body(Full::default()).unwrap();
    let sent = pool.send(server.address, request, Delivery::Repeatable, Duration::MAX);
    assert_eq!(sent.await.unwrap().status(), 200);
}
