//! Identity of this node: id, availability zone, addresses and limits from the `[node]` section.

use std::{fs, io, net, sync, time};

use corneltrestle_kernel::{host, linkme, memory, plugin, settings, shutdown, table};
use corneltrestle_policy::{id, membership};

use crate::tables::members;

/// The `[node]` section of the settings.
pub static SECTION: settings::Section = settings::Section {
    name: "node",
    help: "The node itself.",
    keys: &[
        settings::Key::required(
            "id",
            settings::Type::Text,
            "Name of the node's VM, as in the VM list.",
        ),
        settings::Key::required("zone", settings::Type::Text, "Availability zone of the node."),
        settings::Key::required(
            "link",
            settings::Type::Address,
            "Address on which other nodes reach this one.",
        ),
        settings::Key::optional(
            "link-bind",
            settings::Type::Address,
            "Address that the link listens on, if a forwarded port makes it differ from `link`.",
        ),
        settings::Key::required(
            "secret-file",
            settings::Type::Path,
            "File with the secret that all nodes share, 16 bytes or more.",
        ),
        settings::Key::new(
            "workers",
            settings::Type::Count { min: 1, max: 64 },
            "2",
            "Worker threads.",
        ),
        settings::Key::new(
            "view-bound",
            settings::Type::millis(500, 30_000),
            "3s",
            "Maximum age of a VM's report when a request is dispatched.",
        ),
        settings::Key::new(
            "drain-delay",
            settings::Type::millis(0, 60_000),
            "2s",
            "Time between the start of a planned stop, when the node stops being ready, and the \
             closing of its listeners; longer than the load balancer takes to notice.",
        ),
        settings::Key::new(
            "drain-limit",
            settings::Type::millis(0, 600_000),
            "30s",
            "Time that requests in progress get to finish at a planned stop.",
        ),
        shutdown::SETTING,
        memory::SETTING,
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static IDENTITY: plugin::Plugin = plugin::Plugin {
    name: "identity",
    kind: plugin::Kind::Port,
    section: Some(&SECTION),
    check: shutdown::check,
    open,
};

const SECRET_MIN_BYTES: usize = 16;

/// Identity and limits of a node.
#[derive(Debug)]
pub struct Identity {
    /// Id of the node, which is the id of its VM in the VM list.
    pub node: id::Node,
    /// Availability zone of the node.
    pub zone: id::Zone,
    /// Random id of this process, never 0; it tells restarts of the node apart.
    pub boot: u64,
    /// Address on which other nodes reach this node's link.
    pub link: net::SocketAddr,
    /// Address that the link listens on; equal to `link` unless a forwarded port is in between.
    pub bind: net::SocketAddr,
    /// Secret that all nodes share; it authenticates calls between them.
    pub secret: Secret,
    /// Maximum age of a VM's report at dispatch.
    pub view_bound: time::Duration,
    /// Time that requests in progress get to finish at a planned stop.
    pub drain_limit: time::Duration,
}

/// A secret read from a file; its `Debug` output does not show it.
pub struct Secret(Vec<u8>);

impl Secret {
    /// Reads a secret from a file, without trailing whitespace.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or the secret has fewer than 16 bytes.
    pub fn read(path: &std::path::Path) -> io::Result<Self> {
        let bytes = fs::read(path)?.trim_ascii_end().to_vec();
        if bytes.len() < SECRET_MIN_BYTES {
            let hint = format!("the file holds fewer than {SECRET_MIN_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, hint));
        }
        Ok(Self(bytes))
    }

    /// The bytes of the secret.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

/// Reads the secret from the file that a key of a settings section names.
///
/// # Errors
///
/// When the key is absent, the file cannot be read or the secret is too short.
pub fn read_secret(
    settings: &settings::Settings,
    section: &'static str,
    key: &'static str,
) -> plugin::Result<Secret> {
    let path = settings.section(section).path(key).ok_or(plugin::Error::Settings {
        plugin: section,
        message: format!("[{section}] {key} is required"),
    })?;
    Secret::read(path).map_err(|source| plugin::Error::File {
        plugin: section,
        path: path.display().to_string(),
        source,
    })
}

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    let node = host.settings.section("node");
    let identity = Identity {
        node: node.text("id").into(),
        zone: node.text("zone").into(),
        boot: rand::random::<u64>().max(1),
        link: node.address("link"),
        bind: node.optional_address("link-bind").unwrap_or_else(|| node.address("link")),
        secret: read_secret(&host.settings, "node", "secret-file")?,
        view_bound: node.duration("view-bound"),
        drain_limit: node.duration("drain-limit"),
    };
    let known = membership::Members::new(
        identity.node.clone(),
        identity.zone.clone(),
        identity.link,
        identity.boot,
        host.now(),
    );
    host.provide(sync::Arc::new(table::Table::new(members::Members::new(known))));
    host.provide(sync::Arc::new(identity));
    Ok(plugin::Handle::idle())
}
