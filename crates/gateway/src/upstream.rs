//! Client interface to upstreams: forwarded requests, reports and orders.

mod error;

use std::{net, time};

use corneltrestle_policy::{formation, id, quota, upstream};

use crate::request;

pub use error::{Error, Kind};

/// The result of a call to an upstream.
pub type Result<T> = std::result::Result<T, Error>;

/// A request as it is sent to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The caller's request.
    pub request: &'a request::Request,
    /// Id of the intended upstream; another one that has the address by now rejects the request.
    pub upstream: &'a id::Vm,
    /// Organisation of the caller; `None` if its key is missing or unknown.
    pub organisation: Option<&'a id::Organisation>,
    /// Time until the deadline, after which nobody waits for the answer.
    pub remaining: time::Duration,
    /// Id of the last event delivered, if the call resumes a stream.
    pub resume_after: Option<u64>,
    /// Urgency at the upstream; `None` if the upstream does not prioritise requests.
    pub urgency: Option<Urgency>,
    /// Priority among requests of the same urgency, 0 is the highest.
    pub priority: u8,
    /// Whether it may be sent on a connection that was used before. The upstream may have closed it by
    /// then, see [`Kind::Stale`], or something on the way may have lost track of it.
    pub may_reuse: bool,
}

/// Urgency of a request at an upstream, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A resumed stream: its caller has received a part of it and waits for the rest.
    Resumed,
    /// A request whose first event can meet the route's objective.
    Normal,
    /// A request whose first event is late already, or predicted to be late.
    Late,
}

/// Reply of an upstream.
#[derive(Debug)]
pub struct Reply<B> {
    /// What it did with the request.
    pub result: Verdict<B>,
    /// What it says of itself.
    pub notice: Notice,
}

/// What an upstream did with a request.
#[derive(Debug)]
pub enum Verdict<B> {
    /// It has not run the request.
    Rejected(Rejection),
    /// It has run the request.
    Answer(Answer<B>),
}

/// What an upstream says of itself beside an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving and wants no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this node.
    pub retry_after: Option<time::Duration>,
    /// The limit that it names on the requests of all nodes.
    pub limit: quota::Statement,
}

/// Why an upstream has not run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason that it gave.
    pub reason: Reason,
    /// The member of its group that caused the rejection, if it names one.
    pub culprit: Option<id::Vm>,
}

/// Reason of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is at capacity, or cannot serve now.
    Full,
    /// It is not the intended upstream, or does not take requests.
    Misdirected,
    /// It considers the request invalid.
    Invalid,
}

/// The answer of an upstream that has run a request.
#[derive(Debug)]
pub struct Answer<B> {
    /// HTTP status.
    pub status: hyper::StatusCode,
    /// Headers without hop-by-hop ones.
    pub headers: hyper::HeaderMap,
    /// Whether the answer is proven to come unchanged from the upstream, and not from a proxy in
    /// between.
    pub is_genuine: bool,
    /// The body.
    pub body: B,
}

impl<B> Answer<B> {
    /// Whether callers would take the status as a statement that the request has not run. An upstream
    /// that has not run a request says so in another way, see [`Rejection`].
    pub fn claims_not_run(&self) -> bool {
        matches!(
            self.status,
            hyper::StatusCode::REQUEST_TIMEOUT
                | hyper::StatusCode::MISDIRECTED_REQUEST
                | hyper::StatusCode::TOO_MANY_REQUESTS
                | hyper::StatusCode::SERVICE_UNAVAILABLE
        )
    }
}

/// The body of an answer. Dropping it before its end cancels the request at the upstream.
pub trait Body: Send + std::fmt::Debug + 'static {
    /// The next part, or `None` after the complete body.
    ///
    /// # Errors
    ///
    /// When the body ends before it is complete.
    fn chunk(&mut self) -> impl Future<Output = Result<Option<bytes::Bytes>>> + Send;

    /// Whether its end is known from a length or from chunks. Otherwise it ends with its connection,
    /// which cannot be told from a crash of the upstream.
    fn is_delimited(&self) -> bool;
}

/// What an upstream reports about itself; the figures lag behind its state.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Identifier of the start of its process.
    pub incarnation: u64,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Factor by which it is slower than normal; 1 at normal speed.
    pub pace: f64,
    /// Its models, group membership and fabric domain.
    pub engine: upstream::Engine,
}

/// An order to a VM, with the token that protects it against former coordinators.
#[derive(Clone, Copy, Debug)]
pub struct Command<'a> {
    /// The formation step to carry out.
    pub order: &'a formation::Order,
    /// Fencing token of the coordinator that sends it.
    pub token: u64,
    /// Timeout of the answer.
    pub timeout: time::Duration,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The VM has begun to carry it out.
    Begun,
    /// Its effect is already in place.
    Standing,
    /// It does not match the state of the VM, or another order came first.
    Conflict,
    /// The VM has seen a higher fencing token or epoch.
    Fenced,
    /// Another VM has the address by now.
    Misdirected,
    /// The VM does not know this kind of order.
    Unknown,
}

/// Client for upstreams, which are called by their address.
pub trait Client: Send + Sync + std::fmt::Debug + 'static {
    /// Body of an answer.
    type Body: Body;

    /// Sends a request and waits for the head of the answer.
    fn send(
        &self,
        peer: net::SocketAddr,
        call: &Call<'_>,
    ) -> impl Future<Output = Result<Reply<Self::Body>>> + Send;

    /// Requests the report of the upstream `id`; fails after `limit`.
    fn report(
        &self,
        peer: net::SocketAddr,
        id: &id::Vm,
        limit: time::Duration,
    ) -> impl Future<Output = Result<Report>> + Send;

    /// Sends an order to the upstream `id`.
    fn order(
        &self,
        peer: net::SocketAddr,
        id: &id::Vm,
        command: &Command<'_>,
    ) -> impl Future<Output = Result<Outcome>> + Send;
}
