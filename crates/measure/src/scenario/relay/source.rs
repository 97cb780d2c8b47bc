//! A fast engine that sends scripted events, so that the upstream is not the limit.

use std::convert::Infallible;
use std::fmt::Write;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use corneltrestle_kernel::table;
use corneltrestle_policy::{id, report};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::Interval;

/// Header with the identifier of a request.
const REQUEST_ID: &str = "x-request-id";

type Answer = Response<Either<Full<Bytes>, Events>>;

/// What the engine reports; it follows the latest order to join.
#[derive(Debug)]
struct Reported(report::Report);

impl table::Ranked for Reported {
    const RANK: u16 = 280;
    const NAME: &'static str = "measure-source";
}

/// Binds the engine of `vm` on the workers of the calling task; returns its address.
pub(super) async fn bind(vm: &str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let reported = Reported(report::Report::idle(vm.into(), 1));
    let reported = Arc::new(table::Table::new(reported));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let reported = Arc::clone(&reported);
            let service = service_fn(move |request| answer(request, Arc::clone(&reported)));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Ok(address)
}

async fn answer(
    request: Request<Incoming>,
    reported: Arc<table::Table<Reported>>,
) -> Result<Answer, Infallible> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|whole| whole.to_bytes()).unwrap_or_default();
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let id = head.headers.get(REQUEST_ID).cloned().unwrap_or(HeaderValue::from_static("none"));
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, "/v1/report") => whole(&reported.lock().0),
        (&Method::POST, "/v1/orders") => {
            order(&mut reported.lock().0, &value);
            whole(&json!({"answer": "accepted"}))
        }
        (&Method::GET, _) => whole(&json!([])),
        (&Method::POST, _) if value["stream"] == true => {
            let mut answer = Response::new(Either::Right(Events::new(&id, &value)));
            let headers = answer.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(REQUEST_ID, id);
            answer
        }
        _ => {
            let mut answer = whole(&json!({"object": "text_completion", "choices": []}));
            answer.headers_mut().insert(REQUEST_ID, id);
            answer
        }
    })
}

fn whole(value: &impl serde::Serialize) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::new(Either::Left(Full::new(body.into())))
}

fn order(report: &mut report::Report, order: &Value) {
    let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
    if order["order"] == "release" {
        *report = report::Report::idle(report.vm.clone(), report.start);
        return;
    }
    if let Ok(replica) = serde_json::from_value::<id::Replica>(order["replica"].clone()) {
        report.replica = Some(replica);
        report.epoch = order["epoch"].as_u64().unwrap_or_default();
    }
    report.model = text("model");
    report.adapter = text("adapter");
    report.version = text("version");
    report.phase = report::Phase::Ready;
}

/// Events of one answer, each in a frame of its own as an engine sends its tokens.
#[derive(Debug)]
pub(super) struct Events {
    id: String,
    next: u64,
    total: u64,
    pace: Option<Interval>,
    ended: bool,
}

impl Events {
    fn new(id: &HeaderValue, request: &Value) -> Self {
        let pace = request["pace_us"].as_u64().map(|pace| {
            let mut pace = tokio::time::interval(Duration::from_micros(pace));
            pace.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            pace
        });
        Self {
            id: id.to_str().unwrap_or_default().to_owned(),
            next: 0,
            total: request["max_tokens"].as_u64().unwrap_or(1),
            pace,
            ended: false,
        }
    }

    fn event(&mut self) -> Bytes {
        let mut event = BytesMut::with_capacity(192);
        // Writing to this buffer does not fail.
        let _ = write!(
            event,
            "id: {}/{}\ndata: {{\"id\":\"cmpl\",\"object\":\"text_completion\",\"model\":\"small\",\
             \"choices\":[{{\"index\":0,\"text\":\" token\",\"finish_reason\":null}}]}}\n\n",
            self.id, self.next
        );
        self.next += 1;
        event.freeze()
    }
}

impl Body for Events {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        if let Some(pace) = &mut this.pace
            && pace.poll_tick(cx).is_pending()
        {
            return Poll::Pending;
        }
        this.ended = this.next == this.total;
        let event = if this.ended { Bytes::from_static(b"data: [DONE]\n\n") } else { this.event() };
        Poll::Ready(Some(Ok(Frame::data(event))))
    }
}
