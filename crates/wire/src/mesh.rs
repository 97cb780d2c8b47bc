//! Messages between the entry nodes of a deployment: datagrams, and calls in [`generated`].
//!
//! Each datagram is complete in itself and may be lost, repeated or overtaken. Fields that this
//! version does not know are ignored.

#[allow(missing_docs, unreachable_pub, clippy::all)]
pub mod generated;

use prost::Message;

/// Largest datagram, so that it fits into one packet of an Ethernet network.
pub const MAX_BYTES: usize = 1_400;

/// Most bytes of changes in a datagram.
pub const MAX_DELTA_BYTES: usize = 1_000;

/// Most rows of a load.
pub const MAX_ROWS: usize = 80;

/// The result of decoding a datagram.
pub type Result<T> = std::result::Result<T, prost::DecodeError>;

/// What a node tells others.
#[derive(Clone, PartialEq, Message)]
pub struct Datagram {
    /// The node that tells it.
    #[prost(message, optional, tag = "1")]
    pub origin: Option<Origin>,
    /// Revision of the facts that it knows.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Milliseconds since the source of facts confirmed them; the largest value if it never did.
    #[prost(uint32, tag = "3")]
    pub age: u32,
    /// Requests in progress.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
    /// Upstreams that stand still.
    #[prost(message, repeated, tag = "5")]
    pub stalls: Vec<Stall>,
    /// The latest changes of facts.
    #[prost(message, optional, tag = "6")]
    pub delta: Option<Delta>,
    /// Whether an answer is wanted at once.
    #[prost(bool, tag = "7")]
    pub wants_reply: bool,
    /// Whether a receiver in another zone sends it on within its zone.
    #[prost(bool, tag = "8")]
    pub forward: bool,
    /// The confirmation of the facts by their source that `age` counts from.
    #[prost(message, optional, tag = "9")]
    pub stamp: Option<Stamp>,
}

/// A confirmation of facts by their source. It is taken once by each node: its age grows too little
/// on each way, so that facts handed to and fro would never grow old.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Stamp {
    /// Identifier of the process that asked the source.
    #[prost(fixed64, tag = "1")]
    pub boot: u64,
    /// Grows with each confirmation that the process got.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// The node that tells something.
#[derive(Clone, PartialEq, Message)]
pub struct Origin {
    /// Its name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Identifier of its process.
    #[prost(fixed64, tag = "3")]
    pub boot: u64,
    /// Grows with each datagram of the process.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Address on which it answers calls.
    #[prost(string, tag = "5")]
    pub link: String,
    /// Whether it stops.
    #[prost(bool, tag = "6")]
    pub draining: bool,
}

/// Requests in progress, of one node or of all nodes of its zone.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Nodes whose requests these are; 0 for the origin alone.
    #[prost(uint32, tag = "1")]
    pub nodes: u32,
    /// Requests by upstream.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<Row>,
    /// What was sent to services in the window of the retry budget.
    #[prost(message, repeated, tag = "3")]
    pub usage: Vec<Usage>,
}

/// Requests in progress at an upstream.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Row {
    /// Hash of the upstream's identifier, see [`hash`].
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Requests that run or wait.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens that have not been read.
    #[prost(uint32, tag = "3")]
    pub unread: u32,
    /// Milliseconds since a stream last got an event, plus 1; 0 if none is open.
    #[prost(uint32, tag = "4")]
    pub quiet: u32,
    /// Those of the requests that wait behind all others.
    #[prost(uint32, tag = "5")]
    pub late: u32,
    /// Those of the tokens that are read behind all others.
    #[prost(uint32, tag = "6")]
    pub late_unread: u32,
}

/// What was sent to a service in the window of the retry budget.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Usage {
    /// Hash of the service's name, see [`hash`].
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Attempts beyond the first one of each.
    #[prost(uint32, tag = "3")]
    pub extra: u32,
}

/// An upstream that stands still.
#[derive(Clone, PartialEq, Message)]
pub struct Stall {
    /// Its identifier.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the group that it leads.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Milliseconds since the stall was found.
    #[prost(uint32, tag = "3")]
    pub age: u32,
    /// Milliseconds since the latest event of any stream, plus 1; 0 if none is known.
    #[prost(uint32, tag = "4")]
    pub quiet: u32,
}

/// Changes that lead to the revision of the datagram.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// Revision from which they lead there.
    #[prost(uint64, tag = "1")]
    pub after: u64,
    /// The changes.
    #[prost(bytes = "bytes", tag = "2")]
    pub changes: bytes::Bytes,
}

/// Hash of a name in rows.
pub fn hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

/// Encodes a datagram; rows beyond its size are left out.
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
/// When the bytes are no datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram> {
    Datagram::decode(bytes)
}
