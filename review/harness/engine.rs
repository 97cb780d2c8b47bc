//! Stand-in of runners with a model: orders, groups, and streams of events.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    deployment::{self, Record},
    http::{self, Connection, Request},
    json::{Json, quote},
    store::Store,
};

/// A service with its only model.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub name: &'static str,
    pub model: &'static str,
}

pub const WRITER: Service = Service { name: "writer", model: "daka510000" };
pub const DRAFTER: Service = Service { name: "drafter", model: "rada7437b5" };
/// Number of runners in a group.
pub const SIZE: usize = 2;
/// Times of the site file: a load from the weight store (a tenth of it before the first request), a
/// join from the host, a join with the model of the last group, and opening.
const LOAD: Duration = Duration::from_millis(1_200);
const WARM: Duration = Duration::from_millis(1_100);
const JOIN: Duration = Duration::from_millis(200);
const FORM: Duration = Duration::from_millis(300);
/// Time after which a head that stands still is broken.
const STALL: Duration = Duration::from_millis(6_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Events of an answer, and the time between two.
const EVENTS: u64 = 4;
const EVENT_PERIOD: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct Member {
    group: String,
    epoch: u64,
    members: Vec<String>,
    ready: Instant,
    /// When the head was ordered to open.
    opened: Option<Instant>,
    closing: bool,
    /// Since when a head that is open has lacked a member.
    still: Option<Instant>,
}

impl Member {
    fn state(&self) -> &'static str {
        let now = Instant::now();
        if self.still.is_some_and(|since| now >= since + STALL) {
            "broken"
        } else if self.closing {
            "closing"
        } else if self.opened.is_some_and(|at| now >= at + FORM) {
            "open"
        } else if now >= self.ready {
            "ready"
        } else {
            "joining"
        }
    }
}

#[derive(Debug)]
struct Runner {
    id: String,
    service: Service,
    /// Whether its process runs.
    alive: bool,
    zone: &'static str,
    domain: &'static str,
    born: u128,
    member: Option<Member>,
    /// When the weights are staged on the host.
    staged: Option<Instant>,
    /// Whether it was in a group of the model since its start.
    joined: bool,
    sequence: u64,
    token: u64,
    epoch: u64,
    running: usize,
}

/// An order that arrives at a runner.
#[derive(Clone, Debug)]
pub struct Order {
    pub runner: String,
    pub op: String,
    pub group: String,
    pub epoch: u64,
    body: Json,
}

/// Decides whether an order gets no answer; it is then carried out only by [`Engines::carry_out`].
pub type Withholds = Arc<dyn Fn(&Order) -> bool + Send + Sync>;

/// All runners with the model; clones share them.
#[derive(Clone)]
pub struct Engines {
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    withholds: Withholds,
}

#[derive(Default)]
struct State {
    runners: BTreeMap<String, Runner>,
    addresses: BTreeMap<String, String>,
    /// Members that have been ready, with group, epoch and list.
    ready: BTreeSet<(String, String, u64, Vec<String>)>,
    broken: Vec<String>,
    orders: usize,
    withheld: usize,
}

impl Engines {
    pub fn open(store: &Store, record: &Record, withholds: Withholds) -> Self {
        let engines =
            Self { state: Arc::default(), store: store.clone(), record: record.clone(), withholds };
        let own = engines.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                own.tick();
            }
        });
        engines
    }

    pub fn start(
        &self,
        machine: u8,
        id: &'static str,
        service: Service,
        zone: &'static str,
        domain: &'static str,
    ) {
        let listener = deployment::listen(machine);
        let address = listener.local_addr().expect("a bound port").to_string();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
        {
            let mut state = self.state.lock().unwrap();
            state.addresses.insert(id.to_owned(), address);
            let runner = Runner {
                id: id.to_owned(),
                service,
                alive: true,
                zone,
                domain,
                born,
                member: None,
                staged: None,
                joined: false,
                sequence: 0,
                token: 0,
                epoch: 0,
                running: 0,
            };
            state.runners.insert(id.to_owned(), runner);
        }
        let own = self.clone();
        http::serve(listener, move |connection| own.handle(id, connection));
        let own = self.clone();
        thread::spawn(move || {
            let mut written = (String::new(), Instant::now());
            for sequence in 1u64.. {
                if !own.is_alive(id) {
                    return;
                }
                let entry = own.entry(id);
                if entry != written.0 || written.1.elapsed() >= HEARTBEAT {
                    let text = format!("{{\"sequence\":{sequence},{entry}}}");
                    own.store.put(&format!("servers/{id}"), &text);
                    written = (entry, Instant::now());
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    /// Breaches of the rules on groups so far.
    pub fn broken(&self) -> Vec<String> {
        self.state.lock().unwrap().broken.clone()
    }

    /// Numbers of orders that arrived, and of those that got no answer.
    pub fn orders(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        (state.orders, state.withheld)
    }

    /// The group of a runner and its state there.
    pub fn membership(&self, id: &str) -> Option<(String, &'static str)> {
        let state = self.state.lock().unwrap();
        let member = state.runners.get(id)?.member.as_ref()?;
        Some((member.group.clone(), member.state()))
    }

    /// Carries out an order that got no answer.
    pub fn carry_out(&self, order: &Order) {
        let status = self.execute(order);
        self.record.write(&format!(
            "runner {} carries out {} {} late, with status {status} that nobody sees",
            order.runner, order.op, order.group
        ));
    }

    /// The fields that the entry and the report have in common.
    fn common(runner: &Runner) -> String {
        let is_staged = runner.staged.is_some_and(|at| Instant::now() >= at);
        let name = runner.service.model;
        let staged = if is_staged { quote(name) } else { String::new() };
        let (group, models) = match &runner.member {
            Some(member) => {
                let state = member.state();
                let model = format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
                let models = if state == "joining" { String::new() } else { model };
                let group = format!(
                    "{{\"name\":{},\"epoch\":{},\"rank\":{},\"state\":\"{state}\"}}",
                    quote(&member.group),
                    member.epoch,
                    member.members.iter().position(|id| *id == runner.id).unwrap_or(0)
                );
                (group, models)
            }
            None => ("null".to_owned(), String::new()),
        };
        format!(
            "\"born\":{},\"phase\":\"unified\",\"domain\":{},\"staged\":[{staged}],\
             \"models\":[{models}],\"group\":{group}",
            runner.born,
            quote(runner.domain)
        )
    }

    fn entry(&self, id: &str) -> String {
        let state = self.state.lock().unwrap();
        let (runner, address) = (&state.runners[id], &state.addresses[id]);
        format!(
            "\"service\":\"{}\",\"address\":\"{address}\",\"zone\":{},\"version\":\"v1\",\
             \"slots\":26,\"state\":\"ready\",\"cold_left_ms\":0,{}",
            runner.service.name,
            quote(runner.zone),
            Self::common(runner)
        )
    }

    /// Crashes a runner for good. Its entry is removed after three heartbeats.
    pub fn crash(&self, id: &str) {
        self.state.lock().unwrap().runners.get_mut(id).expect("a known runner").alive = false;
        self.record.write(&format!("runner {id} crashes"));
        let (store, key) = (self.store.clone(), format!("servers/{id}"));
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove(&key);
        });
    }

    fn is_alive(&self, id: &str) -> bool {
        self.state.lock().unwrap().runners[id].alive
    }

    /// Heads that lack a member stand still; members that are ready are recorded.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let present: BTreeSet<(String, String, u64)> = state
            .runners
            .iter()
            .filter(|(_, runner)| runner.alive)
            .filter_map(|(id, runner)| {
                let member = runner.member.as_ref()?;
                Some((id.clone(), member.group.clone(), member.epoch))
            })
            .collect();
        for (id, runner) in &mut state.runners {
            let Some(member) = &mut runner.member else { continue };
            if member.state() != "joining" {
                let key = (id.clone(), member.group.clone(), member.epoch, member.members.clone());
                state.ready.insert(key);
            }
            let is_here =
                |id: &String| present.contains(&(id.clone(), member.group.clone(), member.epoch));
            let is_whole = member.members.iter().all(is_here);
            if is_whole {
                member.still = None;
            } else if member.opened.is_some() {
                member.still.get_or_insert_with(Instant::now);
            }
        }
    }

    fn handle(&self, id: &str, connection: &mut Connection) -> io::Result<()> {
        while let Some(request) = connection.request()? {
            if !self.is_alive(id) {
                connection.close();
                return Ok(());
            }
            if request.header("expect-instance").is_some_and(|expected| expected != id) {
                let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
                let headers = [("Instance-Id", id), ("Attempt-Id", attempt.as_str())];
                connection.answer(421, &headers, b"")?;
                continue;
            }
            match (request.method.as_str(), request.path()) {
                ("GET", "/healthz") => connection.answer(200, &[("Instance-Id", id)], b"")?,
                ("GET", "/api/report") => {
                    let report = {
                        let state = self.state.lock().unwrap();
                        let runner = &state.runners[id];
                        format!(
                            "{{\"busy\":false,\"sequence\":{},\"waiting\":0,\"running\":{},\
                             \"kv_used\":0,\"kv_total\":1590000,\"kv_handles\":0,\"pace\":1.0,{}}}",
                            runner.sequence,
                            runner.running,
                            Self::common(runner)
                        )
                    };
                    let headers = [("Content-Type", "application/json")];
                    connection.answer(200, &headers, report.as_bytes())?;
                }
                ("POST", "/api/order") => {
                    let text = String::from_utf8_lossy(&request.body).into_owned();
                    let Some(body) = Json::parse(&text) else {
                        connection.answer(400, &[], b"")?;
                        continue;
                    };
                    let order = Order {
                        runner: id.to_owned(),
                        op: body.text("op").unwrap_or_default().to_owned(),
                        group: body.text("group").unwrap_or_default().to_owned(),
                        epoch: body.number("epoch").unwrap_or(0),
                        body,
                    };
                    let is_withheld = (self.withholds)(&order);
                    {
                        let mut state = self.state.lock().unwrap();
                        state.orders += 1;
                        state.withheld += usize::from(is_withheld);
                    }
                    if is_withheld {
                        self.record.write(&format!(
                            "runner {id} leaves {} {} unanswered",
                            order.op, order.group
                        ));
                        // The sender gives up on it; the connection stays open until then.
                        let _ = connection.request();
                        return Ok(());
                    }
                    let status = self.execute(&order);
                    self.record.write(&format!(
                        "runner {id} answers {} {} with {status}",
                        order.op, order.group
                    ));
                    connection.answer(status, &[], b"")?;
                }
                _ => self.run(id, &request, connection)?,
            }
        }
        Ok(())
    }

    /// Carries out an order; returns the status of its answer.
    fn execute(&self, order: &Order) -> u16 {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let token = order.body.number("fencing_token").unwrap_or(0);
        let expected = order.body.number("expected_rev");
        let breach = match order.op.as_str() {
            "join" => state.breach(order),
            _ => None,
        };
        let Some(runner) = state.runners.get_mut(&order.runner) else { return 421 };
        if token < runner.token {
            return 412;
        }
        runner.token = token;
        if expected.is_some_and(|expected| expected != runner.sequence) {
            return 409;
        }
        let now = Instant::now();
        let is_own =
            |member: &&mut Member| member.group == order.group && member.epoch == order.epoch;
        let status = match order.op.as_str() {
            "join" => {
                let list = order.body.list("members").iter();
                let members: Vec<String> = list
                    .filter_map(|id| if let Json::Text(id) = id { Some(id.clone()) } else { None })
                    .collect();
                if order.epoch < runner.epoch {
                    return 412;
                }
                if let Some(member) = runner.member.as_mut().filter(is_own) {
                    return if member.members == members { 200 } else { 412 };
                }
                let time = match runner.staged {
                    None => LOAD,
                    Some(_) if runner.joined => JOIN,
                    Some(at) => at.saturating_duration_since(now) + WARM,
                };
                if runner.staged.is_none() {
                    runner.staged = Some(now + time);
                }
                (runner.joined, runner.epoch) = (true, order.epoch);
                runner.member = Some(Member {
                    group: order.group.clone(),
                    epoch: order.epoch,
                    members,
                    ready: now + time,
                    opened: None,
                    closing: false,
                    still: None,
                });
                202
            }
            "open" => match runner.member.as_mut().filter(is_own) {
                Some(member) if member.opened.is_some() => 200,
                Some(member) if member.state() == "ready" && member.members[0] == order.runner => {
                    member.opened = Some(now);
                    202
                }
                _ => 409,
            },
            "close" => match runner.member.as_mut().filter(is_own) {
                Some(member) if member.opened.is_some() => {
                    member.opened = None;
                    202
                }
                Some(_) => 200,
                None => 409,
            },
            "leave" => match runner.member.as_mut().filter(is_own) {
                Some(_) => {
                    runner.member = None;
                    202
                }
                None => 200,
            },
            _ => 400,
        };
        runner.sequence += u64::from(status == 202);
        if status == 202
            && let Some(breach) = breach
        {
            self.record.write(&breach);
            state.broken.push(breach);
        }
        status
    }

    /// Runs a request at the head of a group.
    fn run(&self, id: &str, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or_default();
        let accepted = {
            let mut state = self.state.lock().unwrap();
            let state = &mut *state;
            let runner = state.runners.get_mut(id).expect("a known runner");
            let open = runner.member.clone().filter(|member| {
                member.state() == "open" && member.still.is_none() && member.members[0] == id
            });
            if let Some(member) = &open {
                runner.running += 1;
                let was_ready = |id: &String| {
                    let (group, epoch) = (member.group.clone(), member.epoch);
                    state.ready.contains(&(id.clone(), group, epoch, member.members.clone()))
                };
                if member.members.len() != SIZE || !member.members.iter().all(was_ready) {
                    let group = &member.group;
                    let breach = format!("PARTIAL: {attempt} begins to run at {id} in {group}");
                    self.record.write(&breach);
                    state.broken.push(breach);
                }
            }
            open.is_some()
        };
        if !accepted {
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt)];
            return connection.answer(421, &headers, b"");
        }
        let result = Self::stream(attempt, connection);
        let mut state = self.state.lock().unwrap();
        state.runners.get_mut(id).expect("a known runner").running -= 1;
        result
    }

    fn stream(attempt: &str, connection: &mut Connection) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n\
             Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.stream.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_PERIOD);
            let text = format!("id: {event}\ndata: part {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            connection.stream.write_all(chunk.as_bytes())?;
        }
        connection.stream.write_all(b"0\r\n\r\n")
    }
}

impl State {
    /// The breach of the rule TWO if a runner takes a join of another group now.
    fn breach(&self, order: &Order) -> Option<String> {
        let member = self.runners.get(&order.runner)?.member.as_ref()?;
        if member.group == order.group {
            return None;
        }
        let head = member.members.first()?;
        let lead = self.runners.get(head).filter(|head| head.alive)?.member.as_ref()?;
        if lead.group != member.group || lead.epoch != member.epoch {
            return None;
        }
        let lead_state = lead.state();
        let is_still = lead.still.is_some() && lead_state != "broken";
        (matches!(lead_state, "open" | "closing") || is_still).then(|| {
            format!(
                "TWO: runner {} takes a join of {} while {head}, the head of its group {}, is {}",
                order.runner,
                order.group,
                member.group,
                if is_still { "standing still" } else { lead_state }
            )
        })
    }
}

/// A request for a model.
pub fn request(route: &str, service: Service, attempt: &str) -> Vec<u8> {
    let text = format!(
        "POST /{route}/2f HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 5000\r\n\
         Model: {}\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:40,{attempt}:1420\r\n\
         Authorization: Bearer {}\r\nContent-Length: 4\r\n\r\nnote",
        deployment::HOST,
        service.model,
        deployment::KEY
    );
    text.into_bytes()
}

/// A configuration with these routes and services, with the figures of the site file.
pub fn configuration(version: u64, routes: &[(&str, Service)], services: &[Service]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            let Service { name, model } = service;
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":474,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":38.0,\
                 \"inference_engine\":{{\"slots\":26,\"kv_capacity\":1590000,\"kv_bytes\":327680,\
                 \"link_mbps\":400000.0,\"stride\":7,\"models\":[{{\"name\":\"{model}\",\
                 \"size\":{SIZE},\"share\":1.0,\"pace\":1.0,\"load_s\":12.0,\"warm_s\":1.1}}],\
                 \"step_ms\":5.95,\"per_seq_ms\":0.0445,\"context_per_k\":0.00813,\
                 \"read_per_s\":50700.0,\"pairs_per_m\":0.368,\"chunk\":2048,\
                 \"report_lag_ms\":200.0,\"loads_per_s\":4.5,\"loads_at_once\":6,\"delays\":[],\
                 \"usual\":{{\"prompt\":1115,\"answer\":178}},\"retention_count\":1,\
                 \"far_x\":4.0,\"form_ms\":300.0}}}}"
            )
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(route, service)| {
            format!(
                "{{\"name\":\"{route}\",\"host\":\"shop.example\",\"prefix\":\"/{route}/\",\
                 \"route_kind\":\"streaming\",\"timeout_ms\":8000,\"slo_ms\":300,\
                 \"gap_slo_ms\":300,\"priority\":1,\"service\":\"{}\",\"max_attempts\":2,\
                 \"public\":false,\"sticky\":true,\"resumable\":true}}",
                service.name
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        deployment::KEY
    )
}
