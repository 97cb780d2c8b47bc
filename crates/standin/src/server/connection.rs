//! Accepts connections and applies the faults to each request.

use std::{io, time};

use hyper::{body, header, server::conn::http1, service::service_fn};
use hyper_util::rt;
use tokio::net;

use super::{Api, call, control};
use crate::{fault, server};

/// Delay before binding or accepting again after a failure, such as a port that is in use.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Accepts connections; closes the port while the fault `down` or `crash` asks for it.
pub(super) async fn accept<A: Api>(server: server::Handle<A>, first: net::TcpListener) {
    let shared = &server.shared;
    let mut listener = Some(first);
    loop {
        let Some(open) = &listener else {
            shared.wait_for_faults(|faults| faults.listening()).await;
            listener = net::TcpListener::bind(shared.address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            continue;
        };
        tokio::select! {
            biased;
            () = shared.wait_for_faults(|faults| !faults.listening()) => listener = None,
            accepted = open.accept() => match accepted {
                Ok((stream, _)) => shared.spawn(connection(server.clone(), stream)),
                // Without the delay, running out of file descriptors would cause a busy loop.
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            },
        }
    }
}

async fn connection<A: Api>(server: server::Handle<A>, stream: net::TcpStream) {
    let _ = stream.set_nodelay(true);
    let shared = &server.shared;
    let at_accept = shared.faults();
    // Also closes a connection that was accepted while the port was being closed.
    let disconnected =
        |faults: &fault::State| faults.disconnects > at_accept.disconnects || !faults.listening();
    let service = service_fn(|request| answer(&server, request));
    let mut served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::select! {
        _ = &mut served => return,
        () = shared.wait_for_faults(disconnected) => return,
        () = shared.wait_for_faults(|faults| faults.silenced > at_accept.silenced) => {}
    }
    // Drops requests in progress but keeps the socket open without sending anything.
    let _silent = served.into_parts().io;
    shared.wait_for_faults(disconnected).await;
}

/// Answers a request with the faults applied; an error closes the connection without a response.
async fn answer<A: Api>(
    server: &server::Handle<A>,
    request: hyper::Request<body::Incoming>,
) -> io::Result<server::Reply> {
    let Some(call) = server::Call::read(request).await else {
        return Ok(call::failure(
            hyper::StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            "the body is incomplete or too large",
        ));
    };
    if call.path.starts_with("/control/") {
        return Ok(control::answer(server, &call));
    }
    let shared = &server.shared;
    let kind = server.api.kind(&call.method, &call.path);
    let _in_flight = shared.start_call(kind.name);
    let faults = shared.faults();
    if !faults.delay.is_zero() {
        tokio::time::sleep(faults.delay).await;
    }
    shared.wait_unpaused().await;
    if let Some(status) = faults.status {
        return Ok(call::failure(status, "down", "the fault `down` is on"));
    }
    let mut reply = server.api.answer(&call, shared).await;
    shared.wait_unpaused().await;
    if kind.write && shared.take_lost_response() {
        return Err(io::Error::other("response dropped by a fault"));
    }
    echo_id(&call, faults.wrong_id == Some(0), &mut reply);
    let Some(frames) = faults.cut_after else { return Ok(reply) };
    if let Some(len) = reply.body().len() {
        reply.headers_mut().insert(header::CONTENT_LENGTH, len.into());
    }
    Ok(reply.map(|body| body.truncate_after(frames)))
}

/// Copies the request id into the reply, or another id under the fault `wrong-id`.
fn echo_id(call: &server::Call, use_wrong_id: bool, reply: &mut server::Reply) {
    let Some(id) = call.headers.get("x-request-id") else { return };
    let wrong = || header::HeaderValue::try_from(wrong_id(call.request_id())).ok();
    let id = if use_wrong_id { wrong() } else { Some(id.clone()) };
    if let Some(id) = id {
        reply.headers_mut().insert("x-request-id", id);
    }
}

/// The id that replaces a request's own under the fault `wrong-id`.
pub(crate) fn wrong_id(id: &str) -> String {
    format!("other-{id}")
}
