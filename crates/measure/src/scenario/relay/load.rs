//! HTTP clients of a relay, which count events and incomplete answers.

use std::{net, time};

use http_body_util::BodyExt;
use hyper::{
    client::conn::http1::{self, handshake},
    header,
};
use hyper_util::rt;
use tokio::net::TcpStream;

use super::{API_KEY, failed};
use crate::scenario::{self, Result};

/// Server to call, and the form of its events.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    pub(super) address: net::SocketAddr,
    /// Lines of one event; a relay that checks events removes the line with the `id` field.
    pub(super) lines_per_event: u64,
}

/// A load of streams: each connection runs one stream after the other.
#[derive(Clone, Copy, Debug)]
pub(super) struct Streams {
    pub(super) connections: usize,
    /// Events of each stream.
    pub(super) events: u64,
    /// Interval between two events in microseconds; `None` for as fast as possible.
    pub(super) pace_us: Option<u64>,
    /// Time during which new streams are started; zero for one stream on each connection.
    pub(super) duration: time::Duration,
}

/// Counts of the received answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Received {
    /// Events of all streams, as requested.
    pub(super) events: u64,
    /// Streams whose number of lines is not that of a complete answer.
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

    /// Sends a request, reads the whole answer and returns its number of lines.
    async fn call(&mut self, body: &bytes::Bytes) -> Result<u64> {
        let request = hyper::Request::post("/v1/completions")
            .header(header::HOST, "relay")
            .header(header::AUTHORIZATION, format!("Bearer {API_KEY}"))
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

/// Runs streams for the duration of the load, at least one on each connection. Streams in progress
/// at its end are read to their end.
pub(super) async fn run_streams(peer: Peer, load: Streams) -> Result<Received> {
    let pace = load.pace_us.map(|pace| format!(",\"pace_us\":{pace}")).unwrap_or_default();
    let body = format!(
        "{{\"model\":\"small\",\"stream\":true,\"max_tokens\":{}{pace},\"prompt\":\"hello\"}}",
        load.events
    );
    let body = bytes::Bytes::from(body);
    let end = time::Instant::now() + load.duration;
    let tasks: Vec<_> = (0..load.connections)
        .map(|_| {
            let body = body.clone();
            tokio::spawn(async move {
                let mut connection = Connection::open(peer).await?;
                let mut received = Received::default();
                loop {
                    let lines = connection.call(&body).await?;
                    received.events += load.events;
                    // The event that ends a complete answer has two lines.
                    received.broken += u64::from(lines != peer.lines_per_event * load.events + 2);
                    if time::Instant::now() >= end {
                        return Ok::<_, scenario::Error>(received);
                    }
                }
            })
        })
        .collect();
    let mut all = Received::default();
    for task in tasks {
        let received = task.await.map_err(failed("stream"))??;
        all.events += received.events;
        all.broken += received.broken;
    }
    Ok(all)
}

/// Sends small requests one after the other on one connection; returns the time of each in
/// milliseconds.
pub(super) async fn small_requests(peer: Peer, requests: usize) -> Result<Vec<f64>> {
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
