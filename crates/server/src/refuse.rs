//! Answers that a server gives without asking its service.

/// Why a connection ends without a complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The header did not arrive whole in time.
    HeaderLate,
    /// The server has too many connections.
    Connections,
}

/// Refusals in the form of a front end.
pub trait Refuse: Clone + Send + Sync + Unpin + 'static {
    /// Bodies of answers.
    type Body;

    /// The answer to a request whose header exceeds a limit; `message` names the limit.
    fn header_too_large(&self, message: &str) -> hyper::Response<Self::Body>;

    /// A complete HTTP/1.1 answer as bytes, for a connection on which there is no request.
    fn without_request(&self, cause: Cause) -> Vec<u8>;
}
