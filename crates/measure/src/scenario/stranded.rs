//! Scenario `stranded`: accelerators that are idle while a replica is missing, over a day in
//! simulated time.
//!
//! The planner of the lease holder and a first-fit baseline get the same events: VMs that fail or
//! restart, and a fabric domain that goes down.

mod first_fit;
mod model;

use std::time;

use corneltrestle_kernel::linkme;

use super::Result;
use crate::{report, scenario};

pub use first_fit::simulate_first_fit;
pub use model::simulate_planner;

#[linkme::distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static STRANDED: scenario::Scenario = scenario::Scenario {
    name: "stranded",
    summary: "accelerators that are idle while a replica is missing, over a simulated day",
    run,
};

/// Accelerators of a VM: 2,400 on 600 VMs at the target.
const ACCELERATORS_PER_VM: f64 = 4.0;
/// Time that a VM takes to load a model.
pub const LOAD_TIME: time::Duration = time::Duration::from_secs(120);
/// Replicas of a zone that may load at the same time, which bounds the load on the weight store.
pub const MAX_LOADS: usize = 4;

/// A zone and the events of a day in it.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    /// VMs in each fabric domain.
    pub fabrics: &'static [usize],
    /// VMs of a replica.
    pub size: usize,
    /// Replicas that the release note declares.
    pub replicas: usize,
    /// Number of VMs that fail and are replaced after an hour.
    pub failures: usize,
    /// Number of VMs that restart or are replaced within two minutes.
    pub restarts: usize,
    /// Whether a fabric domain is down for two hours.
    pub is_fabric_lost: bool,
    /// Simulated time.
    pub duration: time::Duration,
}

/// One zone of the target with its share of the failures of the target.
pub const TARGET: Day = Day {
    fabrics: &[19, 19, 19, 18],
    size: 16,
    replicas: 4,
    failures: 1,
    restarts: 40,
    is_fabric_lost: true,
    duration: time::Duration::from_secs(24 * 3_600),
};

/// One zone of the target with the failures of all zones.
pub const TARGET_ALL_FAILURES: Day = Day { failures: 8, restarts: 320, ..TARGET };

/// One zone of a present-day deployment, with restarts and failures at the rate per VM of the
/// target.
pub const TODAY: Day = Day { fabrics: &[6, 6, 5], size: 3, replicas: 5, restarts: 9, ..TARGET };

/// Measured values of a day.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measurement {
    /// VM-seconds idle although the VMs could have formed a replica and another load was allowed.
    pub formable: f64,
    /// VM-seconds idle although the VMs could have formed a replica, because [`MAX_LOADS`] replicas
    /// were loading.
    pub load_limited: f64,
    /// VM-seconds idle while a replica was missing, of VMs that could not form one.
    pub fragmented: f64,
    /// Replica-seconds during which a declared replica did not serve.
    pub downtime: f64,
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("stranded", options.seed);
    for (name, day) in [
        ("zone of the target", TARGET),
        ("zone of the target, failures of all zones", TARGET_ALL_FAILURES),
        ("zone of today", TODAY),
    ] {
        options.print_progress(name);
        let (ours, baseline) =
            (simulate_planner(&day, options.seed), simulate_first_fit(&day, options.seed));
        let mut figure = |what: &str, unit, of: fn(&Measurement) -> f64| {
            report.figure(&format!("{name}: {what}"), unit, of(&ours), Some(of(&baseline)));
        };
        let hours = "accelerator-h";
        figure("idle, could form a replica", hours, |o| o.formable * ACCELERATORS_PER_VM / 3_600.0);
        figure("idle, load limit", hours, |o| o.load_limited * ACCELERATORS_PER_VM / 3_600.0);
        figure("idle, could not form one", hours, |o| o.fragmented * ACCELERATORS_PER_VM / 3_600.0);
        figure("replica downtime", "h", |o| o.downtime / 3_600.0);
        report.goal(
            &format!("{name}: nothing idle that could form a replica"),
            ours.formable == 0.0,
            format!("{:.2} accelerator-h", ours.formable * ACCELERATORS_PER_VM / 3_600.0),
        );
    }
    report.remark(
        "75 VMs in 4 fabric domains, 4 replicas of 16; today 17 VMs in 3, 5 replicas of 3; a load \
         takes 120 s, 4 at a time; a failed VM is back after 1 h, a restarted one after 2 min, a \
         lost domain after 2 h; the planner runs alone, without sockets",
    );
    report.remark(
        "a VM counts as idle after 13 s, the sum of the order timeout and the maximum age of a \
         report; baseline: first free VMs in a fixed order, replicas across domains count as not serving",
    );
    Ok(report)
}
