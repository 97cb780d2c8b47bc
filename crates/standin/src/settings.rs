//! Settings of the binary, one section for each kind of stand-in, and the start of its servers.

use std::{collections, io, path};

use corneltrestle_kernel::{ini, settings};

use crate::{engine, fault, server, service, store, vms};

/// Upper limit of every duration in the settings.
const MAX_TIME_MS: u64 = 600_000;

const LISTEN: settings::Key = settings::Key::new(
    "listen",
    settings::Type::Address,
    "127.0.0.1:0",
    "Address of the server, or of the first VM.",
);
const CONTROL: settings::Key = settings::Key::new(
    "control",
    settings::Type::Address,
    "127.0.0.1:0",
    "Address of the control port, which stays open when a server crashes.",
);
const FAULTS: settings::Key = settings::Key::optional(
    "faults",
    settings::Type::Text,
    "Faults that are on from the start, as NAME or NAME:NUMBER, separated by commas.",
);

/// The section `[store]` of the key-value store.
pub static STORE: settings::Section = settings::Section {
    name: "store",
    help: "The key-value store.",
    keys: &[
        LISTEN,
        CONTROL,
        FAULTS,
        settings::Key::new(
            "progress",
            settings::Type::millis(10, MAX_TIME_MS),
            "1s",
            "Time between progress notifications of a watch.",
        ),
    ],
};

/// The section `[vms]` of the VM list.
pub static VMS: settings::Section = settings::Section {
    name: "vms",
    help: "The VM list; its entries are set with POST /control/vms.",
    keys: &[
        LISTEN,
        CONTROL,
        FAULTS,
        settings::Key::new(
            "lag",
            settings::Type::millis(0, MAX_TIME_MS),
            "0s",
            "Time until a change of the list becomes visible.",
        ),
    ],
};

/// The section `[service]` of the order service.
pub static SERVICE: settings::Section = settings::Section {
    name: "service",
    help: "The order service.",
    keys: &[
        LISTEN,
        CONTROL,
        FAULTS,
        settings::Key::new(
            "time",
            settings::Type::millis(0, MAX_TIME_MS),
            "0s",
            "Time that each call takes.",
        ),
    ],
};

/// A stand-in that the binary can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The key-value store.
    Store,
    /// Model engines, one for each VM.
    Engine,
    /// The VM list.
    Vms,
    /// The order service.
    Service,
}

impl Kind {
    /// The kind with this name on the command line.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "store" => Some(Self::Store),
            "engine" => Some(Self::Engine),
            "vms" => Some(Self::Vms),
            "service" => Some(Self::Service),
            _ => None,
        }
    }

    /// The settings section of this kind.
    pub fn section(self) -> &'static settings::Section {
        match self {
            Self::Store => &STORE,
            Self::Engine => &ENGINE,
            Self::Vms => &VMS,
            Self::Service => &SERVICE,
        }
    }

    /// Loads and validates the settings file.
    ///
    /// # Errors
    ///
    /// All faults in the file, or that it cannot be read.
    pub fn load(self, path: &path::Path) -> settings::Result<settings::Settings> {
        let section = self.section();
        let settings = settings::Settings::load(path, &[section])?;
        let view = settings.section(section.name);
        let mut faults = Vec::new();
        if let Err(e) = fault::parse_list(view.text("faults")) {
            faults.push(self.invalid_value(path, "faults", view.text("faults"), e.to_string()));
        }
        if self == Self::Engine && !all_distinct(view.text("vms")) {
            let expected = "distinct names, separated by commas".to_owned();
            faults.push(self.invalid_value(path, "vms", view.text("vms"), expected));
        }
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(settings::Error::Faults { file: path.display().to_string(), faults })
    }

    /// A fault in a value that is valid for the type of its key but breaks another rule.
    fn invalid_value(
        self,
        path: &path::Path,
        key: &str,
        found: &str,
        expected: String,
    ) -> settings::Fault {
        let section = self.section().name;
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let document = ini::Document::parse(&text).unwrap_or_default();
        let line = document.named(section).find_map(|part| part.entry(key)).map_or(1, |e| e.line);
        let kind = settings::FaultKind::Invalid { found: found.to_owned(), expected };
        settings::Fault { line, section: section.to_owned(), key: key.to_owned(), kind }
    }
}

/// The section `[engine]` of the model engines.
pub static ENGINE: settings::Section = settings::Section {
    name: "engine",
    help: "Model engines, one for each VM, on consecutive ports from `listen`.",
    keys: &[
        LISTEN,
        CONTROL,
        FAULTS,
        settings::Key::required(
            "vms",
            settings::Type::Text,
            "Names of the VMs, separated by commas.",
        ),
        settings::Key::new(
            "load",
            settings::Type::millis(0, MAX_TIME_MS),
            "2s",
            "Time to load a model.",
        ),
        settings::Key::new(
            "first-token",
            settings::Type::millis(0, MAX_TIME_MS),
            "100ms",
            "Time to the first token of an uncached prompt without other load.",
        ),
        settings::Key::new(
            "per-token",
            settings::Type::millis(0, MAX_TIME_MS),
            "20ms",
            "Time between tokens without other load.",
        ),
        settings::Key::new(
            "slots",
            settings::Type::Count { min: 1, max: 4096 },
            "8",
            "Requests that are decoded concurrently.",
        ),
        settings::Key::new(
            "queue",
            settings::Type::Count { min: 0, max: 65_536 },
            "32",
            "Requests that may wait for a slot.",
        ),
        settings::Key::new(
            "cold-limit",
            settings::Type::Count { min: 1, max: 4096 },
            "2",
            "Requests in progress that a newly started engine takes without overload.",
        ),
        settings::Key::new(
            "blocks",
            settings::Type::Count { min: 0, max: 1_000_000 },
            "1024",
            "Capacity of the KV cache in blocks; each block holds one prefix.",
        ),
        settings::Key::new(
            "fencing",
            settings::Type::Choice(&["checked", "ignored"]),
            "checked",
            "Whether orders with an old fencing token are rejected.",
        ),
        settings::Key::new(
            "report-lag",
            settings::Type::millis(0, MAX_TIME_MS),
            "0s",
            "Longest age of the load figures in reports.",
        ),
    ],
};

/// The running servers of one process.
#[derive(Debug)]
pub struct Running<A> {
    /// The servers by name: the VM id for engines, the section name for others.
    pub servers: Vec<(String, server::Handle<A>)>,
    /// The control port of all servers.
    pub control: server::Handle<server::Control<A>>,
}

impl<A: server::Api> Running<A> {
    async fn open(
        view: settings::View<'_>,
        servers: Vec<(String, server::Handle<A>)>,
    ) -> server::Result<Self> {
        let faults = fault::parse_list(view.text("faults")).map_err(io::Error::other)?;
        for (name, server) in &servers {
            log::info!("standin: {name} listens on {}", server.address());
            for (fault, value) in &faults {
                server.switch(fault, true, *value).map_err(io::Error::other)?;
            }
        }
        let listen = view.address("control");
        let control = server::control(servers.clone(), listen).await?;
        log::info!("standin: control listens on {}", control.address());
        Ok(Self { servers, control })
    }

    /// Stops the control port, then all servers.
    pub async fn shutdown(&self) {
        self.control.shutdown().await;
        for (_, server) in &self.servers {
            server.shutdown().await;
        }
    }
}

/// Binds the key-value store and the control port.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn store(settings: &settings::Settings) -> server::Result<Running<store::Store>> {
    let view = settings.section(STORE.name);
    let config = store::Config {
        listen: view.address("listen"),
        progress_interval: view.duration("progress"),
    };
    let server = store::bind(config).await?;
    Running::open(view, vec![(STORE.name.to_owned(), server)]).await
}

/// Binds the VM list, empty at first, and the control port.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn vms(settings: &settings::Settings) -> server::Result<Running<vms::Vms>> {
    let view = settings.section(VMS.name);
    let config =
        vms::Config { listen: view.address("listen"), lag: view.duration("lag"), vms: Vec::new() };
    let server = vms::bind(config).await?;
    Running::open(view, vec![(VMS.name.to_owned(), server)]).await
}

/// Binds the order service and the control port.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn service(settings: &settings::Settings) -> server::Result<Running<service::Service>> {
    let view = settings.section(SERVICE.name);
    let config = service::Config { listen: view.address("listen"), latency: view.duration("time") };
    let server = service::bind(config).await?;
    Running::open(view, vec![(SERVICE.name.to_owned(), server)]).await
}

/// Binds one engine for each VM, on consecutive ports unless the first port is 0, and the control
/// port.
///
/// # Errors
///
/// When an address cannot be bound.
pub async fn engines(settings: &settings::Settings) -> server::Result<Running<engine::Engine>> {
    let view = settings.section(ENGINE.name);
    let count = |key| u32::try_from(view.count(key)).unwrap_or(u32::MAX);
    let mut config = engine::Config {
        listen: view.address("listen"),
        vm: "".into(),
        fabric: engine::Fabric::default(),
        load_time: view.duration("load"),
        first_token: view.duration("first-token"),
        between_tokens: view.duration("per-token"),
        slots: count("slots"),
        queue: count("queue"),
        cold_limit: view.count("cold-limit"),
        blocks: count("blocks"),
        fencing: view.text("fencing") == "checked",
        report_lag: view.duration("report-lag"),
    };
    let mut servers = Vec::new();
    for name in names(view.text("vms")) {
        config.vm = name.into();
        let server = engine::bind(config.clone()).await?;
        servers.push((name.to_owned(), server));
        if config.listen.port() != 0 {
            config.listen.set_port(config.listen.port().wrapping_add(1));
        }
    }
    Running::open(view, servers).await
}

fn names(list: &str) -> impl Iterator<Item = &str> {
    list.split(',').map(str::trim).filter(|name| !name.is_empty())
}

fn all_distinct(list: &str) -> bool {
    let mut seen = collections::HashSet::new();
    names(list).all(|name| seen.insert(name)) && !seen.is_empty()
}
