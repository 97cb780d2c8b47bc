//! Limits set by the operators of the platform in the settings.

use std::{sync, time};

use corneltrestle_kernel::{host, linkme, plugin, settings};
use corneltrestle_policy::{quarantine, retry::fleet};

use crate::tables;

/// Limits that are not part of the configuration in the store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The retry budget of each service, over all nodes.
    pub retries: fleet::Limits,
    /// Time after the start of the process within which requests wait for the configuration.
    pub start_wait: time::Duration,
}

static SECTION: settings::Section = settings::Section {
    name: "limits",
    help: "Limits shared by all nodes.",
    keys: &[
        settings::Key::new(
            "retry-ratio",
            settings::Type::Text,
            "0.1",
            "Retries allowed, as a fraction of the requests of a service.",
        ),
        settings::Key::new(
            "retry-slack",
            settings::Type::Text,
            "30",
            "Retries allowed in addition in each window, for each service.",
        ),
        settings::Key::new(
            "retry-window",
            settings::Type::millis(1_000, 600_000),
            "10s",
            "Window over which requests and retries are counted.",
        ),
        settings::Key::new(
            "start-wait",
            settings::Type::millis(0, 60_000),
            "0s",
            "Time after the start of the process within which requests wait for the configuration; later ones are refused at once.",
        ),
        settings::Key::new(
            "quarantine-crashes",
            settings::Type::Count { min: 1, max: 100 },
            "4",
            "Crashes of upstreams after which a part of prompts is quarantined, if no request with it has begun.",
        ),
        settings::Key::new(
            "quarantine-trial",
            settings::Type::millis(1_000, 86_400_000),
            "20s",
            "Time after which one request with a quarantined part is tried; doubled after each crash by a trial.",
        ),
        settings::Key::new(
            "quarantine-retention",
            settings::Type::millis(1_000, 86_400_000),
            "10m",
            "Longest time between two trials, and time for which a crash is evidence.",
        ),
        settings::Key::new(
            "admission",
            settings::Type::Choice(&["open", "fair", "ranked"]),
            "open",
            "Requests to models while more arrive than the groups serve in time: `open` sends all at once, `fair` lets those beyond the node's share wait or refuses them, `ranked` does so for services whose requests differ in priority.",
        ),
    ],
};

#[linkme::distributed_slice(plugin::PLUGINS)]
#[linkme(crate = linkme)]
static LIMITS: plugin::Plugin = plugin::Plugin {
    name: "limits",
    kind: plugin::Kind::Port,
    section: Some(&SECTION),
    check,
    open,
};

fn check(settings: &settings::Settings) -> plugin::Result<()> {
    limits(settings).map(|_| ())
}

fn open(host: &sync::Arc<host::Host>) -> plugin::Result<plugin::Handle> {
    host.provide(sync::Arc::new(limits(&host.settings)?));
    let section = host.settings.section(SECTION.name);
    let quarantined = quarantine::Limits {
        crashes: usize::try_from(section.count("quarantine-crashes")).unwrap_or(usize::MAX),
        trial: section.duration("quarantine-trial"),
        retention: section.duration("quarantine-retention"),
    };
    let table = host.table::<tables::quarantine::Quarantine>();
    *table.lock() = tables::quarantine::Quarantine::new(quarantined, rand::random());
    let mode = match section.text("admission") {
        "fair" => tables::gates::Mode::Fair,
        "ranked" => tables::gates::Mode::Ranked,
        _ => tables::gates::Mode::Open,
    };
    *host.table::<tables::gates::Gates>().lock() = tables::gates::Gates::new(mode);
    Ok(plugin::Handle::idle())
}

fn limits(settings: &settings::Settings) -> plugin::Result<Limits> {
    let section = settings.section(SECTION.name);
    let number = |key: &'static str| {
        let text = section.text(key);
        text.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0).ok_or_else(
            || plugin::Error::Settings {
                plugin: "limits",
                message: format!("[limits] {key}: `{text}` is not a number of at least 0"),
            },
        )
    };
    let retries = fleet::Limits {
        ratio: number("retry-ratio")?,
        slack: number("retry-slack")?,
        window: section.duration("retry-window"),
    };
    Ok(Limits { retries, start_wait: section.duration("start-wait") })
}
