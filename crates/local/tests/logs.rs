//! Guards against lines about a request that lack the field by which lines of one request are
//! sampled and found.

mod common;

use log::kv;
use parking_lot::Mutex;

/// Messages with the field `id`, of lines about failed attempts.
static ATTEMPTS: Mutex<Vec<(String, Option<String>)>> = Mutex::new(Vec::new());

struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let is_pipeline = record.target().starts_with("corneltrestle_node::pipeline");
        if is_pipeline && record.level() == log::Level::Info {
            let id = record.key_values().get(kv::Key::from("id"));
            let id = id.and_then(|id| id.to_borrowed_str().map(str::to_owned));
            ATTEMPTS.lock().push((record.args().to_string(), id));
        }
    }

    fn flush(&self) {}
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_attempts_name_their_request() {
    log::set_logger(&Recorder).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let local = common::open(common::one_zone(1, 1, 3), 1).await;
    local.services.iter().for_each(|(_, desk)| desk.switch("down", true, None).unwrap());
    let caller = common::caller(common::node(&local, "zone-a"));
    let headers = [("x-request-id", "r-1")];
    let answer = caller.call(hyper::Method::GET, "/desk/stock/7", &headers, Vec::new()).await;
    let answer = answer.unwrap();
    assert!(answer.status.is_server_error());
    local.services.iter().for_each(|(_, desk)| desk.switch("down", true, Some(0)).unwrap());
    caller.call(hyper::Method::GET, "/desk/stock/7", &headers, Vec::new()).await.unwrap();
    let attempts = ATTEMPTS.lock().clone();
    let attempts: Vec<_> =
        attempts.iter().filter(|(text, _)| text.starts_with("route: ")).collect();
    assert!(!attempts.is_empty());
    assert!(attempts.iter().all(|(_, id)| id.is_some()), "{attempts:?}");
    local.shutdown().await;
}
