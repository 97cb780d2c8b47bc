//! Requests of this node's callers by service and model.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{demand, deployment, id, overhead};
use corneltrestle_time::moment;

/// Requests by service and model; lock rank 62.
#[derive(Debug, Default)]
pub struct Demand {
    /// Request rates and sizes by model, for each service: two may serve models of one name.
    meters: collections::BTreeMap<id::Service, demand::Meter>,
    /// Overhead of first events by model, for each service.
    overheads:
        collections::BTreeMap<id::Service, collections::BTreeMap<id::Model, overhead::Overhead>>,
}

impl Demand {
    /// The meter of a service.
    pub fn meter(&mut self, service: &id::Service) -> &mut demand::Meter {
        self.meters.entry(service.clone()).or_default()
    }

    /// Records when the first event of a stream came, and when it was predicted.
    pub fn record_first_event(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        predicted: time::Duration,
        actual: time::Duration,
    ) {
        let models = self.overheads.entry(service.clone()).or_default();
        models.entry(model.clone()).or_default().record(predicted, actual);
    }

    /// Time by which first events of a model come later than predicted.
    pub fn overhead(&self, service: &str, model: &str) -> time::Duration {
        let models = self.overheads.get(service);
        let known = models.and_then(|models| models.get(model));
        known.map_or(time::Duration::ZERO, overhead::Overhead::estimate)
    }

    /// Fraction of the requests of a service at this node that are for a model, see
    /// [`demand::Meter::fraction`].
    pub fn fraction(
        &self,
        service: &id::Service,
        model: &str,
        assumed: f64,
        now: moment::Moment,
    ) -> f64 {
        let meter = self.meters.get(service);
        meter.map_or(assumed, |meter| meter.fraction(model, assumed, now))
    }

    /// Relative standard error of the rate of a model, see [`demand::Meter::uncertainty`].
    pub fn uncertainty(&self, service: &id::Service, model: &str, now: moment::Moment) -> f64 {
        self.meters.get(service).map_or(1.0, |meter| meter.uncertainty(model, now))
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
