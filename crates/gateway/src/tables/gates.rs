//! Requests that wait for admission, by service and model.

use std::{collections, time};

use corneltrestle_kernel::table;
use corneltrestle_policy::{capacity, gate, id};
use corneltrestle_time::moment;
use tokio::sync::oneshot;

/// Time after a refusal for which requests that return may arrive.
const RETURN_TIME: time::Duration = time::Duration::from_secs(10);

/// Time between two log lines about one model.
const LOG_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Which requests pass at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// All of them.
    #[default]
    Open,
    /// Those that the groups serve in time.
    Fair,
    /// Those that the groups serve in time, for services whose requests differ in priority; all of the
    /// others.
    Ranked,
}

/// Gates of the models; lock rank 64.
#[derive(Debug, Default)]
pub struct Gates {
    mode: Mode,
    by_model: collections::BTreeMap<Key, Entry>,
    /// How long the clients of each route wait.
    routes: collections::BTreeMap<id::Route, gate::Clients>,
    /// Priorities of recent requests by service, in [`Mode::Ranked`].
    ranks: collections::BTreeMap<id::Service, gate::Ranks>,
}

/// A service and one of its models.
pub type Key = (id::Service, id::Model);

/// The gate of a model, with those that wait for its verdicts.
#[derive(Debug, Default)]
pub struct Entry {
    gate: gate::Gate,
    waiting: collections::HashMap<gate::Ticket, oneshot::Sender<gate::Verdict>>,
    /// Whether a task looks at the waiting requests.
    is_watched: bool,
    max_gap: Option<time::Duration>,
    capacity: capacity::Capacity,
    demand: f64,
    counts: Counts,
    /// When a request was last refused.
    refused: Option<moment::Moment>,
    logged: Option<moment::Moment>,
}

/// Requests since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were let pass at once or after a wait.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
}

/// The state of a gate, for metrics and the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Requests per second that the groups sustain.
    pub capacity: f64,
    /// Requests per second of all nodes, as far as they are known.
    pub demand: f64,
    /// Work per second that this node admits; `None` while it holds nothing back.
    pub rate: Option<f64>,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests since the last log line.
    pub counts: Counts,
}

/// What becomes of a request that arrives.
#[derive(Debug)]
pub enum Offered {
    /// It is decided.
    Decided(gate::Verdict),
    /// It waits for the verdict.
    Waits {
        /// Its number at the gate.
        ticket: gate::Ticket,
        /// Receives the verdict.
        verdict: oneshot::Receiver<gate::Verdict>,
        /// Whether a task has to be started that looks at the waiting requests.
        needs_watch: bool,
    },
}

impl table::Ranked for Gates {
    const RANK: u16 = 64;
    const NAME: &'static str = "gates";
}

impl Gates {
    /// Creates the table without gates.
    pub fn new(mode: Mode) -> Self {
        Self { mode, ..Self::default() }
    }

    /// Which requests pass at once.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Whether a request for a service, whose route has this priority, is subject to admission.
    pub fn applies(&mut self, service: &id::Service, priority: u8, now: moment::Moment) -> bool {
        match self.mode {
            Mode::Open => false,
            Mode::Fair => true,
            Mode::Ranked => {
                if !self.ranks.contains_key(service) {
                    self.ranks.insert(service.clone(), gate::Ranks::default());
                }
                self.ranks.get_mut(service).is_some_and(|ranks| {
                    ranks.record(priority, now);
                    ranks.are_mixed(now)
                })
            }
        }
    }

    /// Time since the client of a request first sent it; `None` if it is not known to have sent it
    /// before. `left` is the time until the client gives up.
    pub fn sent_before(
        &mut self,
        key: &Key,
        route: &id::Route,
        left: time::Duration,
        now: moment::Moment,
    ) -> Option<time::Duration> {
        let entry = self.entry(key);
        let has_refused = entry.refused.is_some_and(|at| now.since(at) < RETURN_TIME);
        let is_calm = entry.gate.rate().is_none() && !has_refused;
        let clients = self.routes.entry(route.clone()).or_default();
        if is_calm {
            clients.record(left, now);
        }
        clients.sent_before(left)
    }

    /// Adds the longest pause that a request allows to those of the model; the shortest counts.
    pub fn max_gap(&mut self, key: &Key, gap: Option<time::Duration>) -> Option<time::Duration> {
        let entry = self.entry(key);
        entry.max_gap = entry.max_gap.into_iter().chain(gap).min();
        entry.max_gap
    }

    /// Offers a request, and sends the verdicts of others that are due.
    pub fn offer(
        &mut self,
        key: &Key,
        request: gate::Request,
        view: &gate::View,
        now: moment::Moment,
    ) -> Offered {
        let entry = self.entry(key);
        entry.adopt(view, now);
        let ticket = entry.gate.offer(request, now);
        if let Some(verdict) = entry.settle(Some(ticket), now) {
            return Offered::Decided(verdict);
        }
        let (sender, verdict) = oneshot::channel();
        entry.waiting.insert(ticket, sender);
        let needs_watch = !std::mem::replace(&mut entry.is_watched, true);
        Offered::Waits { ticket, verdict, needs_watch }
    }

    /// Sends the verdicts that are due. Returns the time until the next ones may be; `None` if nothing
    /// waits, and the task that looks at the requests ends.
    pub fn watch(
        &mut self,
        key: &Key,
        view: &gate::View,
        now: moment::Moment,
    ) -> Option<time::Duration> {
        let entry = self.entry(key);
        entry.adopt(view, now);
        entry.settle(None, now);
        let next = entry.gate.next_check();
        entry.is_watched = next.is_some();
        next
    }

    /// Records whether the first event of a request was in time that was expected to be.
    pub fn record_first_event(&mut self, key: &Key, is_in_time: bool) {
        self.entry(key).gate.record_first_event(is_in_time);
    }

    /// Records that the task which looks at the waiting requests has ended early.
    pub fn unwatch(&mut self, key: &Key) {
        self.entry(key).is_watched = false;
    }

    /// Removes a request whose caller has left or whose time is over; returns whether it waited.
    pub fn cancel(&mut self, key: &Key, ticket: gate::Ticket) -> bool {
        let entry = self.entry(key);
        entry.gate.cancel(ticket);
        entry.waiting.remove(&ticket).is_some()
    }

    /// The state of all gates.
    pub fn status(&self) -> impl Iterator<Item = (&Key, Status)> {
        self.by_model.iter().map(|(key, entry)| (key, entry.status()))
    }

    /// What to log about a model, if anything was held back since the last line and that is a second
    /// ago. The counts start again.
    pub fn log_due(&mut self, key: &Key, now: moment::Moment) -> Option<Status> {
        let entry = self.entry(key);
        let is_due = entry.logged.is_none_or(|at| now.since(at) >= LOG_PERIOD);
        let status = entry.status();
        if !is_due || (status.counts.refused == 0 && status.waiting == 0) {
            return None;
        }
        entry.logged = Some(now);
        entry.counts = Counts::default();
        Some(status)
    }

    fn entry(&mut self, key: &Key) -> &mut Entry {
        self.by_model.entry(key.clone()).or_default()
    }
}

impl Entry {
    fn adopt(&mut self, view: &gate::View, now: moment::Moment) {
        self.capacity = view.capacity;
        self.demand = view.known_requests / view.window.as_secs_f64();
        self.gate.update(view, now);
    }

    /// Sends the verdicts that are due; returns that of `own`, which nobody waits for yet.
    fn settle(&mut self, own: Option<gate::Ticket>, now: moment::Moment) -> Option<gate::Verdict> {
        let mut found = None;
        for (ticket, verdict) in self.gate.settle(now) {
            match verdict {
                gate::Verdict::Admitted => self.counts.admitted += 1,
                gate::Verdict::Refused(_) => {
                    self.counts.refused += 1;
                    self.refused = Some(now);
                }
            }
            if own == Some(ticket) {
                found = Some(verdict);
            } else if let Some(sender) = self.waiting.remove(&ticket) {
                // A receiver that is gone belongs to a request that is about to be cancelled.
                let _ = sender.send(verdict);
            }
        }
        found
    }

    fn status(&self) -> Status {
        Status {
            capacity: self.capacity.rate,
            demand: self.demand,
            rate: self.gate.rate(),
            waiting: self.gate.waiting(),
            counts: self.counts,
        }
    }
}
