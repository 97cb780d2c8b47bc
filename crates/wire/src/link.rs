//! Messages of the links between nodes, over gRPC.
//!
//! Nodes pull what they do not know from each other periodically and push what cannot wait. The
//! types here are plain values; the protobuf types are in [`generated`]. Decoding checks the length
//! of every list and name against a limit, and an error names the field. Unknown fields are
//! ignored.
//!
//! # Size
//!
//! The budget for the control traffic of a node is 2 KB a second in a zone of 43 nodes and 75 VMs,
//! with a pull every 500 ms. The table shows the encoded bytes of a pull for one zone, without headers
//! and frames, when every heartbeat and load is newer than the caller's and there are ten
//! organisations. The test `documented_sizes_are_the_measured_ones` checks these numbers.
//!
//! | case | request | reply |
//! |---|---|---|
//! | replicas of 16 VMs | 203 | 258 |
//! | replicas of 16 VMs, and the demand of four members changed | 203 | 521 |
//! | replicas of one VM | 274 | 686 |
//! | first pull, or the members differ | 64 | 2974 |
//!
//! The last case recurs only until a node that joined, left or restarted is known everywhere. To
//! stay within the budget, nodes publish a new demand only if it differs notably from the last one.

pub mod age;
mod check;
mod counts;
mod digest;
mod document;
mod error;
#[allow(missing_docs, unreachable_pub, clippy::all)]
pub mod generated;
mod reports;
mod roster;
mod slot;
mod status;
mod update;

pub use counts::{Count, Counts, CountsReply, CountsRequest, Ratio};
pub use digest::{Digest, PullRequest};
pub use document::{Document, FetchRequest, Value};
pub use error::{Error, Kind};
pub use reports::{KnownReports, ReplicaLoad, Reports};
pub use roster::{Demand, Heartbeat, KnownRoster, Member, MemberView, Members, Roster};
pub use slot::{Loan, SlotRequest};
pub use status::{NodeStatus, StatusReply, StatusRequest};
pub use update::{Ack, Update, UpdateKind};

/// Version that this code writes into each message; it is not checked when reading.
pub const VERSION: u32 = 1;

/// Size limit of a message; a stored document of 1 MB fits.
pub const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Limit on the length of a name, for example of a node, zone or VM.
pub const MAX_NAME_BYTES: usize = 256;

/// Limit on the zones in a message.
pub const MAX_ZONES: usize = 64;

/// Limit on the members of a zone, and on the nodes in a status reply.
pub const MAX_MEMBERS: usize = 4_096;

/// Limit on the VMs and on the replicas of a zone.
pub const MAX_VMS: usize = 16_384;

/// Limit on the organisations and on the services in a message.
pub const MAX_ORGANISATIONS: usize = 4_096;

/// Limit on the rows of counts in a message; at 60 bytes a row they fit into
/// [`MAX_MESSAGE_BYTES`].
pub const MAX_COUNTS: usize = 32_768;

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, Error>;
