//! Stand-in for a model engine: one VM, which may be a member of a replica.
//!
//! The generated text is a function of the prompt alone, so that every engine continues a stream
//! with the same tokens. Loading, prefill and decoding are simulated by sleeping.

mod cache;
mod fabric;
mod generate;
mod orders;
mod slots;

use std::{collections, net, sync, time};

use corneltrestle_kernel::{
    clock::{self, Clock},
    table::{self, Ranked},
};
use corneltrestle_policy::{id, report};
use corneltrestle_time::moment;

use crate::{
    fault,
    server::{self, Api},
};

pub use fabric::Fabric;
pub use generate::generated_text;

/// A running engine.
pub type Handle = server::Handle<Engine>;

/// Most recent requests whose KV cache can be exported.
const MAX_EXPORTS: usize = 256;

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Id of the VM, as in the VM list.
    pub vm: id::Vm,
    /// Membership shared by all engines of the process; members of a replica must use the same one.
    pub fabric: Fabric,
    /// Time to load a model, from the order until the phase is ready.
    pub load_time: time::Duration,
    /// Time to the first token of an uncached prompt when no other request runs.
    pub first_token: time::Duration,
    /// Time between tokens when no other request runs.
    pub between_tokens: time::Duration,
    /// Requests that are decoded concurrently.
    pub slots: u32,
    /// Requests that may wait for a slot; further ones are refused with status 429.
    pub queue: u32,
    /// Requests in progress that a newly started engine takes without overload. The limit doubles
    /// each time that as many requests have finished.
    pub cold_limit: u64,
    /// KV cache capacity in blocks; each block holds one prefix.
    pub blocks: u32,
    /// Whether orders with an old fencing token are rejected as stale.
    pub fencing: bool,
    /// Longest age of the load figures in reports; zero for current figures.
    pub report_lag: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            vm: "vm-0".into(),
            fabric: Fabric::default(),
            load_time: time::Duration::ZERO,
            first_token: time::Duration::ZERO,
            between_tokens: time::Duration::ZERO,
            slots: 8,
            queue: 32,
            cold_limit: 2,
            blocks: 1024,
            fencing: true,
            report_lag: time::Duration::ZERO,
        }
    }
}

/// The engine of one VM.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    clock: clock::System,
    orders: table::Table<orders::Orders>,
    state: table::Table<State>,
}

#[derive(Debug)]
struct State {
    /// Random id of this start of the engine.
    start: u64,
    slots: slots::Slots,
    cache: cache::Cache,
    /// Request ids with their prefixes, oldest first.
    exports: collections::VecDeque<(String, Vec<u64>)>,
    /// The load figures of the latest reports, and when they were taken.
    reported: Option<(moment::Moment, Load)>,
}

/// The load figures of a report.
#[derive(Clone, Copy, Debug)]
struct Load {
    running: u32,
    waiting: u32,
    finished: u64,
    blocks: u32,
}

impl Ranked for State {
    const RANK: u16 = 250;
    const NAME: &'static str = "standin-engine";
}

/// Binds an engine and serves it on the current tokio runtime.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn bind(config: Config) -> server::Result<Handle> {
    let listen = config.listen;
    config.fabric.update(&config.vm, |member| *member = fabric::Member::idle());
    let state = table::Table::new(State::new(&config));
    let orders = table::Table::default();
    server::bind(Engine { config, clock: clock::System::open(), orders, state }, listen).await
}

impl State {
    fn new(config: &Config) -> Self {
        Self {
            start: rand::random(),
            slots: slots::Slots::new(config.cold_limit),
            cache: cache::Cache::new(config.blocks),
            exports: collections::VecDeque::new(),
            reported: None,
        }
    }

    /// Simulates a restart of the engine; requests in progress keep their slots until they end.
    fn restart(&mut self, config: &Config) {
        self.start = rand::random();
        self.slots.restart(config.cold_limit);
        self.cache = cache::Cache::new(config.blocks);
        self.exports.clear();
        self.reported = None;
    }

    fn load(&self) -> Load {
        Load {
            running: self.slots.running(),
            waiting: self.slots.waiting(),
            finished: self.slots.finished(),
            blocks: self.cache.free(),
        }
    }

    /// The load figures, taken anew once they are `report_lag` old.
    fn cached_load(&mut self, report_lag: time::Duration, now: moment::Moment) -> Load {
        match self.reported {
            Some((taken, load)) if now.since(taken) < report_lag => load,
            _ => {
                let load = self.load();
                self.reported = Some((now, load));
                load
            }
        }
    }

    fn export(&mut self, id: &str, prefixes: &[u64]) {
        if self.exports.len() == MAX_EXPORTS {
            self.exports.pop_front();
        }
        self.exports.push_back((id.to_owned(), prefixes.to_vec()));
    }
}

impl Engine {
    /// Id of the VM.
    pub fn vm(&self) -> &id::Vm {
        &self.config.vm
    }

    /// Requests that arrived while the engine already had as many as its warm-up allows.
    pub fn overloads(&self) -> u64 {
        self.state.lock().slots.overloads()
    }

    /// The report that `GET /v1/report` returns.
    pub fn report(&self) -> report::Report {
        let member = self.config.fabric.member(&self.config.vm);
        let model = self.orders.lock().model.clone();
        let mut state = self.state.lock();
        let load = state.cached_load(self.config.report_lag, self.now());
        report::Report {
            vm: self.config.vm.clone(),
            replica: member.replica,
            epoch: member.epoch,
            start: state.start,
            model: model.name,
            adapter: model.adapter,
            version: model.version,
            phase: member.phase,
            running: load.running,
            waiting: load.waiting,
            finished: load.finished,
            blocks: load.blocks,
            sequence: state.cache.sequence(),
        }
    }

    fn now(&self) -> moment::Moment {
        self.clock.now()
    }

    fn events(&self, call: &server::Call, shared: &server::Shared) -> server::Reply {
        let faults = shared.faults();
        let after = call.query_number("after").unwrap_or(0);
        let now = self.now();
        let state = self.state.lock();
        let events = state.cache.events(after, now, faults.event_delay, faults.event_gap);
        server::json(hyper::StatusCode::OK, &events.collect::<Vec<_>>())
    }

    fn export(&self, id: &str) -> server::Reply {
        let state = self.state.lock();
        match state.exports.iter().rev().find(|(known, _)| known == id) {
            Some((_, prefixes)) => server::json(hyper::StatusCode::OK, prefixes),
            None => server::failure(hyper::StatusCode::NOT_FOUND, "unknown", "no such request"),
        }
    }

    fn import(&self, id: &str, body: &[u8]) -> server::Reply {
        let Ok(prefixes) = serde_json::from_slice::<Vec<u64>>(body) else {
            return server::failure(
                hyper::StatusCode::BAD_REQUEST,
                "invalid",
                "not an exported cache",
            );
        };
        let now = self.now();
        let mut state = self.state.lock();
        state.cache.insert(&prefixes, now);
        state.export(id, &prefixes);
        empty()
    }

    fn cancel(&self, id: &str) -> server::Reply {
        if self.state.lock().slots.cancel(id) {
            return empty();
        }
        server::failure(hyper::StatusCode::NOT_FOUND, "unknown", "no such request")
    }
}

fn empty() -> server::Reply {
    server::reply(hyper::StatusCode::NO_CONTENT, server::Body::whole(bytes::Bytes::new()))
}

impl Api for Engine {
    fn kind(&self, method: &hyper::Method, path: &str) -> server::Kind {
        let (name, write) = match (method, path) {
            (&hyper::Method::GET, "/v1/report") => ("report", false),
            (&hyper::Method::GET, "/v1/cache-events") => ("cache-events", false),
            (&hyper::Method::POST, "/v1/orders") => ("order", true),
            (&hyper::Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                ("generate", true)
            }
            (&hyper::Method::DELETE, path) if path.starts_with("/v1/requests/") => ("cancel", true),
            (&hyper::Method::GET, path) if path.starts_with("/v1/kv/") => ("export", false),
            (&hyper::Method::PUT, path) if path.starts_with("/v1/kv/") => ("import", true),
            _ => ("unknown", false),
        };
        server::Kind { name, write }
    }

    async fn answer(
        self: &sync::Arc<Self>,
        call: &server::Call,
        shared: &sync::Arc<server::Shared>,
    ) -> server::Reply {
        let last = call.path.rsplit('/').next().unwrap_or("");
        match self.kind(&call.method, &call.path).name {
            "report" => server::json(hyper::StatusCode::OK, &self.report()),
            "cache-events" => self.events(call, shared),
            "order" => orders::answer(self, &call.body, shared),
            "generate" => generate::answer(self, call, shared).await,
            "cancel" => self.cancel(last),
            "export" => self.export(last),
            "import" => self.import(last, &call.body),
            _ => server::failure(hyper::StatusCode::NOT_FOUND, "unknown", "no such call"),
        }
    }

    fn counts(&self, counts: &mut collections::BTreeMap<String, u64>) {
        let state = self.state.lock();
        counts.insert("overload".to_owned(), state.slots.overloads());
        counts.insert("finished".to_owned(), state.slots.finished());
        counts.insert("cancelled".to_owned(), state.slots.cancelled());
    }

    fn faults_changed(&self, before: &fault::State, after: &fault::State) {
        let live = !after.crashed && !after.paused;
        let was_reset = after.resets > before.resets;
        if was_reset || after.restarts > before.restarts {
            self.state.lock().restart(&self.config);
        }
        let mut orders = self.orders.lock();
        if was_reset {
            *orders = orders::Orders::default();
        }
        self.config.fabric.update(&self.config.vm, |member| {
            if was_reset {
                *member = fabric::Member::idle();
            }
            member.live = live;
        });
    }

    fn stopped(&self) {
        self.config.fabric.update(&self.config.vm, |member| member.live = false);
    }
}
