//! Guards against a node that goes on half alive, or ends at once, when a background task panics.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use corneltrestle_kernel::{host, plugin, pool, settings};

const TIMEOUT: Duration = Duration::from_secs(20);

fn open() -> Arc<host::Host> {
    let settings = settings::Settings::parse("node.ini", "", &[]).unwrap();
    host::Host::open(settings, pool::Pool::attach(tokio::runtime::Handle::current()))
}

async fn reaches(count: &AtomicUsize, wanted: usize) -> bool {
    let reached = async {
        while count.load(Ordering::Relaxed) < wanted {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, reached).await.is_ok()
}

#[tokio::test]
async fn task_that_panics_is_started_again() {
    let (host, handle) = (open(), plugin::Handle::default());
    let starts = Arc::new(AtomicUsize::new(0));
    let started = Arc::clone(&starts);
    host.supervise(&handle, "test", move || {
        let number = started.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(number >= 2, "start {number}");
            std::future::pending::<()>().await;
        }
    });
    assert!(reaches(&starts, 3).await);
    assert!(tokio::time::timeout(Duration::from_millis(200), host.failed()).await.is_err());
    handle.shutdown().await;
}

#[tokio::test]
async fn periodic_task_goes_on_after_a_panic() {
    let (host, handle) = (open(), plugin::Handle::default());
    let runs = Arc::new(AtomicUsize::new(0));
    let ran = Arc::clone(&runs);
    host.every(&handle, Duration::from_millis(5), move |_| {
        let number = ran.fetch_add(1, Ordering::Relaxed);
        async move { assert!(number != 1, "run {number}") }
    });
    assert!(reaches(&runs, 4).await);
    handle.shutdown().await;
}

#[tokio::test]
async fn node_stops_when_a_task_fails_again_and_again() {
    let (host, handle) = (open(), plugin::Handle::default());
    host.supervise(&handle, "test", || async { panic!("always") });
    assert!(tokio::time::timeout(TIMEOUT, host.failed()).await.is_ok());
    handle.shutdown().await;
}
