//! Requests of this node's callers by service and model.

use std::collections;

use corneltrestle_kernel::table;
use corneltrestle_policy::{demand, deployment, id};
use corneltrestle_time::moment;

/// Requests by service and model; lock rank 62.
#[derive(Debug, Default)]
pub struct Demand {
    /// Request rates and sizes by model, for each service: two may serve models of one name.
    meters: collections::BTreeMap<id::Service, demand::Meter>,
}

impl Demand {
    /// The meter of a service.
    pub fn meter(&mut self, service: &id::Service) -> &mut demand::Meter {
        self.meters.entry(service.clone()).or_default()
    }

    /// Demand for a model of a service at this node.
    pub fn of(
        &self,
        service: &id::Service,
        model: &str,
        engine: &deployment::Engine,
        now: moment::Moment,
    ) -> demand::Demand {
        let meter = self.meters.get(service);
        meter.map(|meter| meter.demand(model, engine, now)).unwrap_or_default()
    }
}

impl table::Ranked for Demand {
    const RANK: u16 = 62;
    const NAME: &'static str = "demand";
}
