//! Rate limits that upstreams name: the requests a second that one takes from all nodes together.
//!
//! Each node owns a part of every limit, its share by the [census](crate::census); the parts add up to at
//! most 1.
//! A node [lends](lender) its part to one node at a time, for a bounded time. That node, the
//! [grantor], collects the parts that it was lent in a token bucket for each upstream, and grants a
//! [permit](permits) for each request to the nodes that ask, whichever of them has the requests.
//!
//! Nodes need not agree on the grantor: if there are several, as nodes are cut off from each other,
//! each grants only from the parts that it was lent. The sum therefore stays within the limit while
//! nodes come, go, pause and are cut off, and while they are connected, one grantor has all of it.

pub mod grantor;
pub mod known;
pub mod lender;
pub mod permits;

pub use grantor::Grantor;
pub use known::Known;
pub use lender::Lender;
pub use permits::Permits;

/// Largest limit in requests a second; a higher one limits nothing.
pub const MAX_RATE: f64 = 1_000_000.0;

/// Requests a second that an upstream gets at least, over all nodes. Only its answers tell that a limit
/// of 0 has ended.
pub const MIN_RATE: f64 = 0.2;

/// What an answer says of the limit of its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// It names none.
    #[default]
    Unlimited,
    /// It names this number of requests a second.
    Limited(f64),
    /// It names something that is no limit, and leaves what was known.
    Invalid,
}

impl Statement {
    /// Reads the text of a limit.
    ///
    /// # Examples
    ///
    /// ```
    /// use corneltrestle_policy::quota::Statement;
    ///
    /// assert_eq!(Statement::parse("2.5"), Statement::Limited(2.5));
    /// assert_eq!(Statement::parse("1e300"), Statement::Unlimited);
    /// assert_eq!(Statement::parse("-1"), Statement::Invalid);
    /// ```
    pub fn parse(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_nan() || rate < 0.0 => Self::Invalid,
            Ok(rate) if rate > MAX_RATE => Self::Unlimited,
            Ok(rate) => Self::Limited(rate),
            Err(_) => Self::Invalid,
        }
    }
}
