//! Callers of a relay, and what they count.

use std::{net, time};

use http_body_util::BodyExt;
use hyper::{
    client::conn::http1::{self, handshake},
    header,
};
use hyper_util::rt;
use tokio::net::TcpStream;

use super::{KEY, failed};
use crate::scenario::{self, Result};

/// Whom to call, and what its answers look like.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    pub(super) address: net::SocketAddr,
    /// Lines of one event; a relay that checks events drops the line of the id.
    pub(super) lines: u64,
}

/// Streams to run at the same time, one after the other on each connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Streams {
    pub(super) connections: usize,
    pub(super) events: u64,
    /// Time between two events in microseconds; `None` for as fast as possible.
    pub(super) pace: Option<u64>,
    pub(super) time: time::Duration,
}

/// What arrived.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Arrived {
    pub(super) events: u64,
    pub(super) broken: u64,
}

struct Connection {
    sender: http1::SendRequest<http_body_util::Full<bytes::Bytes>>,
}

impl Connection {
    async fn open(peer: Peer) -> Result<Self> {
        let socket = TcpStream::connect(peer.address).await.map_err(failed("connect"))?;
        socket.set_nodelay(true).map_err(failed("connect"))?;
        let (sender, driver) =
            handshake(rt::TokioIo::new(socket)).await.map_err(failed("connect"))?;
        tokio::spawn(driver);
        Ok(Self { sender })
    }

    /// Sends a request, reads the answer and returns the number of its lines.
    async fn call(&mut self, body: &bytes::Bytes) -> Result<u64> {
        let request = hyper::Request::post("/v1/completions")
            .header(header::HOST, "relay")
            .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
            .body(http_body_util::Full::new(body.clone()))
            .map_err(failed("request"))?;
        self.sender.ready().await.map_err(failed("call"))?;
        let answer = self.sender.send_request(request).await.map_err(failed("call"))?;
        if !answer.status().is_success() {
            return Err(failed("call")(format!("status {}", answer.status())));
        }
        let mut body = answer.into_body();
        let mut lines = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(failed("read answer"))?;
            let data = frame.into_data().unwrap_or_default();
            lines += data.iter().filter(|byte| **byte == b'\n').count() as u64;
        }
        Ok(lines)
    }
}

/// Runs streams for the stated time, at least one on each connection; those that are in progress
/// at its end are finished.
pub(super) async fn stream(peer: Peer, load: Streams) -> Result<Arrived> {
    let pace = load.pace.map(|pace| format!(",\"pace_us\":{pace}")).unwrap_or_default();
    let body = format!(
        "{{\"model\":\"small\",\"stream\":true,\"max_tokens\":{}{pace},\"prompt\":\"hello\"}}",
        load.events
    );
    let body = bytes::Bytes::from(body);
    let end = time::Instant::now() + load.time;
    let lanes: Vec<_> = (0..load.connections)
        .map(|_| {
            let body = body.clone();
            tokio::spawn(async move {
                let mut connection = Connection::open(peer).await?;
                let mut arrived = Arrived::default();
                loop {
                    let lines = connection.call(&body).await?;
                    arrived.events += load.events;
                    // The mark of a complete answer has two lines.
                    arrived.broken += u64::from(lines != peer.lines * load.events + 2);
                    if time::Instant::now() >= end {
                        return Ok::<_, scenario::Error>(arrived);
                    }
                }
            })
        })
        .collect();
    let mut all = Arrived::default();
    for lane in lanes {
        let arrived = lane.await.map_err(failed("stream"))??;
        all.events += arrived.events;
        all.broken += arrived.broken;
    }
    Ok(all)
}

/// Times of small requests in milliseconds, one after the other on one connection.
pub(super) async fn small(peer: Peer, requests: usize) -> Result<Vec<f64>> {
    let body =
        bytes::Bytes::from_static(b"{\"model\":\"small\",\"max_tokens\":1,\"prompt\":\"hello\"}");
    let mut connection = Connection::open(peer).await?;
    connection.call(&body).await?;
    let mut times = Vec::with_capacity(requests);
    for _ in 0..requests {
        let sent = time::Instant::now();
        connection.call(&body).await?;
        times.push(sent.elapsed().as_secs_f64() * 1e3);
    }
    Ok(times)
}
