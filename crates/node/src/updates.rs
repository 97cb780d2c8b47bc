//! Applies what peers and the store report to the tables of this node.
//!
//! Peers push updates that are urgent, and answer pulls with digests of all they know. A digest or
//! an update only names a newer release or assignment; the document itself is then fetched.

mod pull;
mod reports;

use std::net;

use corneltrestle_kernel::host;
use corneltrestle_policy::{assignment, id, membership, release};
use corneltrestle_wire::{
    key,
    link::{self as wire, UpdateKind},
    stored,
};

use crate::{
    link::{self, Link},
    tables,
};

pub use pull::Pull;
pub use reports::ZoneReports;

/// Whether an update is new to this node. It is recorded as forwarded, so a second call returns
/// false.
pub fn is_new(tables: &tables::Tables, kind: &UpdateKind) -> bool {
    let update = match kind {
        UpdateKind::Revision { revision } => {
            if *revision <= tables.config.lock().revision() {
                return false;
            }
            membership::Update::Revision(*revision)
        }
        UpdateKind::Loss { vm, epoch, .. } => {
            membership::Update::Loss { vm: vm.clone(), epoch: *epoch }
        }
        UpdateKind::Drain { node, boot } => {
            membership::Update::Drain { node: node.clone(), boot: *boot }
        }
    };
    tables.members.lock().forwarded.insert(&update)
}

/// Applies an update that came from the peer at `sender`; `None` if its address is unknown.
pub async fn apply<L: Link>(
    host: &host::Host,
    tables: &tables::Tables,
    link: &L,
    kind: &UpdateKind,
    sender: Option<net::SocketAddr>,
) {
    match kind {
        UpdateKind::Revision { .. } => {
            let Some(sender) = sender else { return };
            if let Err(e) = fetch_release(tables, link, sender).await {
                log::info!("link: {e}");
            }
        }
        UpdateKind::Loss { vm, .. } => mark_lost(host, tables, vm),
        UpdateKind::Drain { node, boot } => {
            tables.members.lock().known.drain(node, *boot);
        }
    }
}

/// Records the loss of a VM; from now on its replica takes no work.
pub fn mark_lost(host: &host::Host, tables: &tables::Tables, vm: &id::Vm) {
    log::info!("group: VM {vm} is lost");
    tables.reports.lock().mark_lost(vm, host.now());
}

/// Fetches the release of a peer and adopts it if it is newer; returns whether it is.
///
/// # Errors
///
/// When the peer does not answer.
pub async fn fetch_release<L: Link>(
    tables: &tables::Tables,
    link: &L,
    peer: net::SocketAddr,
) -> link::Result<bool> {
    let known = tables.config.lock().revision();
    let request = wire::FetchRequest { document: wire::Document::Release, known };
    let value = link.fetch(peer, &request).await?;
    let Some(body) = value.body else { return Ok(false) };
    match stored::decode::<release::Release>(key::head(), &body) {
        Ok(release) => Ok(adopt_release(tables, release, 0)),
        Err(e) => {
            log::error!("link: peer {peer} sent a release that cannot be read: {e}");
            Ok(false)
        }
    }
}

/// Adopts a release and pushes its revision to peers if it is newer; returns whether it is.
///
/// `version` is the version in the store, or 0 if the release came from a peer.
pub fn adopt_release(tables: &tables::Tables, release: release::Release, version: u64) -> bool {
    let revision = release.revision;
    {
        let mut config = tables.config.lock();
        if !config.adopt(release) {
            return false;
        }
        config.version = version;
    }
    log::info!("config: revision {revision} is in force");
    let update = membership::Update::Revision(revision);
    tables.members.lock().forwarded.insert(&update);
    tables.outbox.lock().push(UpdateKind::Revision { revision }, None);
    true
}

/// Fetches the assignment of a zone from a peer, and adopts it if it is newer.
///
/// # Errors
///
/// When the peer does not answer.
pub async fn fetch_assignment<L: Link>(
    tables: &tables::Tables,
    link: &L,
    peer: net::SocketAddr,
    zone: &id::Zone,
) -> link::Result<()> {
    let known = tables.replicas.lock().zone(zone.as_str()).version;
    let request = wire::FetchRequest { document: wire::Document::Assignment(zone.clone()), known };
    let value = link.fetch(peer, &request).await?;
    let Some(body) = value.body else { return Ok(()) };
    match stored::decode::<assignment::Assignment>(&key::groups(zone.as_str()), &body) {
        Ok(assignment) => {
            tables.replicas.lock().adopt(zone, value.revision, assignment);
        }
        Err(e) => log::error!("link: peer {peer} sent an assignment that cannot be read: {e}"),
    }
    Ok(())
}
