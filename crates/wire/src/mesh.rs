//! Messages between the entry nodes of a deployment: datagrams, and the gRPC calls in
//! [`generated`].
//!
//! Facts are what nodes know of the platform: the configuration, evacuations, registrations and the
//! holder of the coordinator's lease. An era and a revision in it identify their state.
//!
//! A datagram depends on no other one, so that it may be lost, duplicated or reordered. Unknown
//! fields are ignored.

#[allow(missing_docs, unreachable_pub, clippy::all)]
pub mod generated;

use prost::Message;

/// Size limit of a datagram, so that it fits into one Ethernet frame.
pub const MAX_BYTES: usize = 1_400;

/// Size limit of [`Delta::changes`], which leaves room for the other fields.
pub const MAX_DELTA_BYTES: usize = 1_000;

/// Limit on the rows of a load; [`encode`] drops those beyond it.
pub const MAX_ROWS: usize = 80;

/// Limit on each list of prompt parts in a datagram.
pub const MAX_PARTS: usize = 16;

/// Limit on the limits of upstreams in a datagram, and on the rows of a [`Permits`].
pub const MAX_LIMITS: usize = 12;

/// The result of decoding a datagram.
pub type Result<T> = std::result::Result<T, prost::DecodeError>;

/// What a node sends to others: periodically, and at once when a change is urgent.
///
/// A fact is one entry of the platform's state, for example the configuration or the registration of
/// an upstream. Its source is the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The node that composed the datagram; required, although others may forward it.
    #[prost(message, optional, tag = "1")]
    pub origin: Option<Origin>,
    /// Revision of the facts that the origin knows.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Milliseconds since the source of facts confirmed them; `u32::MAX` if it never did.
    #[prost(uint32, tag = "3")]
    pub age: u32,
    /// Requests in progress; absent if the datagram was sent for another purpose.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
    /// Stalled upstreams.
    #[prost(message, repeated, tag = "5")]
    pub stalls: Vec<Stall>,
    /// Changes of facts up to `revision`; absent if none are sent.
    #[prost(message, optional, tag = "6")]
    pub delta: Option<Delta>,
    /// Whether the receiver replies at once with its own state.
    #[prost(bool, tag = "7")]
    pub wants_reply: bool,
    /// Whether a receiver in another zone forwards the datagram within its zone, unless it is
    /// `relayed`.
    #[prost(bool, tag = "8")]
    pub forward: bool,
    /// The confirmation that `age` counts from; absent if it is not known.
    #[prost(message, optional, tag = "9")]
    pub confirmation: Option<Confirmation>,
    /// Whether a node of the receiver's zone has forwarded the datagram.
    #[prost(bool, tag = "10")]
    pub relayed: bool,
    /// Requests of the origin that were lost with their upstreams before they began, at most
    /// [`MAX_PARTS`].
    #[prost(message, repeated, tag = "11")]
    pub crashes: Vec<Crash>,
    /// Quarantined parts of prompts with the age of their latest crash, at most [`MAX_PARTS`].
    #[prost(message, repeated, tag = "12")]
    pub quarantined: Vec<Part>,
    /// Parts that were suspected, with the time since a request with them began, at most
    /// [`MAX_PARTS`].
    #[prost(message, repeated, tag = "13")]
    pub sound: Vec<Part>,
    /// Limits that upstreams have named, at most [`MAX_LIMITS`].
    #[prost(message, repeated, tag = "14")]
    pub limits: Vec<Limit>,
    /// A request for permits, or the answer to one; absent otherwise.
    #[prost(message, optional, tag = "15")]
    pub permits: Option<Permits>,
    /// Era of `revision` and of the changes; 0 if the source does not name its eras.
    #[prost(uint64, tag = "16")]
    pub era: u64,
}

/// Identifies an answer of the source of facts, which confirms that a node's facts are current.
///
/// Each node counts a confirmation once. The age that it is sent with omits the transfer time;
/// without the identifier, facts that nodes pass back and forth would therefore never age.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Confirmation {
    /// `Origin::boot` of the process that asked the source.
    #[prost(fixed64, tag = "1")]
    pub boot: u64,
    /// Increases with each confirmation that the process receives.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The node that composed a datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Origin {
    /// Its name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Random number drawn at the start of its process.
    #[prost(fixed64, tag = "3")]
    pub boot: u64,
    /// Increases with each datagram of the process.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Address of its gRPC server.
    #[prost(string, tag = "5")]
    pub link: String,
    /// Whether it is draining and takes no new work.
    #[prost(bool, tag = "6")]
    pub draining: bool,
}

/// Requests in progress, of one node or of all nodes of its zone.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Number of nodes whose requests are summed here; 0 for the origin alone.
    #[prost(uint32, tag = "1")]
    pub nodes: u32,
    /// Requests by upstream, at most [`MAX_ROWS`].
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<Row>,
    /// Use of the retry budget by service.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<Usage>,
}

/// Requests in progress at an upstream.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Row {
    /// Hash of the upstream's identifier, see [`hash`].
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Requests that run or wait at the upstream.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens that the upstream has not processed.
    #[prost(uint32, tag = "3")]
    pub unread: u32,
    /// Milliseconds since any open stream received an event, plus 1; 0 if no stream is open.
    #[prost(uint32, tag = "4")]
    pub event_age: u32,
    /// Number of `requests` that wait behind all others.
    #[prost(uint32, tag = "5")]
    pub late: u32,
    /// Number of `unread` tokens that belong to `late` requests.
    #[prost(uint32, tag = "6")]
    pub late_unread: u32,
}

/// Attempts sent to a service within the window of the retry budget.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Usage {
    /// Hash of the service's name, see [`hash`].
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Requests sent, each counted once.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Attempts beyond the first one of each request.
    #[prost(uint32, tag = "3")]
    pub extra: u32,
}

/// A stall of the group that an upstream leads: its requests make no progress.
#[derive(Clone, PartialEq, Message)]
pub struct Stall {
    /// Identifier of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the stalled group; the stall does not apply to a later group of the upstream.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Milliseconds since the stall was detected.
    #[prost(uint32, tag = "3")]
    pub age: u32,
    /// Milliseconds since the latest event of any stream, plus 1; 0 if no event is known.
    #[prost(uint32, tag = "4")]
    pub event_age: u32,
}

/// A request that was lost with its upstream before it began.
#[derive(Clone, PartialEq, Message)]
pub struct Crash {
    /// Hash of the upstream's process.
    #[prost(fixed64, tag = "1")]
    pub upstream: u64,
    /// Hash of the request's identifier.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Hashes of the parts of its prompt that are suspected, at most [`MAX_PARTS`].
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// Milliseconds since the upstream failed.
    #[prost(uint32, tag = "4")]
    pub age: u32,
    /// Milliseconds since the request was sent.
    #[prost(uint32, tag = "5")]
    pub sent: u32,
}

/// A part of prompts, with the age of what is said of it.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Part {
    /// Hash of the part's identifier.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Milliseconds since then.
    #[prost(uint32, tag = "2")]
    pub age: u32,
}

/// The requests a second that an upstream takes from all nodes together.
#[derive(Clone, PartialEq, Message)]
pub struct Limit {
    /// Identifier of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Identifier of the start of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Requests a second; absent if it no longer names a limit.
    #[prost(double, optional, tag = "3")]
    pub rate: Option<f64>,
    /// Milliseconds since an answer of the upstream said so.
    #[prost(uint32, tag = "4")]
    pub age: u32,
    /// Identifier of the process that got this answer.
    #[prost(fixed64, tag = "5")]
    pub boot: u64,
    /// When it got it, in microseconds on its clock.
    #[prost(uint64, tag = "6")]
    pub micros: u64,
}

/// A request for permits to send to upstreams with a limit, or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Permits {
    /// Time of the request in microseconds on the clock of the asking process; repeated in the answer.
    #[prost(uint64, tag = "1")]
    pub asked: u64,
    /// Whether it is the answer.
    #[prost(bool, tag = "2")]
    pub is_grant: bool,
    /// The part of the limits that the asking node lends; 0 if it lends none.
    #[prost(double, tag = "3")]
    pub part: f64,
    /// Permits by upstream, at most [`MAX_LIMITS`].
    #[prost(message, repeated, tag = "4")]
    pub rows: Vec<PermitRow>,
}

/// Permits for an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRow {
    /// Identifier of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Permits that are wanted, or granted.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// In an answer, milliseconds until a further one is expected.
    #[prost(uint32, tag = "3")]
    pub wait: u32,
}

/// Changes of facts between two revisions.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// Revision that the changes start from; they end at [`Datagram::revision`].
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The changes in postcard encoding, at most [`MAX_DELTA_BYTES`].
    #[prost(bytes = "bytes", tag = "2")]
    pub changes: bytes::Bytes,
}

/// Short form of an upstream's identifier or a service's name in a [`Load`].
pub fn hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// Encodes a datagram; drops rows of its load until it fits into [`MAX_BYTES`].
///
/// # Examples
///
/// ```
/// use corneltrestle_wire::mesh;
///
/// let datagram = mesh::Datagram { revision: 7, ..mesh::Datagram::default() };
/// assert_eq!(mesh::decode(&mesh::encode(datagram.clone())).unwrap(), datagram);
/// ```
pub fn encode(mut datagram: Datagram) -> Vec<u8> {
    if let Some(load) = &mut datagram.load {
        load.rows.truncate(MAX_ROWS);
    }
    while datagram.encoded_len() > MAX_BYTES
        && datagram.load.as_mut().is_some_and(|load| load.rows.pop().is_some())
    {}
    datagram.encode_to_vec()
}

/// Decodes a datagram.
///
/// # Errors
///
/// When the bytes are not a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    Datagram::decode(bytes)
}
