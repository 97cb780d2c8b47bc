//! The protocol sessions of a connection.
//!
//! hyper keeps the read and write buffers of an HTTP/1 connection, and the boxes of its service's
//! future and of its response body, for as long as the connection is open. While a connection is idle,
//! hyper's part is therefore dropped, and only the socket is kept.

use std::{
    future, io,
    pin::{self, pin},
    sync, task, time,
};

use corneltrestle_kernel::disconnect;
use hyper::server::conn::http1;
use hyper_util::{rt, server::conn::auto, service::TowerToHyperService};
use tokio::time::Instant;

use crate::{
    accept::{ResponseBody, Serve},
    connection::{self, Connection},
    header::Limited,
    limits::Limits,
    refuse::Refuse,
    socket::Socket,
    unread,
};

/// Time for which a connection has to be idle before its memory is released. Without it, a client that
/// sends one request after the other would make the node allocate the buffers anew for each.
const RELEASE_DELAY: time::Duration = time::Duration::from_millis(100);

/// Concurrent HTTP/2 streams on one connection.
const MAX_STREAMS: u32 = 256;

/// Bytes of an HTTP/2 stream that wait for its client, beside one part of its body. hyper takes 400 KB
/// without this limit.
const MAX_STREAM_SEND_BYTES: usize = 16 * 1024;

/// Interval between keep-alive pings on an HTTP/2 connection.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Time to wait for the answer to a ping; after it the connection is closed.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(5);

const IDLE_TIMEOUT: &str = "no request within the idle timeout";

/// How an HTTP/1 session ended.
enum Step {
    /// The connection is closed, or failed.
    Ended(hyper::Result<()>),
    /// It has been idle since this moment.
    Idle(Instant),
    /// No request has arrived within the idle timeout.
    TimedOut,
}

/// Serves a connection until it is closed, or has been idle for too long. It is shut down gracefully
/// after [`Connection::close`], which has to be called by the task that polls this future.
pub(crate) async fn run<S, R, B>(
    mut socket: Socket<R>,
    service: Limited<S, R>,
    limits: &Limits,
    state: &Connection,
) -> Result<(), String>
where
    S: Serve<B>,
    R: Refuse<Body = B>,
    B: ResponseBody,
{
    // The protocols have functions of their own, so that the task of an HTTP/1 connection is not as
    // large as both together.
    let detected = {
        let detect = pin!(socket.detect_http2());
        unless_closing(state, detect).await
    };
    match detected {
        None => Ok(()),
        Some(Err(e)) => Err(e.to_string()),
        Some(Ok(true)) => serve_http2(socket, service, limits, state).await,
        Some(Ok(false)) => serve_http1(socket, service, limits, state).await,
    }
}

/// Serves an HTTP/2 connection.
async fn serve_http2<S, R, B>(
    socket: Socket<R>,
    service: Limited<S, R>,
    limits: &Limits,
    state: &Connection,
) -> Result<(), String>
where
    S: Serve<B>,
    R: Refuse<Body = B>,
    B: ResponseBody,
{
    let (name, host) = (socket.name(), sync::Arc::clone(socket.host()));
    let (builder, service) = (http2(limits), TowerToHyperService::new(service));
    let mut connection = pin!(builder.serve_connection(rt::TokioIo::new(socket), service));
    let served = async {
        let ended = match unless_closing(state, connection.as_mut()).await {
            Some(ended) => ended,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        ended.map_err(|e| e.to_string())
    };
    let unread = async {
        loop {
            tokio::time::sleep((limits.read_timeout / 4).min(unread::MAX_CHECK_PERIOD)).await;
            if let Some((cause, silent)) = state.withheld.check(&host, limits.read_timeout) {
                state.disconnect.record(disconnect::Cause::Unread);
                return unread::report(name, cause, silent, host.now());
            }
        }
    };
    tokio::select! {
        biased;
        ended = served => ended,
        error = unread => Err(error),
    }
}

/// Serves an HTTP/1 connection.
async fn serve_http1<S, R, B>(
    mut socket: Socket<R>,
    service: Limited<S, R>,
    limits: &Limits,
    state: &Connection,
) -> Result<(), String>
where
    S: Serve<B>,
    R: Refuse<Body = B>,
    B: ResponseBody,
{
    let mut service = TowerToHyperService::new(service);
    let mut timer = pin!(tokio::time::sleep(time::Duration::ZERO));
    // The end of the idle time in which the session has begun.
    let mut deadline = None;
    loop {
        let mut session = http1(limits).serve_connection(rt::TokioIo::new(socket), service);
        let idle_since = match until_idle(&mut session, state, timer.as_mut(), deadline).await {
            Step::Ended(ended) => return ended.map_err(|e| e.to_string()),
            Step::TimedOut => return Err(IDLE_TIMEOUT.to_owned()),
            Step::Idle(since) => since,
        };
        let parts = session.into_parts();
        (socket, service) = (parts.io.into_inner(), parts.service);
        // Also an empty buffer keeps its memory.
        let unread = Some(parts.read_buf).filter(|unread| !unread.is_empty());
        let until = idle_since + limits.idle_timeout.max(limits.header_timeout);
        deadline = Some(until);
        if let Some(unread) = unread {
            socket.put_back(unread);
            continue;
        }
        timer.as_mut().reset(until);
        let arrived = {
            let readable = pin!(readable(&socket, timer.as_mut()));
            unless_closing(state, readable).await
        };
        match arrived {
            None => return Ok(()),
            Some(Ok(true)) => {}
            Some(Ok(false)) => return Err(IDLE_TIMEOUT.to_owned()),
            Some(Err(e)) => return Err(e.to_string()),
        }
    }
}

/// Waits until bytes can be read; returns whether they have arrived before the timer.
async fn readable<R: Refuse>(
    socket: &Socket<R>,
    timer: pin::Pin<&mut tokio::time::Sleep>,
) -> io::Result<bool> {
    tokio::select! {
        biased;
        ready = socket.readable() => ready.map(|()| true),
        () = timer => Ok(false),
    }
}

/// Serves an HTTP/1 connection until it has served a request and then been idle for
/// [`RELEASE_DELAY`]. Until its first request, it times out at `deadline`.
async fn until_idle<S, R, B>(
    session: &mut http1::Connection<rt::TokioIo<Socket<R>>, TowerToHyperService<Limited<S, R>>>,
    state: &Connection,
    mut timer: pin::Pin<&mut tokio::time::Sleep>,
    deadline: Option<Instant>,
) -> Step
where
    S: Serve<B>,
    R: Refuse<Body = B>,
    B: ResponseBody,
{
    let before = state.requests();
    let mut is_closing = false;
    let mut idle_since = None;
    future::poll_fn(|cx| {
        let mut session = pin::Pin::new(&mut *session);
        if let task::Poll::Ready(ended) = session.as_mut().poll(cx) {
            return task::Poll::Ready(Step::Ended(ended));
        }
        // hyper closes a session that has read nothing yet, so that it reads a request that has arrived first.
        if !is_closing && state.is_closing() {
            is_closing = true;
            session.as_mut().graceful_shutdown();
            if let task::Poll::Ready(ended) = session.poll(cx) {
                return task::Poll::Ready(Step::Ended(ended));
            }
        }
        let has_served = state.requests() != before;
        if !state.is_idle() {
            idle_since = None;
        }
        let until = match deadline {
            _ if has_served && state.is_idle() => {
                *idle_since.get_or_insert_with(Instant::now) + RELEASE_DELAY
            }
            Some(deadline) if !has_served => deadline,
            _ => return task::Poll::Pending,
        };
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        timer.as_mut().poll(cx).map(|()| idle_since.map_or(Step::TimedOut, Step::Idle))
    })
    .await
}

/// The result of a future, or `None` once the connection is to be closed.
async fn unless_closing<F: Future>(
    state: &Connection,
    mut future: pin::Pin<&mut F>,
) -> Option<F::Output> {
    future::poll_fn(|cx| match future.as_mut().poll(cx) {
        task::Poll::Ready(output) => task::Poll::Ready(Some(output)),
        task::Poll::Pending if state.is_closing() => task::Poll::Ready(None),
        task::Poll::Pending => task::Poll::Pending,
    })
    .await
}

fn http1(limits: &Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(rt::TokioTimer::new())
        // hyper has one timeout for both: waiting for a request and reading its header.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.hyper_header_bytes())
        .max_headers(limits.hyper_header_fields());
    builder
}

fn http2(limits: &Limits) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new()).http2_only();
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .initial_stream_window_size(connection::HTTP2_WINDOW)
        .initial_connection_window_size(connection::HTTP2_WINDOW)
        .max_header_list_size(u32::try_from(limits.hyper_header_bytes()).unwrap_or(u32::MAX))
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buf_size(MAX_STREAM_SEND_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}
