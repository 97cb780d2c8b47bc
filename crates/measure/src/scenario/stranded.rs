//! Scenario `stranded`: accelerators that idle while a replica is wanted, over a day of the planner
//! in simulated time.

mod first_fit;
mod model;

use std::time;

use corneltrestle_kernel::linkme;

use super::Result;
use crate::{report, scenario};

pub use first_fit::first_fit;
pub use model::planned;

#[linkme::distributed_slice(scenario::SCENARIOS)]
#[linkme(crate = linkme)]
static STRANDED: scenario::Scenario = scenario::Scenario {
    name: "stranded",
    summary: "accelerators that idle while a replica is wanted, over a simulated day",
    run,
};

/// Accelerators of a VM: 2,400 on 600 VMs at the target.
const ACCELERATORS: f64 = 4.0;
/// Time that an order to load takes.
pub const LOAD: time::Duration = time::Duration::from_secs(120);
/// Replicas that may load at the same time in a zone.
pub const LOADS: usize = 4;

/// A day in one zone.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    /// VMs in each fabric domain.
    pub fabrics: &'static [usize],
    /// VMs of a replica.
    pub size: usize,
    /// Replicas declared.
    pub replicas: usize,
    /// VMs that fail and are replaced after an hour.
    pub failures: usize,
    /// VMs that restart or are replaced within two minutes.
    pub restarts: usize,
    /// Whether a fabric domain is dark for two hours.
    pub is_fabric_lost: bool,
    /// Length.
    pub length: time::Duration,
}

/// One zone of the target with its part of the target's failures.
pub const TARGET: Day = Day {
    fabrics: &[19, 19, 19, 18],
    size: 16,
    replicas: 4,
    failures: 1,
    restarts: 40,
    is_fabric_lost: true,
    length: time::Duration::from_secs(24 * 3_600),
};

/// One zone of the target with the failures of all zones.
pub const TARGET_ALL: Day = Day { failures: 8, restarts: 320, ..TARGET };

/// One zone of a current deployment, with restarts and failures at the target's rate for each VM.
pub const TODAY: Day = Day { fabrics: &[6, 6, 5], size: 3, replicas: 5, restarts: 9, ..TARGET };

/// What a day showed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// VM-seconds idle although a replica could have been formed of them and a load was allowed.
    pub formable: f64,
    /// VM-seconds idle because the weight store's rate was used up.
    pub waiting: f64,
    /// VM-seconds idle while wanted that could not form a replica.
    pub scattered: f64,
    /// Replica-seconds without service.
    pub down: f64,
}

fn run(options: &scenario::Options) -> Result<report::Report> {
    let mut report = report::Report::new("stranded", options.seed);
    for (name, day) in [
        ("zone of the target", TARGET),
        ("zone of the target, failures of all zones", TARGET_ALL),
        ("zone of today", TODAY),
    ] {
        options.say(name);
        let (ours, baseline) = (planned(&day, options.seed), first_fit(&day, options.seed));
        let mut figure = |what: &str, unit, of: fn(&Outcome) -> f64| {
            report.figure(&format!("{name}: {what}"), unit, of(&ours), Some(of(&baseline)));
        };
        let hours = "accelerator-h";
        figure("idle, could form a replica", hours, |o| o.formable * ACCELERATORS / 3_600.0);
        figure("idle, load limit", hours, |o| o.waiting * ACCELERATORS / 3_600.0);
        figure("idle, could not form one", hours, |o| o.scattered * ACCELERATORS / 3_600.0);
        figure("replica downtime", "h", |o| o.down / 3_600.0);
        report.goal(
            &format!("{name}: nothing idle that could form a replica"),
            ours.formable == 0.0,
            format!("{:.2} accelerator-h", ours.formable * ACCELERATORS / 3_600.0),
        );
    }
    report.remark(
        "75 VMs in 4 fabric domains, 4 replicas of 16; today 17 VMs in 3, 5 replicas of 3; a load \
         takes 120 s, 4 at a time; a failed VM is back after 1 h, a restarted one after 2 min, a \
         dark domain after 2 h; pure planner, no sockets",
    );
    report.remark(
        "a VM counts as idle once it has been for 13 s, the order timeout and the view bound; \
         baseline: first free VMs in a fixed order, replicas across domains count as not serving",
    );
    Ok(report)
}
