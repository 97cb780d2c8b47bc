//! Guards against plug-ins that are not registered or that do not read their settings.

use corneltrestle_engine::engine::http::HttpEngine;
use corneltrestle_engine::service::http::HttpService;
use corneltrestle_kernel::{host, pool, settings};

const SETTINGS: &str = "[upstream]\nidle = 4\n";

#[tokio::test]
async fn plugin_provides_both_clients() {
    let settings = settings::Settings::parse("node.ini", SETTINGS, &settings::sections()).unwrap();
    let pool = pool::Pool::attach(tokio::runtime::Handle::current());
    let host = host::Host::open(settings, pool);
    let opened = host.open_plugins().unwrap();
    host.port::<HttpEngine>().unwrap();
    host.port::<HttpService>().unwrap();
    opened.shutdown().await;
}
