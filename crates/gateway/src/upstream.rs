//! Calls to upstreams: requests that are passed on, reports and orders.

mod error;

use std::{net, time};

use corneltrestle_policy::{formation, id, upstream};

use crate::request;

pub use error::{Error, Kind};

/// The result of a call to an upstream.
pub type Result<T> = std::result::Result<T, Error>;

/// A request as it is passed on to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The request of the caller.
    pub request: &'a request::Request,
    /// The upstream that is meant; any other one at the address refuses the request.
    pub upstream: &'a id::Vm,
    /// Organisation of the caller.
    pub organisation: Option<&'a id::Organisation>,
    /// Time after which nobody waits for the answer.
    pub remaining: time::Duration,
    /// Id of the last event that has been delivered, if the call goes on with a stream.
    pub resume_after: Option<u64>,
    /// Urgency at the upstream, if it knows urgencies.
    pub urgency: Option<Urgency>,
    /// Whether the request may be sent twice over connections that turn out to be closed.
    pub repeatable: bool,
}

/// Urgency of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A stream that goes on: its caller has seen a part of it and waits.
    Resumed,
    /// A request that can be on time.
    Normal,
    /// A request that is late already, or will be.
    Late,
}

/// What an upstream answered.
#[derive(Debug)]
pub enum Reply<B> {
    /// It has not run the request.
    Rejected(Rejection),
    /// Its answer.
    Answer(Answer<B>),
}

/// Why an upstream has not run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason.
    pub reason: Reason,
    /// The member of its group that is at fault, if it names one.
    pub culprit: Option<id::Vm>,
}

/// Reasons of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It has no place for the request, or cannot serve now.
    Full,
    /// It is not the upstream that was meant, or does not take requests.
    Misdirected,
    /// It finds fault with the request.
    Invalid,
}

/// The answer of an upstream that has run a request.
#[derive(Debug)]
pub struct Answer<B> {
    /// Status.
    pub status: hyper::StatusCode,
    /// Headers that are passed on.
    pub headers: hyper::HeaderMap,
    /// Whether the upstream vouches for the answer.
    pub is_genuine: bool,
    /// The body.
    pub body: B,
}

/// The body of an answer; dropping it before its end ends the work of the upstream.
pub trait Body: Send + std::fmt::Debug + 'static {
    /// The next part, or `None` after the complete body.
    ///
    /// # Errors
    ///
    /// When the body ends before it is complete.
    fn chunk(&mut self) -> impl Future<Output = Result<Option<bytes::Bytes>>> + Send;
}

/// What an upstream reports of its engine; the figures lag.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Identifier of its start.
    pub born: u64,
    /// Orders that it has accepted since its start.
    pub orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Factor by which it is slower than usual.
    pub pace: f64,
    /// Its models, group and fabric domain.
    pub engine: upstream::Engine,
}

/// An order with what makes it safe to repeat.
#[derive(Clone, Copy, Debug)]
pub struct Command<'a> {
    /// The order.
    pub order: &'a formation::Order,
    /// Fencing token of the node that gives it.
    pub token: u64,
    /// Longest time for the answer.
    pub timeout: time::Duration,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has begun.
    Begun,
    /// Its effect stands already.
    Standing,
    /// It does not fit the state of the upstream, or another order came before it.
    Conflict,
    /// A higher fencing token or epoch has been seen.
    Fenced,
    /// Another upstream has the address.
    Misdirected,
    /// The upstream knows no such order.
    Unknown,
}

/// Calls to upstreams by their address.
pub trait Client: Send + Sync + std::fmt::Debug + 'static {
    /// Bodies of answers.
    type Body: Body;

    /// Passes a request on and waits for the head of the answer.
    fn send(
        &self,
        peer: net::SocketAddr,
        call: &Call<'_>,
    ) -> impl Future<Output = Result<Reply<Self::Body>>> + Send;

    /// Asks for the report of the upstream `id` within `limit`.
    fn report(
        &self,
        peer: net::SocketAddr,
        id: &id::Vm,
        limit: time::Duration,
    ) -> impl Future<Output = Result<Report>> + Send;

    /// Gives an order to the upstream `id`.
    fn order(
        &self,
        peer: net::SocketAddr,
        id: &id::Vm,
        command: &Command<'_>,
    ) -> impl Future<Output = Result<Outcome>> + Send;
}
