//! Stand-in of a model engine: one VM, which may be a member of a replica.

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

/// Number of requests whose KV cache can be exported.
const MAX_EXPORTS: usize = 256;

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: net::SocketAddr,
    /// Name of the VM.
    pub vm: id::Vm,
    /// The VMs of this process, among which the members of a replica see each other.
    pub fabric: Fabric,
    /// Time to load a model.
    pub load_time: time::Duration,
    /// Time to the first token of an uncached prompt without other load.
    pub first_token: time::Duration,
    /// Time between tokens without other load.
    pub between_tokens: time::Duration,
    /// Requests decoded at the same time.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Requests in progress that a just started engine bears.
    pub cold_limit: u64,
    /// KV cache blocks; each holds one prefix.
    pub blocks: u32,
    /// Whether fencing tokens of orders are checked.
    pub fencing: bool,
    /// Age up to which load figures in reports may be old.
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
    start: u64,
    slots: slots::Slots,
    cache: cache::Cache,
    /// Prefixes of the latest requests, for export.
    exports: collections::VecDeque<(String, Vec<u64>)>,
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

/// Binds an engine on the workers of the present tokio runtime.
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

    /// Starts the engine anew; requests in progress keep their slots until they notice.
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

    /// The load figures, renewed when they are older than `lag`.
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
    /// Name of the VM.
    pub fn vm(&self) -> &id::Vm {
        &self.config.vm
    }

    /// Number of requests that arrived above what the engine could bear after its start.
    pub fn overloads(&self) -> u64 {
        self.state.lock().slots.overloads()
    }

    /// The present report.
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
