//! A minimal engine that sends scripted events, fast enough that the upstream is not the
//! bottleneck.

use std::{convert, fmt::Write, net, pin, sync, task, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{id, report};
use http_body_util::BodyExt;
use hyper::{
    body::{self, Body},
    header,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt;
use serde_json::json;
use tokio::{net::TcpListener, time::Interval};

/// Header with the request identifier, which answers repeat.
const REQUEST_ID: &str = "x-request-id";

type Response = hyper::Response<http_body_util::Either<http_body_util::Full<bytes::Bytes>, Events>>;

/// Report of the engine; it follows the latest order to join a replica.
#[derive(Debug)]
struct Reported(report::Report);

impl table::Ranked for Reported {
    const RANK: u16 = 280;
    const NAME: &'static str = "measure-source";
}

/// Starts the engine of `vm` on the runtime of the calling task; returns its address.
pub(super) async fn bind(vm: &str) -> std::io::Result<net::SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let reported = Reported(report::Report::idle(vm.into(), 1));
    let reported = sync::Arc::new(table::Table::new(reported));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let reported = sync::Arc::clone(&reported);
            let service = service_fn(move |request| answer(request, sync::Arc::clone(&reported)));
            let connection = http1::Builder::new()
                .timer(rt::TokioTimer::new())
                .serve_connection(rt::TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Ok(address)
}

async fn answer(
    request: hyper::Request<body::Incoming>,
    reported: sync::Arc<table::Table<Reported>>,
) -> Result<Response, convert::Infallible> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|whole| whole.to_bytes()).unwrap_or_default();
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let id =
        head.headers.get(REQUEST_ID).cloned().unwrap_or(header::HeaderValue::from_static("none"));
    Ok(match (&head.method, head.uri.path()) {
        (&hyper::Method::GET, "/v1/report") => json_response(&reported.lock().0),
        (&hyper::Method::POST, "/v1/orders") => {
            apply_order(&mut reported.lock().0, &value);
            json_response(&json!({"answer": "accepted"}))
        }
        (&hyper::Method::GET, _) => json_response(&json!([])),
        (&hyper::Method::POST, _) if value["stream"] == true => {
            let mut answer =
                hyper::Response::new(http_body_util::Either::Right(Events::new(&id, &value)));
            let headers = answer.headers_mut();
            headers.insert(
                header::CONTENT_TYPE,
                header::HeaderValue::from_static("text/event-stream"),
            );
            headers.insert(REQUEST_ID, id);
            answer
        }
        _ => {
            let mut answer = json_response(&json!({"object": "text_completion", "choices": []}));
            answer.headers_mut().insert(REQUEST_ID, id);
            answer
        }
    })
}

fn json_response(value: &impl serde::Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    hyper::Response::new(http_body_util::Either::Left(http_body_util::Full::new(body.into())))
}

/// Applies an order to join or to release to the report, as if loading took no time.
fn apply_order(report: &mut report::Report, order: &serde_json::Value) {
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

/// Body of a streamed answer: one frame for each event, as an engine sends its tokens.
#[derive(Debug)]
pub(super) struct Events {
    id: String,
    /// Number of the next event.
    next: u64,
    total: u64,
    /// Timer between events; `None` for as fast as possible.
    pace: Option<Interval>,
    ended: bool,
}

impl Events {
    fn new(id: &header::HeaderValue, request: &serde_json::Value) -> Self {
        let pace = request["pace_us"].as_u64().map(|pace| {
            let mut pace = tokio::time::interval(time::Duration::from_micros(pace));
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

    fn event(&mut self) -> bytes::Bytes {
        let mut event = bytes::BytesMut::with_capacity(192);
        // Writing to a `BytesMut` does not fail.
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
    type Data = bytes::Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, convert::Infallible>>> {
        let this = self.get_mut();
        if this.ended {
            return task::Poll::Ready(None);
        }
        if let Some(pace) = &mut this.pace
            && pace.poll_tick(cx).is_pending()
        {
            return task::Poll::Pending;
        }
        this.ended = this.next == this.total;
        let event =
            if this.ended { bytes::Bytes::from_static(b"data: [DONE]\n\n") } else { this.event() };
        task::Poll::Ready(Some(Ok(body::Frame::data(event))))
    }
}
