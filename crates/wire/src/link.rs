//! Messages of the links between nodes.
//!
//! The types here are plain values; the generated protobuf code is in [`generated`]. Decoding
//! checks every length against a bound and names the field that is wrong. Fields that this version
//! does not know are ignored.
//!
//! # Size
//!
//! For control a node may spend 2 KB a second at 43 nodes and 75 VMs a zone, with a pull every
//! 500 ms. These are the encoded bytes of a pull for one zone, without headers and frames, when
//! every heartbeat and load is newer than the caller's and there are ten organisations; the test
//! `documented_sizes_are_the_measured_ones` measures them.
//!
//! | case | request | answer |
//! |---|---|---|
//! | replicas of 16 VMs | 203 | 258 |
//! | the demand of four members changed too | 203 | 521 |
//! | replicas of one VM | 274 | 686 |
//! | first pull, or the members differ | 64 | 2974 |
//!
//! The last case recurs only while a joining, leaving or restarted node becomes known. Nodes keep
//! within the budget by publishing a new demand only when it differs notably from the last one.

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
pub use reports::{KnownReports, Load, ReplicaLoad, Reports};
pub use roster::{Demand, Heartbeat, KnownRoster, Member, MemberView, Members, Roster};
pub use slot::{Loan, SlotRequest};
pub use status::{NodeStatus, StatusReply, StatusRequest};
pub use update::{Ack, Update, UpdateKind};

/// Version of the messages that this code writes.
pub const VERSION: u32 = 1;

/// Largest message; a stored document of 1 MB fits.
pub const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Most zones in one message.
pub const MAX_ZONES: usize = 64;

/// Most members of a zone, and most nodes in a status reply.
pub const MAX_MEMBERS: usize = 4_096;

/// Most VMs, and most replicas, of a zone.
pub const MAX_VMS: usize = 16_384;

/// Most organisations, and most services, in one message.
pub const MAX_ORGANISATIONS: usize = 4_096;

/// Most rows of counts in one message; at 60 bytes a row they fit into [`MAX_MESSAGE_BYTES`].
pub const MAX_COUNTS: usize = 32_768;

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, Error>;
