//! Watches: a streamed response with one JSON result per line.

use std::{
    io,
    sync::{self, atomic},
};

use serde_json::json;
use tokio::{sync::mpsc, time};

use super::{Store, message};
use crate::server;

type Sender = mpsc::Sender<io::Result<bytes::Bytes>>;

/// Counts a watch as open until dropped.
struct OpenWatch(sync::Arc<Store>);

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.watching.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Opens a watch of one key; it ends when the client disconnects.
pub(super) fn open(
    store: &sync::Arc<Store>,
    watch: message::Watch,
    shared: &sync::Arc<server::Shared>,
) -> server::Reply {
    let (sender, frames) = mpsc::channel(16);
    store.watching.fetch_add(1, atomic::Ordering::Relaxed);
    let open_watch = OpenWatch(sync::Arc::clone(store));
    let server = sync::Arc::clone(shared);
    shared.spawn(async move {
        let create = &watch.create_request;
        tokio::select! {
            () = sender.closed() => {}
            _ = send_events(&open_watch.0, create, &sender, &server) => {}
        }
    });
    server::reply(hyper::StatusCode::OK, server::Body::stream(frames))
}

/// Sends events and progress notifications. Returns `None` once the client has disconnected, `Some`
/// after it was told that its start revision has been compacted.
async fn send_events(
    store: &Store,
    create: &message::CreateRequest,
    sender: &Sender,
    server: &server::Shared,
) -> Option<()> {
    let mut revision = store.revision.subscribe();
    let (header, current) = {
        let keys = store.keys.lock();
        (keys.header(), keys.revision())
    };
    let start = u64::try_from(create.start_revision).unwrap_or(0);
    let mut next_revision = if start == 0 { current + 1 } else { start };
    send(sender, json!({"header": header, "created": true})).await?;
    let mut progress_due = time::Instant::now() + store.progress_interval;
    loop {
        revision.borrow_and_update();
        let (header, events, after_latest) = {
            let keys = store.keys.lock();
            (keys.header(), keys.events(&create.key, next_revision), keys.revision() + 1)
        };
        next_revision = next_revision.max(after_latest);
        server.wait_unpaused().await;
        match events {
            Ok(events) if !events.is_empty() => {
                send(sender, json!({"header": header, "events": events})).await?;
                progress_due = time::Instant::now() + store.progress_interval;
            }
            Ok(_) if time::Instant::now() >= progress_due => {
                if create.progress_notify {
                    send(sender, json!({"header": header})).await?;
                }
                progress_due = time::Instant::now() + store.progress_interval;
            }
            Ok(_) => {}
            Err(compacted) => {
                let compacted = compacted.to_string();
                let end =
                    json!({"header": header, "canceled": true, "compact_revision": compacted});
                return send(sender, end).await;
            }
        }
        tokio::select! {
            _ = revision.changed() => {}
            () = tokio::time::sleep_until(progress_due) => {}
        }
    }
}

async fn send(sender: &Sender, result: serde_json::Value) -> Option<()> {
    let line = format!("{}\n", json!({"result": result}));
    sender.send(Ok(line.into())).await.ok()
}
