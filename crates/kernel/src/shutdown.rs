//! How long a node takes to stop, which also depends on when its platform kills it.

use std::time;

use crate::{lifecycle, plugin, settings};

/// Key of the time until the process is killed in the section `[node]`, which each program declares.
pub const SETTING: settings::Key = settings::Key::new(
    "grace",
    settings::Type::millis(0, 3_600_000),
    "0s",
    "Time from SIGTERM after which the platform kills the process. The drain delay and the drain limit are shortened so that the node ends before; 0s stands for no limit.",
);

/// Time before the process is killed by which the node has ended, for a signal that is handled late and
/// for answers to be written.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(500);

/// Time that a node needs to stop, whatever its drain delay is.
const MIN_GRACE: time::Duration = KILL_MARGIN.saturating_add(lifecycle::FIRST_REQUEST_GRACE);

/// Times of a stop, from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// When the listeners close.
    pub delay: time::Duration,
    /// When requests in progress are given up.
    pub end: time::Duration,
}

impl Times {
    /// The times that the section `[node]` configures.
    pub fn configured(settings: &settings::Settings) -> Self {
        let node = settings.section("node");
        let (delay, limit) = (node.duration("drain-delay"), node.duration("drain-limit"));
        Self::new(delay, limit, node.duration(SETTING.name))
    }

    /// The times with a drain delay, a drain limit and a time until the process is killed.
    pub fn new(delay: time::Duration, limit: time::Duration, grace: time::Duration) -> Self {
        if grace.is_zero() {
            return Self { delay, end: delay + limit };
        }
        let end = (delay + limit).min(grace.saturating_sub(KILL_MARGIN));
        // First requests are taken for a while after the listeners have closed.
        let last = end.saturating_sub(lifecycle::FIRST_REQUEST_GRACE);
        Self { delay: delay.min(last), end }
    }
}

/// Checks that a node can stop before it is killed.
///
/// # Errors
///
/// When the grace is too short for any drain delay.
pub fn check(settings: &settings::Settings) -> plugin::Result<()> {
    let grace = settings.section("node").duration(SETTING.name);
    if grace.is_zero() || grace > MIN_GRACE {
        return Ok(());
    }
    let (found, least) = (humantime::format_duration(grace), humantime::format_duration(MIN_GRACE));
    Err(plugin::Error::Settings {
        plugin: "node",
        message: format!(
            "[node] {}: found {found}; expected more than {least}, or 0s",
            SETTING.name
        ),
    })
}
