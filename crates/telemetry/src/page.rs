//! The page of metrics.

use std::{convert, net, sync};

use corneltrestle_kernel::{host, linkme, plugin, settings};
use corneltrestle_server as server;
use http_body_util::Full;
use hyper::{Response, StatusCode, header};

use crate::recorder;

/// Value of the address that opens no page.
const NONE: &str = "none";

static SECTION: settings::Section = settings::Section {
    name: "metrics",
    help: "The page of metrics.",
    keys: &[settings::Key::new(
        "address",
        settings::Type::Text,
        NONE,
        "Address on which metrics are served under `/metrics`, or `none`.",
    )],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static PAGE: plugin::Plugin = plugin::Plugin {
    name: "metrics",
    kind: plugin::Kind::FrontEnd,
    section: Some(&SECTION),
    check: |settings| address(settings).map(|_| ()),
    open,
};

fn address(settings: &settings::Settings) -> plugin::Result<Option<net::SocketAddr>> {
    let text = settings.section(SECTION.name).text("address");
    if text == NONE {
        return Ok(None);
    }
    let refused = |_| plugin::Error::Settings {
        plugin: "metrics",
        message: format!("[metrics] address: `{text}` is not of the form address:port"),
    };
    text.parse().map(Some).map_err(refused)
}

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let Some(address) = address(&host.settings)? else { return Ok(plugin::Handle::idle()) };
    let metrics = recorder::Metrics::open(host);
    let service = tower::service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let answer = if request.uri().path() == "/metrics" {
            let mut answer = Response::new(Full::from(metrics.render()));
            let text = header::HeaderValue::from_static("text/plain; version=0.0.4");
            answer.headers_mut().insert(header::CONTENT_TYPE, text);
            answer
        } else {
            let mut answer = Response::new(Full::default());
            *answer.status_mut() = StatusCode::NOT_FOUND;
            answer
        };
        std::future::ready(Ok::<Response<Full<bytes::Bytes>>, convert::Infallible>(answer))
    });
    let limits = server::Limits::default;
    server::bind(host, "metrics", address, limits, service, server::refuse::Empty)
}
