//! Faults that stand-ins inject: one file with a descriptor for each, and the state that they set.
#![allow(unsafe_code, reason = "linkme places descriptors in a link section")]

mod answer_lost;
mod cold_again;
mod crash;
mod down;
mod gapped_events;
mod ignore_fencing;
mod lagging_list;
mod late_events;
mod lease_lapse;
mod pause;
mod silent;
mod slow;
mod truncate;
mod wrong_id;

use std::{fmt, time};

use corneltrestle_kernel::linkme::distributed_slice;

/// The result of looking up a fault.
pub type Result<T> = std::result::Result<T, Error>;

/// A fault that does not exist, or a list of faults that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What was given.
    pub found: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = FAULTS.iter().map(|fault| fault.name).collect();
        write!(
            f,
            "found fault {:?}; expected NAME or NAME:NUMBER of {}",
            self.found,
            names.join(", ")
        )
    }
}

impl std::error::Error for Error {}

/// The descriptor of a fault.
#[derive(Debug)]
pub struct Fault {
    /// Name in settings and at the control endpoint.
    pub name: &'static str,
    /// What it does and what its value means.
    pub help: &'static str,
    /// The value if none is given.
    pub default: u64,
    /// Sets or resets the state that servers read.
    pub apply: fn(&mut State, Switch),
}

/// All faults.
#[distributed_slice]
#[linkme(crate = corneltrestle_kernel::linkme)]
pub static FAULTS: [Fault];

/// How a fault is switched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Switch {
    /// Whether it is on.
    pub on: bool,
    /// Its value, in the unit that its help names.
    pub value: u64,
}

/// The state of the faults of one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Delay of each answer.
    pub delay: time::Duration,
    /// Status of every answer.
    pub status: Option<hyper::StatusCode>,
    /// Whether the port is closed.
    pub refusing: bool,
    /// Whether the VM is gone.
    pub crashed: bool,
    /// Whether answers wait.
    pub paused: bool,
    /// Number of writes whose answers are still to be lost.
    pub lost_responses: u64,
    /// Number of frames before a stream is cut.
    pub cut_after: Option<u64>,
    /// Index of the first event with a foreign request id.
    pub wrong_id: Option<u64>,
    /// Number of times that all connections were broken.
    pub disconnects: u64,
    /// Number of times that all connections fell silent.
    pub silenced: u64,
    /// Number of engine restarts that keep the loaded model.
    pub restarts: u64,
    /// Number of VM restarts that lose everything.
    pub resets: u64,
    /// Number of times that all leases lapsed.
    pub lease_expiries: u64,
    /// Age at which cache events become visible.
    pub event_delay: time::Duration,
    /// Every cache event with a multiple of this number is missing; 0 for none.
    pub event_gap: u64,
    /// Lag of the VM list, in place of the configured one.
    pub list_lag: Option<time::Duration>,
    /// Whether orders with an old fencing token are accepted.
    pub unfenced: bool,
}

impl Switch {
    /// The value, or 0 when switched off.
    pub fn value_or_zero(self) -> u64 {
        if self.on { self.value } else { 0 }
    }

    /// The value as milliseconds, or none when switched off.
    pub fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.value_or_zero())
    }

    /// The value if switched on.
    pub fn enabled_value(self) -> Option<u64> {
        self.on.then_some(self.value)
    }
}

impl State {
    /// Whether the port is open.
    pub fn listening(&self) -> bool {
        !self.refusing && !self.crashed
    }
}

/// The fault with this name.
///
/// # Errors
///
/// When there is none.
pub fn find(name: &str) -> Result<&'static Fault> {
    FAULTS.iter().find(|fault| fault.name == name).ok_or_else(|| Error { found: name.to_owned() })
}

/// Reads a list such as `slow:200, ignore-fencing` into names and values.
///
/// # Errors
///
/// The first entry that is not the name of a fault with or without a number.
///
/// # Examples
///
/// ```
/// use corneltrestle_standin::fault;
///
/// let list = fault::parse_list("slow:200, ignore-fencing").unwrap();
/// assert_eq!(list, [("slow", Some(200)), ("ignore-fencing", None)]);
/// assert!(fault::parse_list("slow:long").is_err());
/// ```
pub fn parse_list(text: &str) -> Result<Vec<(&'static str, Option<u64>)>> {
    let entries = text.split(',').map(str::trim).filter(|entry| !entry.is_empty());
    entries
        .map(|entry| {
            let (name, value) = entry.split_once(':').map_or((entry, None), |(n, v)| (n, Some(v)));
            let value = value.map(|value| value.trim().parse()).transpose();
            let value = value.map_err(|_| Error { found: entry.to_owned() })?;
            Ok((find(name.trim())?.name, value))
        })
        .collect()
}
