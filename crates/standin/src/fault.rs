//! Fault injection: a registry of faults, one file each, and the state that they change.
//!
//! A fault only changes [`State`]; servers and stand-ins read it and act on it.
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

/// The result of looking up or parsing faults.
pub type Result<T> = std::result::Result<T, Error>;

/// An unknown fault, or an entry of a fault list that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The name or entry as given.
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

/// The descriptor of a fault, registered in [`FAULTS`].
#[derive(Debug)]
pub struct Fault {
    /// Name in settings and in `POST /control/faults`.
    pub name: &'static str,
    /// Help text: what the fault does and the unit of its value.
    pub help: &'static str,
    /// Value that is used if none is given.
    pub default: u64,
    /// Changes the state when the fault is switched on or off.
    pub apply: fn(&mut State, Switch),
}

/// All faults, in no particular order.
#[distributed_slice]
#[linkme(crate = corneltrestle_kernel::linkme)]
pub static FAULTS: [Fault];

/// A request to switch a fault on or off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Switch {
    /// Whether it is on.
    pub on: bool,
    /// Value in the unit that the help of the fault names.
    pub value: u64,
}

/// The faults in effect at one server. Counters only grow; servers act when one has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Delay of each response, and of each token after the first; zero for none.
    pub delay: time::Duration,
    /// Status with which every call fails; calls are served normally if absent.
    pub status: Option<hyper::StatusCode>,
    /// Whether the fault `down` keeps the port closed.
    pub refusing: bool,
    /// Whether the VM is down; its port is closed as well.
    pub crashed: bool,
    /// Whether responses are held back until this is false again.
    pub paused: bool,
    /// Number of coming writes whose responses are dropped.
    pub lost_responses: u64,
    /// Number of frames after which a stream is cut; whole bodies are cut in the middle. `None` for
    /// complete bodies.
    pub cut_after: Option<u64>,
    /// Index of the first event with the id of another request; 0 also changes the header.
    pub wrong_id: Option<u64>,
    /// Number of times that all connections were closed.
    pub disconnects: u64,
    /// Number of times that all open connections stopped responding while staying open.
    pub silenced: u64,
    /// Number of engine restarts that keep the loaded model.
    pub restarts: u64,
    /// Number of VM restarts that lose the loaded model and the membership.
    pub resets: u64,
    /// Number of times that all leases were made to expire.
    pub lease_expiries: u64,
    /// Age at which cache events become visible.
    pub event_delay: time::Duration,
    /// Every cache event with a multiple of this number is missing; 0 for none.
    pub event_gap: u64,
    /// Lag of the VM list; the configured lag applies if absent.
    pub list_lag: Option<time::Duration>,
    /// Whether orders with an old fencing token are accepted.
    pub unfenced: bool,
}

impl Switch {
    /// The value, or 0 when switched off.
    pub fn value_or_zero(self) -> u64 {
        if self.on { self.value } else { 0 }
    }

    /// The value in milliseconds, or zero when switched off.
    pub fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.value_or_zero())
    }

    /// The value, or `None` when switched off.
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

/// Finds a fault by name.
///
/// # Errors
///
/// When no fault has this name.
pub fn find(name: &str) -> Result<&'static Fault> {
    FAULTS.iter().find(|fault| fault.name == name).ok_or_else(|| Error { found: name.to_owned() })
}

/// Parses a comma-separated list such as `slow:200, ignore-fencing` into names and values.
///
/// # Errors
///
/// The first entry that is not `NAME` or `NAME:NUMBER` with the name of a fault.
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
