//! Watches: newline-separated results on one response.

use std::{
    io,
    sync::{self, atomic},
};

use serde_json::json;
use tokio::{sync::mpsc, time};

use super::{Store, message};
use crate::server;

type Sender = mpsc::Sender<io::Result<bytes::Bytes>>;

/// Counts a watch as long as it lives.
struct Waiting(sync::Arc<Store>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.watching.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Opens a watch on one key.
pub(super) fn open(
    store: &sync::Arc<Store>,
    watch: message::Watch,
    shared: &sync::Arc<server::Shared>,
) -> server::Reply {
    let (sender, frames) = mpsc::channel(16);
    store.watching.fetch_add(1, atomic::Ordering::Relaxed);
    let waiting = Waiting(sync::Arc::clone(store));
    let server = sync::Arc::clone(shared);
    shared.run(async move {
        let create = &watch.create_request;
        tokio::select! {
            () = sender.closed() => {}
            _ = feed(&waiting.0, create, &sender, &server) => {}
        }
    });
    server::reply(hyper::StatusCode::OK, server::Body::stream(frames))
}

/// Sends events and progress until the watch ends; `None` once the caller has gone.
async fn feed(
    store: &Store,
    create: &message::Create,
    sender: &Sender,
    server: &server::Shared,
) -> Option<()> {
    let mut revision = store.revision.subscribe();
    let (header, present) = {
        let keys = store.keys.lock();
        (keys.header(), keys.revision())
    };
    let start = u64::try_from(create.start_revision).unwrap_or(0);
    let mut from = if start == 0 { present + 1 } else { start };
    send(sender, json!({"header": header, "created": true})).await?;
    let mut due = time::Instant::now() + store.progress_interval;
    loop {
        revision.borrow_and_update();
        let (header, events, next) = {
            let keys = store.keys.lock();
            (keys.header(), keys.events(&create.key, from), keys.revision() + 1)
        };
        from = from.max(next);
        server.unpaused().await;
        match events {
            Ok(events) if !events.is_empty() => {
                send(sender, json!({"header": header, "events": events})).await?;
                due = time::Instant::now() + store.progress_interval;
            }
            Ok(_) if time::Instant::now() >= due => {
                if create.progress_notify {
                    send(sender, json!({"header": header})).await?;
                }
                due = time::Instant::now() + store.progress_interval;
            }
            Ok(_) => {}
            Err(dropped) => {
                let dropped = dropped.to_string();
                let end = json!({"header": header, "canceled": true, "compact_revision": dropped});
                return send(sender, end).await;
            }
        }
        tokio::select! {
            _ = revision.changed() => {}
            () = tokio::time::sleep_until(due) => {}
        }
    }
}

async fn send(sender: &Sender, result: serde_json::Value) -> Option<()> {
    let line = format!("{}\n", json!({"result": result}));
    sender.send(Ok(line.into())).await.ok()
}
