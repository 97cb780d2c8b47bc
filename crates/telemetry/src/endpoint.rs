//! The HTTP endpoint that serves the metrics.

use std::{convert, net, sync};

use corneltrestle_kernel::{host, linkme, plugin, settings};
use corneltrestle_server as server;
use http_body_util::Full;
use hyper::{Response, StatusCode, header};

use crate::recorder;

/// Value of the key `address` that disables the endpoint.
const NONE: &str = "none";

static SECTION: settings::Section = settings::Section {
    name: "metrics",
    help: "HTTP endpoint for metrics in the text format of Prometheus.",
    keys: &[settings::Key::new(
        "address",
        settings::Type::Text,
        NONE,
        "IP address with a port on which metrics are served under `/metrics`, or `none`.",
    )],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static ENDPOINT: plugin::Plugin = plugin::Plugin {
    name: "metrics",
    kind: plugin::Kind::FrontEnd,
    section: Some(&SECTION),
    check: |settings| address(settings).map(|_| ()),
    open,
};

/// The address to serve on, or `None` if the endpoint is disabled.
fn address(settings: &settings::Settings) -> plugin::Result<Option<net::SocketAddr>> {
    let text = settings.section(SECTION.name).text("address");
    if text == NONE {
        return Ok(None);
    }
    let invalid = |_| plugin::Error::Settings {
        plugin: "metrics",
        message: format!("[metrics] address: `{text}` is not of the form address:port"),
    };
    text.parse().map(Some).map_err(invalid)
}

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let Some(address) = address(&host.settings)? else { return Ok(plugin::Handle::idle()) };
    let metrics = recorder::Metrics::open(host);
    let service = tower::service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let response = if request.uri().path() == "/metrics" {
            let mut response = Response::new(Full::from(metrics.render()));
            let text = header::HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(header::CONTENT_TYPE, text);
            response
        } else {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        };
        std::future::ready(Ok::<Response<Full<bytes::Bytes>>, convert::Infallible>(response))
    });
    let limits = server::Limits { is_operator: true, ..server::Limits::of_node(host) };
    server::bind(host, "metrics", address, move || limits, service, server::refuse::Empty)
}
