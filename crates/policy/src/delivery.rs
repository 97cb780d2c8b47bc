//! Checks of stream events before anything of them reaches the caller.

use corneltrestle_time::moment;

/// An event of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Event<'a> {
    /// The request that the upstream says it belongs to.
    pub request: &'a str,
    /// Index of the token, from 0.
    pub index: u64,
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on.
    Deliver,
    /// Pass on nothing; it has been delivered before.
    Drop,
    /// Close the connection and pass on nothing: the answer belongs to another request.
    Mismatch,
    /// Close the connection and pass on nothing: tokens are missing.
    Gap,
    /// Close the connection and pass on nothing: the attempt has ended before.
    Closed,
}

/// The delivery of one request over its attempts.
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
    /// Most resumes of one request.
    pub const MAX_RESUMES: u8 = 3;

    /// Opens the delivery of a request before its first attempt.
    pub fn new(request: &str) -> Self {
        Self::starting_at(request, 0)
    }

    /// Opens the delivery of the rest of an answer, from the token with index `next`.
    pub fn starting_at(request: &str, next: u64) -> Self {
        Self { request: request.to_owned(), next, resumes: 0, state: State::Open }
    }

    /// Index of the token that is delivered next.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Whether the end mark has arrived after all tokens; only then is the answer complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Checks an event of the present attempt. After a fault the attempt delivers nothing more.
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

    /// Takes the end mark of the present attempt.
    pub fn end(&mut self) -> Verdict {
        if self.state != State::Open {
            return Verdict::Closed;
        }
        self.state = State::Complete;
        Verdict::Deliver
    }

    /// Decides whether another attempt may go on after the present one failed, was cut off or fell
    /// silent: at most [`Delivery::MAX_RESUMES`] times and before the deadline.
    ///
    /// Returns the index of the token to go on with.
    pub fn resume(&mut self, deadline: moment::Moment, now: moment::Moment) -> Option<u64> {
        if self.state == State::Complete {
            return None;
        }
        self.state = State::Broken;
        if self.resumes >= Self::MAX_RESUMES || now >= deadline {
            return None;
        }
        self.resumes += 1;
        self.state = State::Open;
        Some(self.next)
    }
}
