//! Taking over what peers know: news, documents and digests.

mod digest;
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

pub use digest::Pull;
pub use reports::ZoneReports;

/// Whether this node hears of a piece of news for the first time.
pub fn is_fresh(tables: &tables::Tables, kind: &UpdateKind) -> bool {
    let news = match kind {
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
    tables.members.lock().forwarded.insert(&news)
}

/// Acts on news that came from the peer at `sender`.
pub async fn take<L: Link>(
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
        UpdateKind::Loss { vm, .. } => lose(host, tables, vm),
        UpdateKind::Drain { node, boot } => {
            tables.members.lock().known.drain(node, *boot);
        }
    }
}

/// Notes the loss of a VM, whose replica takes no work from now on.
pub fn lose(host: &host::Host, tables: &tables::Tables, vm: &id::Vm) {
    log::info!("group: VM {vm} is lost");
    tables.reports.lock().lose(vm, host.now());
}

/// Fetches the release from a peer and adopts it if it is newer; returns whether it was.
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

/// Adopts a release if it is newer and tells peers of it; returns whether it was newer.
///
/// `version` is its version in the store, 0 if it came from a peer.
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
    let news = membership::Update::Revision(revision);
    tables.members.lock().forwarded.insert(&news);
    tables.outbox.lock().post(UpdateKind::Revision { revision }, None);
    true
}

/// Fetches the assignment of a zone from a peer and adopts it if it is newer.
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
