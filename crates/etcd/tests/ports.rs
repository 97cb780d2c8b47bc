//! Guards against plug-ins that are not registered or that do not read their settings.

use corneltrestle_etcd::discovery::HttpVms;
use corneltrestle_etcd::gateway::NodeStore;
use corneltrestle_kernel::{host, pool, settings};

const SETTINGS: &str = "[store]\naddress = 127.0.0.1:2379\n[vms]\naddress = 127.0.0.1:9000\n";

#[tokio::test]
async fn plugins_provide_store_and_vm_list() {
    let settings = settings::Settings::parse("node.ini", SETTINGS, &settings::sections()).unwrap();
    let pool = pool::Pool::attach(tokio::runtime::Handle::current());
    let host = host::Host::open(settings, pool);
    let opened = host.open_plugins().unwrap();
    host.port::<NodeStore>().unwrap();
    host.port::<HttpVms>().unwrap();
    opened.shutdown().await;
}
