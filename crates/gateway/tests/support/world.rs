//! A node's request path with upstreams that answer by script.

use std::{collections, net, sync, time::Duration};

use corneltrestle_gateway::{
    identity, limits, pipeline, request,
    source::{Change, Changes, Fact, Subject},
    tables,
    upstream::{
        Answer, Body, Call, Client, Command, Error, Kind, Notice, Outcome, Reason, Rejection,
        Reply, Report, Result, Urgency, Verdict,
    },
};
use corneltrestle_kernel::{disconnect, host, lifecycle, memory, pool, settings};
use corneltrestle_policy::{
    census, deployment, id, quarantine, quota, refusal, retry::fleet, revision, upstream,
};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;
use hyper::{HeaderMap, Method, StatusCode};
use parking_lot::Mutex;

/// What a scripted upstream does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// It cannot be reached.
    NotSent,
    /// It cannot be reached, which takes this time.
    NotSentAfter(Duration),
    /// The connection breaks after the request was sent.
    Broken,
    /// The reused connection ends without an answer after this time.
    Stale(Duration),
    /// It sends no answer.
    Silent,
    /// It rejects the request, as it is at capacity.
    Full,
    /// It rejects the request, and wants none for this time.
    TurnsAway(Duration),
    /// It answers with this status and an empty body.
    Status(u16),
    /// It answers with this body.
    Whole(&'static str),
    /// It answers with this body in single bytes.
    Pieces(&'static str),
    /// It answers after this time with all remaining events.
    Late(Duration),
    /// It streams all remaining events.
    Stream,
    /// It streams all remaining events, and says that it is leaving.
    Leaves,
    /// It streams the events up to this one, then its connection breaks.
    Breaks(u64),
    /// It streams the events up to this one and the beginning of the next one, then its answer ends as
    /// if it were complete.
    Ends(u64),
    /// It streams the events up to this one, then sends nothing more.
    Hangs(u64),
    /// It begins an answer and crashes if a part of the prompt has this identifier; it streams all
    /// remaining events otherwise.
    CrashesOn(&'static str),
    /// It streams all remaining events, with a pause of half a second after this one.
    Pauses(u64),
    /// It streams all remaining events, with a pause of half a second after this one and each later
    /// one.
    Trickles(u64),
    /// It streams all remaining events, and names this limit on the requests a second of all nodes.
    Limits(f64),
    /// It streams all remaining events, and ends its answer half a second later.
    EndsLate,
}

/// Key of an organisation whose requests have the highest priority.
pub(crate) const URGENT_KEY: &str = "key-of-the-urgent";

/// Number of events of a complete answer.
pub(crate) const EVENTS: u64 = 6;

/// A request that an upstream received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) upstream: id::Vm,
    pub(crate) resume_after: Option<u64>,
    pub(crate) urgency: Option<Urgency>,
    pub(crate) priority: u8,
    /// Time until the deadline that it was given.
    pub(crate) remaining: Duration,
    pub(crate) may_reuse: bool,
}

/// Upstreams that act by script: one act per request, the last one repeatedly.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    scripts: Mutex<collections::HashMap<id::Vm, collections::VecDeque<Act>>>,
    /// Acts of whichever upstreams get the next requests, before those of the scripts.
    in_turn: Mutex<collections::VecDeque<Act>>,
    seen: Mutex<Vec<Seen>>,
    /// Whether upstreams answer probes.
    pub(crate) answers_probes: sync::atomic::AtomicBool,
}

impl Upstreams {
    /// Sets the acts for the next requests, whichever upstreams get them.
    pub(crate) fn act_in_turn(&self, acts: &[Act]) {
        self.in_turn.lock().extend(acts.iter().cloned());
    }

    fn act(&self, call: &Call<'_>) -> Act {
        let seen = Seen {
            upstream: call.upstream.clone(),
            resume_after: call.resume_after,
            urgency: call.urgency,
            priority: call.priority,
            remaining: call.remaining,
            may_reuse: call.may_reuse,
        };
        self.seen.lock().push(seen);
        if let Some(act) = self.in_turn.lock().pop_front() {
            return act;
        }
        let mut scripts = self.scripts.lock();
        let script = scripts.get_mut(call.upstream).expect("a script for each upstream");
        if script.len() > 1 { script.pop_front() } else { script.front().cloned() }.expect("an act")
    }
}

/// The body of a scripted answer.
#[derive(Debug)]
pub(crate) struct Scripted {
    parts: collections::VecDeque<bytes::Bytes>,
    /// Parts that follow after a pause.
    later: collections::VecDeque<bytes::Bytes>,
    /// Whether each of the later parts follows after a pause of its own.
    trickles: bool,
    end: End,
    peer: net::SocketAddr,
}

#[derive(Debug, PartialEq, Eq)]
enum End {
    Complete,
    /// With the connection.
    Undelimited,
    Broken,
    Silent,
}

impl Body for Scripted {
    async fn chunk(&mut self) -> Result<Option<bytes::Bytes>> {
        if let Some(part) = self.parts.pop_front() {
            return Ok(Some(part));
        }
        if !self.later.is_empty() {
            tokio::time::sleep(Duration::from_millis(500)).await;
            if self.trickles {
                return Ok(self.later.pop_front());
            }
            self.parts = std::mem::take(&mut self.later);
            return Ok(self.parts.pop_front());
        }
        match self.end {
            End::Complete | End::Undelimited => Ok(None),
            End::Broken => Err(error(Kind::Broken, self.peer)),
            End::Silent => std::future::pending().await,
        }
    }

    fn is_delimited(&self) -> bool {
        self.end != End::Undelimited
    }
}

fn error(kind: Kind, peer: net::SocketAddr) -> Error {
    Error { kind, step: "send", peer, cause: "as in the script".to_owned() }
}

fn events(from: u64, to: u64) -> collections::VecDeque<bytes::Bytes> {
    (from..=to).map(|n| bytes::Bytes::from(format!("id: {n}\ndata: text {n}\n\n"))).collect()
}

impl Client for Upstreams {
    type Body = Scripted;

    async fn send(&self, peer: net::SocketAddr, call: &Call<'_>) -> Result<Reply<Scripted>> {
        let next = call.resume_after.unwrap_or(0) + 1;
        let answer = |status: u16, parts, end| {
            let answer = Answer {
                status: StatusCode::from_u16(status).expect("a status"),
                headers: HeaderMap::new(),
                is_genuine: true,
                body: Scripted {
                    parts,
                    later: collections::VecDeque::new(),
                    trickles: false,
                    end,
                    peer,
                },
            };
            Ok(Reply { result: Verdict::Answer(answer), notice: Notice::default() })
        };
        let rejected = |notice| {
            let rejection = Rejection { reason: Reason::Full, culprit: None };
            Ok(Reply { result: Verdict::Rejected(rejection), notice })
        };
        match self.act(call) {
            Act::NotSent => Err(error(Kind::NotSent, peer)),
            Act::NotSentAfter(span) => {
                tokio::time::sleep(span).await;
                Err(error(Kind::NotSent, peer))
            }
            Act::Broken => Err(error(Kind::Broken, peer)),
            Act::Stale(span) => {
                tokio::time::sleep(span).await;
                Err(error(Kind::Stale, peer))
            }
            Act::Silent => std::future::pending().await,
            Act::Full => rejected(Notice::default()),
            Act::TurnsAway(span) => {
                rejected(Notice { retry_after: Some(span), ..Notice::default() })
            }
            Act::Status(status) => answer(status, collections::VecDeque::new(), End::Complete),
            Act::Whole(text) => answer(200, [bytes::Bytes::from(text)].into(), End::Complete),
            Act::Pieces(text) => {
                let whole = bytes::Bytes::from_static(text.as_bytes());
                let parts = (0..whole.len()).map(|at| whole.slice(at..=at)).collect();
                answer(200, parts, End::Complete)
            }
            Act::Late(span) => {
                tokio::time::sleep(span).await;
                answer(200, events(next, EVENTS), End::Complete)
            }
            Act::Stream => answer(200, events(next, EVENTS), End::Complete),
            Act::Leaves => {
                let reply = answer(200, events(next, EVENTS), End::Complete);
                reply.map(|reply| Reply {
                    notice: Notice { is_leaving: true, ..Notice::default() },
                    ..reply
                })
            }
            Act::Limits(rate) => {
                answer(200, events(next, EVENTS), End::Complete).map(|reply| Reply {
                    notice: Notice { limit: quota::Statement::Limited(rate), ..Notice::default() },
                    ..reply
                })
            }
            Act::Breaks(last) => answer(200, events(next, last), End::Broken),
            Act::Ends(last) => {
                let mut parts = events(next, last);
                if last > 0 {
                    parts.push_back(bytes::Bytes::from_static(b"id: 99\ndata: te"));
                }
                answer(200, parts, End::Undelimited)
            }
            Act::CrashesOn(part) => {
                let parts = call.request.generation.iter().flat_map(|made| &made.parts);
                let mut parts = parts.copied();
                match parts.any(|other| other == quarantine::Part::of(part)) {
                    true => answer(200, collections::VecDeque::new(), End::Broken),
                    false => answer(200, events(next, EVENTS), End::Complete),
                }
            }
            Act::EndsLate => {
                let mut reply = answer(200, events(next, EVENTS), End::Complete);
                if let Ok(Reply { result: Verdict::Answer(answer), .. }) = &mut reply {
                    answer.body.later = [bytes::Bytes::new()].into();
                }
                reply
            }
            Act::Hangs(last) => answer(200, events(next, last), End::Silent),
            act @ (Act::Pauses(last) | Act::Trickles(last)) => {
                let mut reply = answer(200, events(next, last), End::Complete);
                if let Ok(Reply { result: Verdict::Answer(answer), .. }) = &mut reply {
                    answer.body.trickles = matches!(act, Act::Trickles(_));
                    answer.body.later = events(last + 1, EVENTS);
                }
                reply
            }
        }
    }

    async fn report(&self, peer: net::SocketAddr, _: &id::Vm, _: Duration) -> Result<Report> {
        if !self.answers_probes.load(sync::atomic::Ordering::Relaxed) {
            return Err(error(Kind::NotSent, peer));
        }
        Ok(Report {
            incarnation: 1,
            orders: 0,
            is_busy: false,
            running: 0,
            waiting: 0,
            pace: 1.0,
            engine: upstream::Engine::default(),
        })
    }

    async fn order(&self, peer: net::SocketAddr, _: &id::Vm, _: &Command<'_>) -> Result<Outcome> {
        Err(error(Kind::NotSent, peer))
    }
}

/// A node's tables and request path.
pub(crate) struct World {
    pub(crate) host: sync::Arc<host::Host>,
    pub(crate) tables: tables::Tables,
    pub(crate) upstreams: sync::Arc<Upstreams>,
    pipeline: sync::Arc<pipeline::Pipeline<Upstreams>>,
}

/// The memory budget of a node.
pub(crate) const MEMORY: usize = 16 * 1024 * 1024;

/// Retry budget for tests that are not about retries. A node that has just started has no part of the
/// slack.
pub(crate) const AMPLE: fleet::Limits =
    fleet::Limits { ratio: 200.0, slack: 0.0, window: Duration::from_secs(10) };

impl World {
    /// Opens a node on the current runtime; upstreams `models-a`, `models-b` and so on, and
    /// `orders-a` and so on, act by the same scripts.
    pub(crate) fn open(scripts: &[&[Act]], retries: fleet::Limits) -> Self {
        let world = Self::starting(scripts, limits::Limits { retries, start_wait: Duration::ZERO });
        world.host.lifecycle.advance(lifecycle::Stage::Ready);
        world
    }

    /// Opens a node as [`World::open`] does, which has not yet started completely.
    pub(crate) fn starting(scripts: &[&[Act]], limits: limits::Limits) -> Self {
        static NODE: settings::Section =
            settings::Section { name: "node", help: "The node.", keys: &[memory::SETTING] };
        let text = format!("[node]\nmemory-limit = {MEMORY}\n");
        let settings = settings::Settings::parse("test", &text, &[&NODE]).expect("settings");
        let handle = tokio::runtime::Handle::current();
        let host = host::Host::open(settings, pool::Pool::attach(handle));
        let address = ([127, 0, 0, 1], 1).into();
        host.provide(sync::Arc::new(identity::Identity {
            node: "node-1".into(),
            zone: "zone-1".into(),
            mesh: address,
            link: address,
            boot: 1,
            memory: 512,
            bootstrap: false,
            regions: collections::BTreeMap::new(),
        }));
        host.provide(sync::Arc::new(limits));
        let upstreams = sync::Arc::new(Upstreams::default());
        host.provide(sync::Arc::clone(&upstreams));
        let tables = tables::Tables::of(&host);
        let mut changes = vec![change(Subject::Deployment, Fact::Deployment(declared().into()))];
        for (number, script) in scripts.iter().enumerate() {
            for service in ["models", "orders"] {
                let vm = registered(service, number);
                upstreams.scripts.lock().insert(vm.id.clone(), script.iter().cloned().collect());
                let fact = Fact::Upstream(sync::Arc::new(vm.clone()));
                changes.push(change(Subject::Upstream(vm.id), fact));
            }
        }
        tables.catalog.lock().replace(Changes { revision: rev(1), changes }, host.now());
        let pipeline = pipeline::Pipeline::new(&host).expect("all ports are there");
        Self { host, tables, upstreams, pipeline }
    }

    /// Sends a request and reads its whole answer: status, body and the refusal that ended it, if
    /// any.
    pub(crate) async fn send(&self, path: &'static str) -> (u16, String, Option<refusal::Refusal>) {
        self.send_request(self.request(path)).await
    }

    pub(crate) async fn send_request(
        &self,
        request: request::Request,
    ) -> (u16, String, Option<refusal::Refusal>) {
        let answer = match self.pipeline.handle(request).await {
            Ok(answer) => answer,
            Err(refusal) => return (0, String::new(), Some(refusal)),
        };
        let mut relay = answer.relay;
        let mut body = Vec::new();
        loop {
            match relay.next().await {
                Ok(Some(part)) => body.extend_from_slice(&part),
                Ok(None) => break,
                Err(refusal) => return (answer.status.as_u16(), text(body), Some(refusal)),
            }
        }
        (answer.status.as_u16(), text(body), None)
    }

    /// Sends a request, and leaves its answer to be read.
    pub(crate) async fn begin(&self, path: &'static str) -> pipeline::Answer<Upstreams> {
        self.begin_request(self.request(path)).await
    }

    pub(crate) async fn begin_request(
        &self,
        request: request::Request,
    ) -> pipeline::Answer<Upstreams> {
        self.pipeline.handle(request).await.expect("an answer")
    }

    pub(crate) fn request(&self, path: &'static str) -> request::Request {
        let generates = path.starts_with("/draft/") || path.starts_with("/note/");
        request::Request {
            id: "request-1".to_owned(),
            method: Method::POST,
            target: path.parse().expect("a path"),
            host: "shop.example".to_owned(),
            headers: HeaderMap::new(),
            body: bytes::Bytes::from_static(b"{}"),
            api_key: None,
            generation: generates.then(|| request::Generation {
                model: "small".into(),
                prompt_tokens: 100,
                max_tokens: 42,
                parts: Vec::new(),
            }),
            resume_after: None,
            arrived: self.host.now(),
            deadline: None,
            disconnect: disconnect::Handle::default(),
        }
    }

    /// A stream whose prompt shares these parts with other requests.
    pub(crate) fn prompt(&self, id: &str, parts: &[&str]) -> request::Request {
        let mut request = self.request("/draft/7");
        request.id = id.to_owned();
        if let Some(generation) = &mut request.generation {
            generation.parts = parts.iter().map(|part| quarantine::Part::of(part)).collect();
        }
        request
    }

    /// Declares the group of an upstream stalled after a delay, as the watchdog does. Its latest event
    /// is taken to have come just before.
    pub(crate) fn declare_stalled(
        &self,
        upstream: &'static str,
        delay: Duration,
    ) -> tokio::task::JoinHandle<()> {
        self.declare_silent(upstream, delay, self.host.now() + delay)
    }

    /// Declares the group of an upstream stalled after a delay, with the time of its latest event.
    pub(crate) fn declare_silent(
        &self,
        upstream: &'static str,
        delay: Duration,
        progress: moment::Moment,
    ) -> tokio::task::JoinHandle<()> {
        let (tables, host) = (self.tables.clone(), self.host.clone());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let now = host.now();
            let progress = Some(progress);
            let stall = tables::stalls::Stall {
                epoch: 1,
                detected: now,
                progress,
                is_own: true,
                has_lost_member: false,
            };
            tables.stalls.lock().insert(&upstream.into(), stall);
            tables.activity.lock().interrupt(upstream);
        })
    }

    /// Makes the node the only one that is registered, so that it grants permits to itself.
    pub(crate) async fn register(&self) {
        let own: id::Node = "node-1".into();
        self.observe(std::slice::from_ref(&own));
        // The part of a node counts only after a while.
        tokio::time::sleep(Duration::from_millis(1_050)).await;
        let now = self.host.now();
        let part = self.tables.census.lock().share(now);
        let nodes = std::slice::from_ref(&own);
        assert_eq!(self.tables.quotas.lock().ask(&own, nodes, part, true, now), None);
    }

    /// Learns which nodes are registered, all of which started together.
    pub(crate) fn observe(&self, registered: &[id::Node]) {
        let now = self.host.now();
        let identity = self.host.port::<identity::Identity>().expect("an identity");
        let identity = identity::Identity { bootstrap: true, ..(*identity).clone() };
        let is_own = registered.contains(&identity.node);
        let own = if is_own { census::Registration::Own } else { census::Registration::Absent };
        let view = census::View { own, informed: now + Duration::from_secs(60) };
        self.tables.census.lock().observe(&identity, registered, view, now);
    }

    /// Receives a report of another node with requests in progress at an upstream.
    pub(crate) fn report(&self, upstream: &str, requests: u32) {
        let hash = mesh::hash(upstream);
        let row = mesh::Row { upstream: hash, requests, ..mesh::Row::default() };
        let load = mesh::Load { nodes: 1, rows: vec![row], usage: Vec::new() };
        let reporter =
            tables::activity::Reporter::Node(format!("beside-{upstream}").as_str().into());
        self.tables.activity.lock().update_peer(&reporter, (2, 1), &load, self.host.now());
    }

    /// Registers the state of the upstream of a service that leads a group.
    pub(crate) fn set_state(&self, number: usize, state: upstream::State, revision: u64) {
        let vm = upstream::Upstream { state, ..registered("models", number) };
        let subject = Subject::Upstream(vm.id.clone());
        let fact = Some(Fact::Upstream(sync::Arc::new(vm)));
        let changes = vec![Change { revision, subject, fact }];
        self.tables
            .catalog
            .lock()
            .apply(Changes { revision: rev(revision), changes }, self.host.now());
    }

    /// The requests that upstreams received, in order.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.upstreams.seen.lock().clone()
    }
}

fn text(body: Vec<u8>) -> String {
    String::from_utf8(body).expect("answers are text")
}

/// Body of a complete stream.
pub(crate) fn whole_stream() -> String {
    let events: Vec<_> = events(1, EVENTS).into_iter().flatten().collect();
    text(events)
}

pub(crate) fn change(subject: Subject, fact: Fact) -> Change {
    Change { revision: 1, subject, fact: Some(fact) }
}

/// An upstream of a service; if the service generates with models, it leads a group of its own that
/// is open.
pub(crate) fn registered(service: &str, number: usize) -> upstream::Upstream {
    let engine = upstream::Engine {
        fabric: Some("fabric-1".into()),
        staged: vec!["small".into()],
        member: Some(upstream::Member {
            group: format!("group-{number}").as_str().into(),
            epoch: 1,
            rank: 0,
            state: upstream::MemberState::Open,
        }),
        models: vec!["small".into()],
    };
    let letter = char::from(b'a' + u8::try_from(number).expect("few upstreams"));
    upstream::Upstream {
        id: format!("{service}-{letter}").as_str().into(),
        service: service.into(),
        address: ([127, 0, 0, 1], 100).into(),
        zone: if number == 0 { "zone-1".into() } else { "zone-2".into() },
        version: "1".to_owned(),
        slots: 8,
        state: upstream::State::Ready,
        cold_left: Duration::ZERO,
        incarnation: 1,
        engine: (service == "models").then_some(engine),
    }
}

fn route(prefix: &str, service: &str, kind: deployment::Kind) -> deployment::Route {
    deployment::Route {
        name: prefix.into(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        max_gap: None,
        priority: 1,
        split: vec![deployment::Share { service: service.into(), weight: 1 }],
        attempt_limit: 3,
        public: true,
        regions: Vec::new(),
    }
}

fn declared() -> deployment::Deployment {
    let engine = deployment::Engine {
        slots: 8,
        kv_capacity: 1_590_000,
        pass_steps: 7,
        step_time: Duration::from_micros(5_950),
        sequence_time: Duration::from_nanos(44_500),
        context_time: Duration::from_nanos(8_130),
        prefill_rate: 50_700.0,
        attention_time: Duration::from_micros(368),
        prefill_chunk: 2_048,
        models: vec![deployment::Model {
            name: "small".into(),
            size: 1,
            pace: 1.0,
            share: 1.0,
            load: Duration::from_secs(1),
            warm: Duration::from_millis(100),
        }],
        load_limits: deployment::LoadLimits::default(),
        staged_models: 1,
        cross_domain: 1.0,
        open_time: Duration::from_millis(100),
        mean_prompt: 100,
        mean_answer: 42,
    };
    let service = |engine| deployment::Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        cold: deployment::Cold::default(),
        engine,
    };
    deployment::Deployment {
        version: 1,
        routes: vec![
            route("/draft/", "models", deployment::Kind::ResumableStream),
            route("/note/", "models", deployment::Kind::Stream),
            route("/status/", "orders", deployment::Kind::Idempotent),
            route("/order/", "orders", deployment::Kind::Once),
            deployment::Route {
                attempt_limit: 1,
                ..route("/price/", "orders", deployment::Kind::Idempotent)
            },
        ],
        services: [("models".into(), service(Some(engine))), ("orders".into(), service(None))]
            .into(),
        organisations: vec![deployment::Organisation {
            name: "urgent".into(),
            keys: vec![URGENT_KEY.to_owned()],
            priority: Some(0),
            regions: Vec::new(),
        }]
        .into(),
        ..deployment::Deployment::default()
    }
}

/// A revision of a store that does not name its eras.
pub(crate) fn rev(number: u64) -> revision::Revision {
    revision::Revision { era: 0, number }
}
