//! Task: detects upstreams that have stalled, by streams without events.
//!
//! If neither this node nor, by their heartbeats, its peers have received an event from an upstream
//! for longer than [`stall::limit`], it asks them for new heartbeats. If these report no later event
//! either, it declares the upstream stalled.

use std::{collections, sync, time};

use corneltrestle_kernel::{host, linkme, plugin};
use corneltrestle_policy::{id, stall};
use corneltrestle_time::moment;

use crate::{
    mesh,
    tables::{self, activity, catalog, stalls},
};

/// Time between two checks of the streams.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(20);

/// Time that peers have to report events of an upstream before it is declared stalled.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(12);

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static WATCHDOG: plugin::Plugin = plugin::Plugin {
    name: "watchdog",
    kind: plugin::Kind::Task,
    section: None,
    check: plugin::unchecked,
    open,
};

/// State of the task.
#[derive(Debug)]
struct Watchdog {
    host: sync::Arc<host::Host>,
    tables: tables::Tables,
    mesh: sync::Arc<mesh::Mesh>,
    /// Upstreams about which peers were asked, and when.
    asked: collections::HashMap<id::Vm, moment::Moment>,
}

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let mesh = host.port::<mesh::Mesh>()?;
    let handle = plugin::Handle::default();
    let own = sync::Arc::clone(host);
    host.supervise(&handle, "watchdog", move || {
        let mut watchdog = Watchdog {
            host: sync::Arc::clone(&own),
            tables: tables::Tables::of(&own),
            mesh: sync::Arc::clone(&mesh),
            asked: collections::HashMap::new(),
        };
        async move {
            loop {
                tokio::time::sleep(CHECK_PERIOD).await;
                watchdog.check(watchdog.host.now());
            }
        }
    });
    Ok(handle)
}

impl Watchdog {
    fn check(&mut self, now: moment::Moment) {
        let snapshot = self.tables.current.load_full();
        if let Some(pause) = self.tables.pauses.lock().tick(CHECK_PERIOD, now) {
            log::warn!(pause_ms = activity::saturating_millis(pause); "node: the process was paused");
        }
        self.tables.peers.lock().prune(now);
        let silent = {
            let mut activity = self.tables.activity.lock();
            activity.prune(now);
            self.tables.stalls.lock().prune(now);
            self.tables.health.lock().prune(now);
            self.tables.quarantine.lock().tick(now);
            self.tables.pacing.lock().sent.prune(now);
            self.silent(&snapshot, &activity, now)
        };
        self.asked.retain(|upstream, _| silent.contains_key(upstream));
        let mut needs_reports = false;
        for (upstream, epoch) in silent {
            match self.asked.get(&upstream) {
                None => {
                    self.asked.insert(upstream, now);
                    needs_reports = true;
                }
                Some(at) if now.since(*at) >= ASK_TIMEOUT => self.declare(&upstream, epoch, now),
                Some(_) => {}
            }
        }
        if needs_reports {
            self.mesh.request_loads(now);
        }
    }

    /// Upstreams from which neither this node nor a peer has received an event for too long, with
    /// the epochs of their groups. Time before a pause of this process does not count, nor time in
    /// which it did not run for shorter.
    fn silent(
        &self,
        snapshot: &catalog::Snapshot,
        activity: &activity::Activity,
        now: moment::Moment,
    ) -> collections::HashMap<id::Vm, u64> {
        let pauses = self.tables.pauses.lock();
        let is_silent = |waiting: &activity::Waiting| {
            let id = waiting.upstream.as_str();
            let max_silence = max_silence(snapshot, activity, id)?;
            let epoch = snapshot.fleet.group_of(id)?.epoch;
            let progress = activity.progress(id).max(pauses.last_end())?;
            (pauses.silence(progress, now) > max_silence).then_some(epoch)
        };
        activity
            .waiting()
            .filter_map(|waiting| is_silent(&waiting).map(|epoch| (waiting.upstream, epoch)))
            .collect()
    }

    fn declare(&self, upstream: &id::Vm, epoch: u64, now: moment::Moment) {
        let activity = self.tables.activity.lock();
        let progress = activity.progress(upstream.as_str());
        let stall =
            stalls::Stall { epoch, detected: now, progress, is_own: true, has_lost_member: false };
        if !self.tables.stalls.lock().insert(upstream, stall.clone()) {
            return;
        }
        let work = activity.max_work(upstream.as_str());
        log::warn!(
            upstream = upstream.as_str(), requests = work.requests, unread = work.unread;
            "stall: no stream of the upstream received an event in time"
        );
        activity.interrupt(upstream.as_str());
        drop(activity);
        self.mesh.broadcast_stall(upstream.as_str(), &stall, now);
    }
}

/// Longest time without events before an upstream counts as stalled; `None` if it belongs to no
/// group of a configured service.
fn max_silence(
    snapshot: &catalog::Snapshot,
    activity: &activity::Activity,
    upstream: &str,
) -> Option<time::Duration> {
    let group = snapshot.fleet.group_of(upstream)?;
    let service = snapshot.deployment.as_ref()?.services.get(&group.service)?;
    let engine = service.engine.as_ref()?;
    let pace = snapshot.fleet.pace(group, engine);
    Some(stall::limit(engine, pace, &activity.max_work(upstream)))
}
