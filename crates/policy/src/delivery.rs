//! Checks each event of a stream before it is forwarded to the caller.
//!
//! Events carry the id of their request and a token index, so events of another request, repeated
//! tokens and gaps are detected, and a stream can resume on another connection or upstream where
//! the previous attempt stopped.

use corneltrestle_time::moment;

/// An event of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Event<'a> {
    /// Id of the request that the event belongs to, as stated by the upstream.
    pub request: &'a str,
    /// Index of the token in the response, from 0.
    pub index: u64,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Forward the event.
    Deliver,
    /// Discard the event; its token has been delivered already.
    Drop,
    /// Close the connection and discard the event: it belongs to another request.
    Mismatch,
    /// Close the connection and discard the event: tokens before it are missing.
    Gap,
    /// Close the connection and discard the event: the attempt has already ended or failed.
    Closed,
}

/// Progress of the delivery of one response over all its attempts.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::delivery::{Delivery, Event, Verdict};
///
/// let mut delivery = Delivery::new("r-1");
/// let event = Event { request: "r-1", index: 0 };
/// assert_eq!(delivery.check(&event), Verdict::Deliver);
/// assert_eq!(delivery.check(&event), Verdict::Drop);
/// assert_eq!(delivery.check(&Event { request: "r-2", ..event }), Verdict::Mismatch);
/// assert_eq!(delivery.next_index(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Delivery {
    request: String,
    next: u64,
    resumes: u8,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Broken,
    Complete,
}

impl Delivery {
    /// Limit on the resumes of one request.
    pub const MAX_RESUMES: u8 = 3;

    /// Starts the delivery of a complete response, before the first attempt.
    pub fn new(request: &str) -> Self {
        Self::starting_at(request, 0)
    }

    /// Starts the delivery of the rest of a response, from the token with index `next`.
    pub fn starting_at(request: &str, next: u64) -> Self {
        Self { request: request.to_owned(), next, resumes: 0, state: State::Open }
    }

    /// Index of the next token to deliver.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Whether the end mark has arrived after all tokens; only then is the response complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Checks an event of the current attempt. After a mismatch or gap the attempt delivers nothing
    /// more.
    pub fn check(&mut self, event: &Event<'_>) -> Verdict {
        if self.state != State::Open {
            return Verdict::Closed;
        }
        if event.request != self.request {
            self.state = State::Broken;
            return Verdict::Mismatch;
        }
        if event.index < self.next {
            return Verdict::Drop;
        }
        if event.index > self.next {
            self.state = State::Broken;
            return Verdict::Gap;
        }
        self.next += 1;
        Verdict::Deliver
    }

    /// Checks the end mark of the current attempt; [`Verdict::Deliver`] completes the response.
    pub fn end(&mut self) -> Verdict {
        if self.state != State::Open {
            return Verdict::Closed;
        }
        self.state = State::Complete;
        Verdict::Deliver
    }

    /// Whether [`Delivery::resume`] would allow another attempt.
    pub fn may_resume(&self, deadline: moment::Moment, now: moment::Moment) -> bool {
        self.state != State::Complete && self.resumes < Self::MAX_RESUMES && now < deadline
    }

    /// Decides whether another attempt may continue after the current one failed, was cut off or
    /// stalled: at most [`Delivery::MAX_RESUMES`] times, and only before the deadline.
    ///
    /// Returns the index of the token to continue with, or `None` if the response stays incomplete
    /// or is complete already.
    pub fn resume(&mut self, deadline: moment::Moment, now: moment::Moment) -> Option<u64> {
        if self.state == State::Complete {
            return None;
        }
        self.state = State::Broken;
        if !self.may_resume(deadline, now) {
            return None;
        }
        self.resumes += 1;
        self.state = State::Open;
        Some(self.next)
    }
}
