//! Listening and connections.

use std::{io, time};

use hyper::{body, header, server::conn::http1, service::service_fn};
use hyper_util::rt;
use tokio::net;

use super::{Api, call, control};
use crate::{fault, server};

/// Pause before the port is bound again, when something else holds it.
const REBIND_DELAY: time::Duration = time::Duration::from_millis(50);

/// Accepts connections; while a fault says so, the port is closed.
pub(super) async fn accept<A: Api>(server: server::Handle<A>, first: net::TcpListener) {
    let shared = &server.shared;
    let mut listener = Some(first);
    loop {
        let Some(open) = &listener else {
            shared.reached(|knobs| knobs.listening()).await;
            listener = net::TcpListener::bind(shared.address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(REBIND_DELAY).await;
            }
            continue;
        };
        tokio::select! {
            biased;
            () = shared.reached(|knobs| !knobs.listening()) => listener = None,
            accepted = open.accept() => match accepted {
                Ok((stream, _)) => shared.run(connection(server.clone(), stream)),
                // Running out of descriptors must not turn into a busy loop.
                Err(_) => tokio::time::sleep(REBIND_DELAY).await,
            },
        }
    }
}

async fn connection<A: Api>(server: server::Handle<A>, stream: net::TcpStream) {
    let _ = stream.set_nodelay(true);
    let shared = &server.shared;
    let opened = shared.knobs();
    // A connection that was accepted while the port was being closed breaks as well.
    let broken = |knobs: &fault::Knobs| knobs.broken > opened.broken || !knobs.listening();
    let service = service_fn(|request| answer(&server, request));
    let mut served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::select! {
        _ = &mut served => return,
        () = shared.reached(broken) => return,
        () = shared.reached(|knobs| knobs.silenced > opened.silenced) => {}
    }
    // Work in progress is dropped, but the socket stays open without a word.
    let _silent = served.into_parts().io;
    shared.reached(broken).await;
}

/// Answers a request with the faults applied; an error closes the connection without an answer.
async fn answer<A: Api>(
    server: &server::Handle<A>,
    request: hyper::Request<body::Incoming>,
) -> io::Result<server::Reply> {
    let Some(call) = server::Call::read(request).await else {
        return Ok(call::failure(
            hyper::StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            "body not readable",
        ));
    };
    if call.path.starts_with("/control/") {
        return Ok(control::answer(server, &call));
    }
    let shared = &server.shared;
    let kind = server.api.kind(&call.method, &call.path);
    let _in_flight = shared.begin(kind.name);
    let knobs = shared.knobs();
    if !knobs.delay.is_zero() {
        tokio::time::sleep(knobs.delay).await;
    }
    shared.unpaused().await;
    if let Some(status) = knobs.status {
        return Ok(call::failure(status, "down", "switched off by a fault"));
    }
    let mut reply = server.api.answer(&call, shared).await;
    shared.unpaused().await;
    if kind.write && shared.take_loss() {
        return Err(io::Error::other("answer lost by a fault"));
    }
    echo(&call, knobs.foreign == Some(0), &mut reply);
    let Some(frames) = knobs.cut else { return Ok(reply) };
    if let Some(len) = reply.body().len() {
        reply.headers_mut().insert(header::CONTENT_LENGTH, len.into());
    }
    Ok(reply.map(|body| body.cut(frames)))
}

/// Echoes the request id, or another one.
fn echo(call: &server::Call, foreign: bool, reply: &mut server::Reply) {
    let Some(id) = call.headers.get("x-request-id") else { return };
    let other = || header::HeaderValue::try_from(other_id(call.id())).ok();
    let id = if foreign { other() } else { Some(id.clone()) };
    if let Some(id) = id {
        reply.headers_mut().insert("x-request-id", id);
    }
}

/// The id that takes the place of a request's own under the fault `wrong-id`.
pub(crate) fn other_id(id: &str) -> String {
    format!("other-{id}")
}
