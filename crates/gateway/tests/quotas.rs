//! Limits that upstreams name, kept by nodes that come, go, pause and are cut off, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use corneltrestle_gateway::tables::quotas::{Ask, Quotas};
use corneltrestle_policy::{
    Moment, census, id,
    quota::{Statement, grantor::Grant, lender},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

const STEP: Duration = Duration::from_millis(5);

/// Time to live of a registration, and time between two renewals.
const LEASE: Duration = Duration::from_secs(10);
const RENEWAL: Duration = Duration::from_secs(3);

/// Time for which a request waits for a permit.
const PATIENCE: Duration = Duration::from_millis(200);

/// Window of the check, and what an upstream may get in it beside one and a half times its limit.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 5.0;

const UPSTREAM: &str = "upstream";

enum Message {
    Ask(Ask, Moment),
    Grant(Grant, Moment),
    Lent,
}

/// A message on its way: when it arrives, its sender, its receiver and the receiver's process.
struct Sent(Moment, usize, usize, u32, Message);

/// A node and its process.
struct Node {
    name: id::Node,
    /// Counts the processes of the node.
    process: u32,
    is_running: bool,
    paused_until: Moment,
    /// Side of a cut on which the node is; 0 without one.
    side: usize,
    quotas: Quotas,
    census: census::Census,
    loan_due: Moment,
    renewal_due: Moment,
    /// What the node last learned of the store.
    view: census::View,
    registered: Vec<id::Node>,
    coordinator: usize,
    /// Requests that wait for a permit, since when.
    waiting: Vec<Moment>,
    /// Number of answers of grantors at the last step; a request without a permit goes elsewhere then.
    answers: u64,
    /// Requests a second.
    demand: f64,
}

struct World {
    now: Moment,
    rng: StdRng,
    rate: f64,
    nodes: Vec<Node>,
    /// Processes by registered node, with the end of their leases.
    store: BTreeMap<id::Node, (u32, Moment)>,
    /// Side of a cut on which the store is.
    store_side: usize,
    is_store_up: bool,
    messages: Vec<Sent>,
    arrivals: Vec<Moment>,
}

impl World {
    /// Nodes that have been registered for long.
    fn open(number: usize, rate: f64, seed: u64) -> Self {
        let mut world = Self {
            now: Moment::from_millis(60_000),
            rng: StdRng::seed_from_u64(seed),
            rate,
            nodes: Vec::new(),
            store: BTreeMap::new(),
            store_side: 0,
            is_store_up: true,
            messages: Vec::new(),
            arrivals: Vec::new(),
        };
        for _ in 0..number {
            world.add();
        }
        world.run(Duration::from_secs(15));
        world.arrivals.clear();
        world
    }

    fn add(&mut self) {
        let view = census::View { own: census::Registration::Absent, informed: Moment::ZERO };
        let name: id::Node = format!("node-{:03}", self.nodes.len()).as_str().into();
        self.nodes.push(Node {
            census: census::Census::new(name.clone(), false, self.now),
            name,
            process: 0,
            is_running: false,
            paused_until: Moment::ZERO,
            side: 0,
            quotas: Quotas::default(),
            loan_due: Moment::ZERO,
            renewal_due: Moment::ZERO,
            view,
            registered: Vec::new(),
            coordinator: 0,
            waiting: Vec::new(),
            answers: 0,
            demand: 0.0,
        });
        self.start(self.nodes.len() - 1);
    }

    fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.process += 1;
        (node.is_running, node.quotas) = (true, Quotas::default());
        node.census = census::Census::new(node.name.clone(), false, self.now);
        (node.loan_due, node.renewal_due) = (self.now, self.now);
        node.waiting.clear();
        node.answers = 0;
        let name = UPSTREAM.into();
        node.quotas.record(&name, 1, Statement::Limited(self.rate), 1, self.now);
    }

    /// Sets the demand of all nodes together, in equal parts.
    fn set_demand(&mut self, demand: f64) {
        let each = demand / self.nodes.len() as f64;
        self.nodes.iter_mut().for_each(|node| node.demand = each);
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.store.retain(|_, (_, until)| !self.is_store_up || self.now < *until);
            self.deliver();
            for index in 0..self.nodes.len() {
                let node = &self.nodes[index];
                if node.is_running && self.now >= node.paused_until {
                    self.step(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|sent| sent.0 <= now);
        self.messages = later;
        for Sent(_, from, to, process, message) in due {
            let (sender, node) = (&self.nodes[from], &self.nodes[to]);
            if !node.is_running || node.process != process || node.side != sender.side {
                continue;
            }
            if now < node.paused_until {
                // It waits in the socket.
                self.messages.push(Sent(node.paused_until, from, to, process, message));
                continue;
            }
            self.handle(from, to, message);
        }
    }

    fn handle(&mut self, from: usize, to: usize, message: Message) {
        let now = self.now;
        let sender = self.nodes[from].name.clone();
        let quotas = &mut self.nodes[to].quotas;
        match message {
            Message::Ask(ask, asked) => {
                if ask.part > 0.0 {
                    quotas.borrow(&sender, ask.part, now);
                }
                let wanted: u32 = ask.wanted.iter().map(|(_, number)| *number).sum();
                let answer = match wanted {
                    0 => Message::Lent,
                    _ => Message::Grant(quotas.grant(&UPSTREAM.into(), wanted, now), asked),
                };
                self.send(to, from, answer);
            }
            Message::Grant(grant, asked) => {
                quotas.answered(&sender);
                quotas.receive(&UPSTREAM.into(), grant, asked, now);
            }
            Message::Lent => quotas.answered(&sender),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.rng.random_bool(0.01) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..15));
        let process = self.nodes[to].process;
        self.messages.push(Sent(self.now + delay, from, to, process, message));
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        self.follow(index);
        let upstream: id::Vm = UPSTREAM.into();
        let demand = self.nodes[index].demand * STEP.as_secs_f64();
        let begins = demand > 0.0 && self.rng.random_bool(demand.min(1.0));
        let node = &mut self.nodes[index];
        if begins && node.quotas.dry_for(UPSTREAM, now).is_none() {
            node.waiting.push(now);
            node.quotas.wait(&upstream);
        }
        let mut taken = 0;
        let part = node.census.share(now);
        while taken < node.waiting.len() && node.quotas.try_take(&upstream, part, now) {
            taken += 1;
        }
        let answers = node.quotas.answers(&upstream);
        let is_refused = std::mem::replace(&mut node.answers, answers) != answers;
        let given_up = |at: &&Moment| is_refused || now.since(**at) >= PATIENCE;
        let ended = taken + node.waiting.iter().skip(taken).filter(given_up).count();
        node.waiting.drain(..ended);
        (0..ended).for_each(|_| node.quotas.end_wait(&upstream));
        self.arrivals.extend((0..taken).map(|_| now + Duration::from_millis(2)));
        self.ask(index);
    }

    /// Learns what the store says, and renews the registration.
    fn follow(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !self.is_store_up || node.side != self.store_side {
            return;
        }
        if now >= node.renewal_due {
            node.renewal_due = now + RENEWAL;
            self.store.insert(node.name.clone(), (node.process, now + LEASE));
        }
        let own = match self.store.get(&node.name) {
            None => census::Registration::Absent,
            Some((process, _)) if *process == node.process => census::Registration::Own,
            Some(_) => census::Registration::Earlier,
        };
        node.view = census::View { own, informed: now };
        node.registered = self.store.keys().cloned().collect();
        let is_registered = |node: &Node| self.store.contains_key(&node.name);
        let coordinator = self.nodes.iter().position(is_registered).unwrap_or(0);
        self.nodes[index].coordinator = coordinator;
    }

    /// Lends the part of a node, and asks for permits.
    fn ask(&mut self, index: usize) {
        let now = self.now;
        let side = self.nodes[index].side;
        // The first node that runs on the same side stands for the hub of the zone.
        let hub = self.nodes.iter().position(|node| node.is_running && node.side == side);
        let grantors: Vec<_> = [self.nodes[index].coordinator, hub.unwrap_or(index), index]
            .map(|grantor| self.nodes[grantor].name.clone())
            .into();
        let nodes = self.nodes.len();
        let node = &mut self.nodes[index];
        let is_due = now >= node.loan_due;
        if is_due {
            node.loan_due = now + lender::period(nodes);
            node.census.observe(&node.registered, node.view, now);
            // An answer of the upstream says the same again.
            node.quotas.record(&UPSTREAM.into(), 1, Statement::Limited(self.rate), 1, now);
            node.quotas.prune(now);
        }
        let part = node.census.share(now);
        let Some(ask) = node.quotas.ask(&node.name, &grantors, part, is_due, now) else { return };
        let to = self.nodes.iter().position(|node| node.name == ask.grantor).expect("a node");
        self.send(index, to, Message::Ask(ask, now));
    }

    /// The most requests in a window.
    fn most(&mut self) -> usize {
        self.arrivals.sort();
        let mut most = 0;
        for (first, at) in self.arrivals.iter().enumerate() {
            let end = self.arrivals.partition_point(|other| other.since(*at) < WINDOW);
            most = most.max(end - first);
        }
        most
    }

    fn check(&mut self) {
        let allowed = 1.5 * self.rate * WINDOW.as_secs_f64() + SLACK;
        let most = self.most();
        assert!(most as f64 <= allowed, "{most} of {allowed} in a window");
    }
}

/// Something that happens to some nodes or to the store.
fn disrupt(world: &mut World) {
    let number = world.nodes.len();
    let index = world.rng.random_range(0..number);
    let span = Duration::from_millis(world.rng.random_range(200..12_000));
    match world.rng.random_range(0..8) {
        0 | 1 => {
            // The coordinator is stopped as often as all others together.
            let index = if world.rng.random_bool(0.5) { world.nodes[0].coordinator } else { index };
            world.nodes[index].is_running = false;
        }
        2 | 3 => {
            let stopped: Vec<_> = (0..number).filter(|at| !world.nodes[*at].is_running).collect();
            stopped.into_iter().for_each(|at| world.start(at));
        }
        4 if number < 40 => world.add(),
        5 => world.nodes[index].paused_until = world.now + span.min(Duration::from_secs(6)),
        6 => {
            let sides = world.rng.random_range(1..4);
            for node in &mut world.nodes {
                node.side = world.rng.random_range(0..sides);
            }
            world.store_side = world.rng.random_range(0..sides);
        }
        _ => world.is_store_up = !world.is_store_up,
    }
}

/// Guards against nodes that together send an upstream far more than its limit while some of them start,
/// stop, pause or are cut off from each other or from the store.
#[test_case(4, 2.0)]
#[test_case(8, 5.2)]
#[test_case(8, 40.0)]
#[test_case(30, 3.0)]
fn limit_holds_while_nodes_come_go_pause_and_are_cut_off(nodes: usize, rate: f64) {
    for seed in 0..6 {
        let mut world = World::open(nodes, rate, seed);
        for _ in 0..30 {
            world.set_demand(rate * 4.0);
            let span = world.rng.random_range(100..2_500);
            world.run(Duration::from_millis(span));
            disrupt(&mut world);
        }
        world.check();
    }
}

/// Guards against a part of the limit that lies idle while requests wait, also where few nodes have all
/// of them.
#[test_case(8, 5.2, 8; "all nodes")]
#[test_case(8, 5.2, 1; "one node has all requests")]
#[test_case(60, 9.0, 60; "many nodes")]
#[test_case(60, 9.0, 2; "two of many nodes have all requests")]
#[test_case(160, 9.0, 160; "a large deployment")]
fn limit_is_used_in_full(nodes: usize, rate: f64, busy: usize) {
    let mut world = World::open(nodes, rate, 1);
    for node in &mut world.nodes[nodes - busy..] {
        node.demand = rate * 3.0 / busy as f64;
    }
    world.run(Duration::from_secs(2));
    world.arrivals.clear();
    world.run(Duration::from_secs(20));
    let used = world.arrivals.len() as f64 / (rate * 20.0);
    assert!((0.9..1.1).contains(&used), "{used} of the limit is used");
    world.check();
}

/// Guards against the part of a node that is gone for good, and of a coordinator that is replaced, lying
/// idle for longer than its registration lasts.
#[test]
fn parts_of_lost_nodes_are_used_by_others() {
    let mut world = World::open(8, 8.0, 1);
    // Those that are left have three times what the limit allows.
    world.set_demand(48.0);
    for index in 0..4 {
        world.nodes[index].is_running = false;
    }
    world.run(Duration::from_secs(14));
    world.arrivals.clear();
    world.run(Duration::from_secs(10));
    let used = world.arrivals.len() as f64 / 80.0;
    assert!((0.9..1.1).contains(&used), "{used} of the limit is used");
}

/// Guards against upstreams that get nothing any more after they have named a limit of 0.
#[test]
fn limit_of_zero_lets_a_request_pass_now_and_then() {
    let mut world = World::open(8, 0.0, 1);
    world.set_demand(20.0);
    world.run(Duration::from_secs(30));
    assert!((1..=8).contains(&world.arrivals.len()), "{}", world.arrivals.len());
}
