//! Admission of requests for one model at one node while more arrive at all nodes than the groups
//! sustain.
//!
//! Each node admits its share of the [`capacity`] of all groups, by a token bucket in units of work.
//! The shares add up to one whatever each node sees, as each goes by the requests that all nodes have
//! counted. What is known of the requests in progress corrects the rate: it rises while the groups
//! have room, and falls while they have more than they can serve in time. Requests beyond the share
//! wait at the node, and are refused as soon as their turn is known to come too late.

//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use corneltrestle_policy::{Moment, capacity, cost, gate};
//!
//! let now = Moment::from_millis(1_000);
//! let capacity = capacity::Capacity {
//!     rate: 400.0, requests: 600.0, unread: 40_000.0, first_event: Duration::from_millis(100),
//!     prompt_weight: 0.3, prompt_tokens: 700.0,
//! };
//! let work = cost::Work { requests: 100, ..cost::Work::default() };
//! let view = gate::View {
//!     capacity, work, own_requests: 60.0, known_requests: 3_500.0, known_nodes: 1.0,
//!     window: Duration::from_secs(10), own_window: Duration::from_secs(10),
//! };
//! let mut gate = gate::Gate::default();
//! gate.update(&view, now);
//! let ticket = gate.offer(gate::Request {
//!     priority: (1, 0), organisation: None, prompt: 700, is_returning: false,
//!     due: now + Duration::from_millis(250), limit: now + Duration::from_secs(2),
//! }, now);
//! assert_eq!(gate.settle(now), [(ticket, gate::Verdict::Admitted)], "the groups have room");
//! ```

mod clients;
mod ranks;
mod usual;

use std::{cmp, collections, time};

use corneltrestle_time::moment;

pub use clients::Clients;
pub use ranks::Ranks;

use crate::{capacity, cost, id};

/// Time in which the difference between the requests in progress and those at the sustainable rate
/// is made up. Longer than the age of the picture (up to 400 ms), so that the correction does not
/// oscillate.
const CORRECTION_TIME: f64 = 0.6;

/// Bounds of the correction of the rate. The lower one keeps a node with a wrong picture serving.
const MIN_CORRECTION: f64 = 0.3;
const MAX_CORRECTION: f64 = 8.0;

/// Fraction of the requests in progress at the sustainable rate above which the gate holds requests
/// back.
const BUSY_FRACTION: f64 = 0.95;

/// Fraction, and usual fraction, below which it no longer does, once nothing has waited for [`CALM_TIME`].
const IDLE_FRACTION: f64 = 0.9;
const CALM_TIME: time::Duration = time::Duration::from_millis(500);

/// Fraction up to which requests that can be in time pass without regard to the share of the node. Where
/// requests arrive at some nodes and then at others, shares are wrong, some requests always wait, and
/// the usual load was held back for good.
const ROOM_FRACTION: f64 = IDLE_FRACTION;

/// Time for which the buckets of all nodes collect capacity. Requests do not arrive evenly, and most
/// would wait at a node with few of them otherwise.
const BURST_TIME: f64 = 0.2;

/// Factor on the mean time to a first event, for the difference between requests and between groups.
const FIRST_EVENT_MARGIN: f64 = 1.6;

/// Fraction of the objective that a request which arrives for the first time may wait at least. Where the
/// margin exceeds the objective, as with two objectives for one model, each request would count as late
/// on its arrival otherwise, and the usual load was refused.
const MIN_WAIT_FRACTION: f64 = 0.04;

/// Largest content of the bucket of a node with few requests. Below two, a second request within a
/// quarter of a second is refused although the groups have room (295 nodes).
const MIN_BURST: f64 = 3.0;

/// Fraction of the requests in progress at the sustainable rate above which no request is admitted that
/// is late already. At 0.8 such requests kept the groups so full after a burst that 22 a second were
/// late from one second after its end on, and 11 at 0.7.
const LATE_FRACTION: f64 = 0.7;

/// Fraction of the bucket that a request which is late already leaves to others.
const LATE_RESERVE: f64 = 0.9;

/// Work that requests leave for more urgent ones. Without it three tenths of the most urgent requests
/// were not in time; with 2 the less urgent ones lose a tenth of theirs at 295 nodes.
const URGENT_RESERVE: f64 = 1.5;

/// Smoothed work below which there is none.
const MIN_ARRIVALS: f64 = 1e-2;

/// Fraction of nodes below whose reports the picture is taken to be of a part of the nodes.
const KNOWN_FRACTION: f64 = 0.8;

/// Shortest time over which a node's own requests say something about its share.
const MIN_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Smallest fraction of all requests that the known nodes are taken to have.
const MIN_PART: f64 = 1e-3;

/// Time constant of the estimates of the work in progress, of arrivals and of refused requests.
const SMOOTHING_TIME: f64 = 1.0;

/// Time constant with which the work that an organisation was given is forgotten.
const FAIRNESS_TIME: f64 = 2.0;

/// Requests in all nodes' window below which there is no overload to speak of.
const MIN_REQUESTS: f64 = 20.0;

/// Limit on the requests that wait at a node for one model.
const MAX_WAITING: usize = 4_096;

/// Bounds of the time after which a refused request may be sent again.
const MIN_RETRY: time::Duration = time::Duration::from_millis(250);
const MAX_RETRY: time::Duration = time::Duration::from_secs(5);

/// Shortest and longest time until the next look at the waiting requests.
const MIN_CHECK: time::Duration = time::Duration::from_millis(2);
const MAX_CHECK: time::Duration = time::Duration::from_millis(40);

/// What a node knows about a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// What the groups that serve it sustain.
    pub capacity: capacity::Capacity,
    /// Work in progress at these groups, as far as it is known.
    pub work: cost::Work,
    /// Requests of this node in `own_window`.
    pub own_requests: f64,
    /// Time over which they were counted: `window`, or less after a start of the process.
    pub own_window: time::Duration,
    /// Requests of this node and of all other nodes that are known, in their `window`.
    pub known_requests: f64,
    /// Window over which requests are counted.
    pub window: time::Duration,
    /// Nodes whose reports are known, this one included, as a fraction of all nodes.
    pub known_nodes: f64,
}

/// A request for the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Priority of its route and of its organisation, 0 is the highest.
    pub priority: (u8, u8),
    /// The organisation that sent it.
    pub organisation: Option<id::Organisation>,
    /// Prompt in tokens; 0 if unknown.
    pub prompt: u64,
    /// Whether it was refused before and told to come back.
    pub is_returning: bool,
    /// Latest time of its first event within the objective.
    pub due: moment::Moment,
    /// Latest time at which it may be sent and still be answered completely.
    pub limit: moment::Moment,
}

/// Number of a waiting request.
pub type Ticket = u64;

/// What becomes of a request that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent to a group.
    Admitted,
    /// Its turn would come too late. There may be room after this time.
    Refused(time::Duration),
}

/// The gate of one model at one node.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    waiting: collections::BTreeMap<Ticket, Waiting>,
    next: Ticket,
    /// Work that may be admitted at once, in requests of mean size; negative after a large request.
    tokens: f64,
    /// Work per second that is admitted; `None` while nothing is held back.
    rate: Option<f64>,
    burst: f64,
    /// Content of the bucket that the first waiting request needs.
    needed: f64,
    capacity: capacity::Capacity,
    /// Requests of all nodes in the window when most of them were last known.
    all_requests: f64,
    /// The nodes that are known, while they are few.
    part: Option<Part>,
    /// Estimate of the requests in progress and their unread tokens, while few nodes are known.
    guess: Option<(f64, f64)>,
    /// Work per second of requests that can be in time, smoothed, by priority.
    arrivals: collections::BTreeMap<(u8, u8), f64>,
    /// Work that was refused recently and may come back.
    refused: f64,
    /// Work recently admitted, by organisation.
    given: collections::BTreeMap<Option<id::Organisation>, f64>,
    /// Work in progress, as a fraction of that at the sustainable rate.
    level: f64,
    /// Work in progress while first events are in time.
    usual: usual::Usual,
    /// Whether requests are held back.
    is_active: bool,
    /// When a request last had to wait.
    held: Option<moment::Moment>,
    updated: Option<moment::Moment>,
}

impl Gate {
    /// Adopts what is known now; to be called before each [`Gate::offer`] and [`Gate::settle`].
    pub fn update(&mut self, view: &View, now: moment::Moment) {
        let is_first = self.updated.is_none();
        let elapsed = self.updated.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.updated = Some(now);
        self.refill(elapsed);
        self.forget(elapsed);
        self.capacity = view.capacity;
        let share = self.share(view);
        let correction = self.correction(view, share, elapsed, now);
        let sustained = view.capacity.rate * self.usual.factors(BUSY_FRACTION)[2];
        let is_useful = sustained.is_finite() && sustained > 0.0 && share.is_finite();
        let has_few = self.all_requests < MIN_REQUESTS;
        self.rate = match correction {
            Some(correction) if is_useful && !has_few => Some(sustained * share * correction),
            _ => None,
        };
        let at_first = (sustained * share * BURST_TIME).max(0.0);
        self.burst = at_first.max(MIN_BURST);
        if self.rate.is_none() || is_first {
            self.tokens = at_first;
        }
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, elapsed: f64) {
        if let Some(rate) = self.rate {
            self.tokens = (self.tokens + rate * elapsed).min(self.burst);
        }
    }

    fn forget(&mut self, elapsed: f64) {
        let factor = (-elapsed / SMOOTHING_TIME).exp();
        self.arrivals.values_mut().for_each(|work| *work *= factor);
        self.refused *= (-elapsed / FAIRNESS_TIME).exp();
        let factor = (-elapsed / FAIRNESS_TIME).exp();
        self.given.retain(|_, work| {
            *work *= factor;
            *work > MIN_ARRIVALS
        });
        self.arrivals.retain(|_, work| *work > MIN_ARRIVALS);
    }

    /// Fraction of the requests of all nodes that arrive at this one.
    fn share(&mut self, view: &View) -> f64 {
        let known = view.known_requests.max(view.own_requests);
        if !known.is_finite() {
            return f64::NAN;
        }
        self.all_requests = known / self.known_part(view, known);
        // A process that has just started has counted for less than the window.
        let own_window = view.own_window.max(MIN_WINDOW).min(view.window);
        let scale = view.window.as_secs_f64() / own_window.as_secs_f64();
        (view.own_requests.max(1.0) * scale / self.all_requests.max(1.0)).min(1.0)
    }

    /// Fraction of the requests of all nodes that are known. While few nodes are known, they are taken
    /// to have the part of all requests that they had when the others were last known.
    fn known_part(&mut self, view: &View, known: f64) -> f64 {
        if view.known_nodes >= KNOWN_FRACTION || self.all_requests <= 0.0 {
            self.part = None;
            return 1.0;
        }
        let part = self.part.filter(|part| part.nodes == view.known_nodes);
        let part = part.unwrap_or_else(|| Part {
            nodes: view.known_nodes,
            requests: (known / self.all_requests).clamp(MIN_PART, 1.0),
        });
        self.part = Some(part);
        part.requests
    }

    /// Factor on the rate by the known work in progress; `None` if the groups have so much room that
    /// nothing needs to wait.
    fn correction(
        &mut self,
        view: &View,
        share: f64,
        elapsed: f64,
        now: moment::Moment,
    ) -> Option<f64> {
        let capacity = &view.capacity;
        let (mut requests, mut unread) = (f64::from(view.work.requests), view.work.unread as f64);
        if view.known_nodes < KNOWN_FRACTION {
            // The nodes that are known stand for the others.
            let scale = self.part.map_or(1.0, |part| part.requests.recip());
            let (old_requests, old_unread) =
                self.guess.unwrap_or((requests * scale, unread * scale));
            // A single node is a small sample, a zone is not.
            let smoothing = SMOOTHING_TIME * (1.0 - view.known_nodes * 3.0).max(1e-3);
            let weight = 1.0 - (-elapsed / smoothing).exp();
            requests = old_requests + (requests * scale - old_requests) * weight;
            unread = old_unread + (unread * scale - old_unread) * weight;
            self.guess = Some((requests, unread));
        } else {
            self.guess = None;
        }
        let arrivals = self.arrivals.values().sum::<f64>() / (capacity.rate * share);
        let levels = [requests / capacity.requests, unread / capacity.unread, arrivals];
        let is_calm = self.held.is_none_or(|at| now.since(at) >= CALM_TIME);
        self.usual.observe(levels, is_calm, elapsed);
        let factors = self.usual.factors(BUSY_FRACTION);
        let (most_requests, most_unread) =
            (capacity.requests * factors[0], capacity.unread * factors[1]);
        let level = (requests / most_requests).max(unread / most_unread);
        self.level = level;
        let usual = &self.usual;
        self.is_active = usual.exceeds(levels, BUSY_FRACTION, usual::START_DEVIATIONS)
            || (self.is_active
                && (usual.exceeds(levels, IDLE_FRACTION, usual::STOP_DEVIATIONS) || !is_calm));
        if !self.is_active {
            return None;
        }
        let by_requests = (most_requests - requests) / (capacity.rate * CORRECTION_TIME);
        let token_rate = capacity.rate * capacity.prompt_tokens;
        let by_unread = (most_unread - unread) / (token_rate * CORRECTION_TIME);
        let correction = 1.0 + by_requests.min(by_unread);
        correction.is_finite().then(|| correction.clamp(MIN_CORRECTION, MAX_CORRECTION))
    }

    /// Adds a request to those that wait; [`Gate::settle`] tells whether it has to.
    pub fn offer(&mut self, request: Request, now: moment::Moment) -> Ticket {
        if now <= request.due {
            let arrivals = self.arrivals.entry(request.priority).or_default();
            *arrivals += self.capacity.cost(request.prompt) / SMOOTHING_TIME;
        }
        let ticket = self.next;
        self.next += 1;
        let timely_until = self.timely_until(&request, now);
        self.waiting.insert(ticket, Waiting { request, timely_until });
        ticket
    }

    /// Records whether the first event of a request was in time that was expected to be.
    pub fn record_first_event(&mut self, is_in_time: bool) {
        self.usual.record(is_in_time);
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Work per second that this node admits, in requests of mean size; `None` while it holds nothing
    /// back.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Admits the waiting requests for which there is room, and refuses those whose turn comes too
    /// late.
    pub fn settle(&mut self, now: moment::Moment) -> Vec<(Ticket, Verdict)> {
        let mut verdicts = Vec::new();
        while let Some(ticket) = self.first(now) {
            let waiting = &self.waiting[&ticket];
            let request = &waiting.request;
            // A late request leaves room to others like it that are expected, but none to less urgent
            // ones.
            let yields = waiting.is_late(now) && !self.has_less_urgent(request);
            let reserve = self.reserve(request);
            let needed = if yields { reserve.max(self.burst * LATE_RESERVE) } else { reserve };
            let has_room = self.tokens > needed && (!yields || self.level <= LATE_FRACTION);
            let passes = !waiting.is_late(now) && self.level <= ROOM_FRACTION;
            if self.rate.is_some() && !has_room && !passes {
                self.needed = needed;
                break;
            }
            let cost = self.capacity.cost(request.prompt);
            if self.rate.is_some() && !passes {
                self.tokens -= cost;
            }
            if let Some(waiting) = self.waiting.remove(&ticket) {
                *self.given.entry(waiting.request.organisation).or_default() += cost;
            }
            verdicts.push((ticket, Verdict::Admitted));
        }
        if !self.waiting.is_empty() {
            self.held = Some(now);
            self.refuse(&mut verdicts, now);
        }
        verdicts
    }

    /// Time until the next call of [`Gate::settle`] is due; `None` if nothing waits.
    pub fn next_check(&self) -> Option<time::Duration> {
        if self.waiting.is_empty() {
            return None;
        }
        let missing = self.needed - self.tokens;
        let wait = self.rate.filter(|_| missing > 0.0).map(|rate| missing / rate);
        // Without a wait for the bucket it is one for work in progress to end, which is reported from
        // time to time.
        let wait = wait.and_then(|wait| time::Duration::try_from_secs_f64(wait).ok());
        let wait = wait.unwrap_or(MAX_CHECK);
        Some(wait.clamp(MIN_CHECK, MAX_CHECK))
    }

    /// Latest time at which a request that arrives now may be sent for its first event to be in time.
    fn timely_until(&self, request: &Request, now: moment::Moment) -> moment::Moment {
        let first_event = self.capacity.first_event;
        let with_margin = request.due.before(first_event.mul_f64(FIRST_EVENT_MARGIN));
        if request.is_returning {
            return with_margin;
        }
        let least = now + request.due.since(now).mul_f64(MIN_WAIT_FRACTION);
        with_margin.max(least.min(request.due.before(first_event)))
    }

    /// Work per second of more urgent requests, as they have arrived.
    fn more_urgent(&self, request: &Request) -> f64 {
        self.arrivals.range(..request.priority).map(|(_, work)| work).sum()
    }

    /// Work that a request leaves in the bucket for more urgent ones, which would have to wait until it
    /// is filled again otherwise.
    fn reserve(&self, request: &Request) -> f64 {
        if self.more_urgent(request) > MIN_ARRIVALS { URGENT_RESERVE } else { 0.0 }
    }

    fn has_less_urgent(&self, request: &Request) -> bool {
        self.waiting.values().any(|other| other.request.priority > request.priority)
    }

    /// What requests are ordered by: the smallest goes first.
    fn key(&self, ticket: Ticket, waiting: &Waiting, now: moment::Moment) -> Key {
        let (request, is_late) = (&waiting.request, waiting.is_late(now));
        let given = self.given.get(&request.organisation).copied().unwrap_or(0.0);
        Key { priority: request.priority, is_new: !request.is_returning, is_late, given, ticket }
    }

    /// The waiting request that goes first.
    fn first(&self, now: moment::Moment) -> Option<Ticket> {
        let keys = self.waiting.iter();
        let keys = keys.map(|(ticket, waiting)| self.key(*ticket, waiting, now));
        keys.min().map(|key| key.ticket)
    }

    /// Refuses requests whose turn comes too late. More urgent requests are expected to go on arriving
    /// at the present rate and to overtake; a late one is also overtaken by those like it that can
    /// be in time.
    fn refuse(&mut self, verdicts: &mut Vec<(Ticket, Verdict)>, now: moment::Moment) {
        let mut keys: Vec<Key> =
            self.waiting.iter().map(|(ticket, waiting)| self.key(*ticket, waiting, now)).collect();
        keys.sort();
        let rate = self.rate.unwrap_or(f64::INFINITY);
        let (mut ahead, mut kept) = (-self.tokens, 0);
        for key in keys {
            let Waiting { request, timely_until } = &self.waiting[&key.ticket];
            let cost = self.capacity.cost(request.prompt);
            let more_urgent = self.more_urgent(request);
            let before = ahead + self.reserve(request);
            let alike = self.arrivals.get(&key.priority).copied().unwrap_or(0.0);
            let timely = after(now, before, rate - more_urgent);
            let late = after(now, ahead + self.burst * LATE_RESERVE, rate - more_urgent - alike);
            let is_timely =
                !key.is_late && timely.is_some_and(|at| at <= *timely_until.min(&request.limit));
            let is_kept = is_timely || late.is_some_and(|at| at <= request.limit);
            if is_kept && kept < MAX_WAITING {
                kept += 1;
                ahead += cost;
                continue;
            }
            let retry = self.retry_after(ahead, rate);
            self.refused += cost;
            self.waiting.remove(&key.ticket);
            verdicts.push((key.ticket, Verdict::Refused(retry)));
        }
    }

    /// Time after which there may be room for a request that is refused now: once those that wait and
    /// those that were refused before it have been served.
    fn retry_after(&self, ahead: f64, rate: f64) -> time::Duration {
        let wait = (ahead.max(0.0) + self.refused) / rate;
        let wait = time::Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY);
        wait.clamp(MIN_RETRY, MAX_RETRY)
    }
}

/// A request that waits.
#[derive(Clone, Debug)]
struct Waiting {
    request: Request,
    /// Latest time at which it may be sent for its first event to be in time.
    timely_until: moment::Moment,
}

impl Waiting {
    /// Whether its first event is late even if it is sent now.
    fn is_late(&self, now: moment::Moment) -> bool {
        now > self.timely_until
    }
}

/// Nodes that are known while others are not.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Fraction of all nodes.
    nodes: f64,
    /// Fraction of the requests of all nodes that arrive at them.
    requests: f64,
}

/// When `work` is done at a rate; `None` if never.
fn after(now: moment::Moment, work: f64, rate: f64) -> Option<moment::Moment> {
    let wait = if work <= 0.0 { 0.0 } else { work / rate };
    let is_known = rate > 0.0 || work <= 0.0;
    let wait = time::Duration::try_from_secs_f64(wait).ok().filter(|_| is_known)?;
    Some(now + wait.min(time::Duration::from_secs(3_600)))
}

/// Order of waiting requests.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Key {
    priority: (u8, u8),
    is_late: bool,
    is_new: bool,
    /// Work recently given to its organisation.
    given: f64,
    ticket: Ticket,
}

impl Eq for Key {}

impl Ord for Key {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        let rank = |key: &Self| (key.priority, key.is_late, key.is_new);
        let by_rank = rank(self).cmp(&rank(other));
        by_rank.then(self.given.total_cmp(&other.given)).then(self.ticket.cmp(&other.ticket))
    }
}

impl PartialOrd for Key {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
