//! The periodic pull: the caller sends what it knows, the reply holds only what differs.

use std::time;

use corneltrestle_policy::id;

use super::{Result, check, error, generated, roster};
use crate::link;

/// Asks a peer for members and reports, and tells it what the caller knows already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullRequest {
    /// The calling node.
    pub node: id::Node,
    /// Zones whose members are asked for, at most [`link::MAX_ZONES`].
    pub rosters: Vec<link::KnownRoster>,
    /// Zones whose reports are asked for, at most [`link::MAX_ZONES`].
    pub reports: Vec<link::KnownReports>,
}

/// The reply to a pull: what the answering node knows and the caller does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The answering node.
    pub node: id::Node,
    /// Revision of the release that it uses.
    pub revision: u64,
    /// Time since the store, directly or through peers, last confirmed that no newer revision
    /// exists; encoded in whole milliseconds.
    pub watch_age: time::Duration,
    /// Members of the zones that were asked for.
    pub rosters: Vec<link::Roster>,
    /// Reports of the zones that were asked for.
    pub reports: Vec<link::Reports>,
}

impl From<PullRequest> for generated::PullRequest {
    fn from(request: PullRequest) -> Self {
        Self {
            version: link::VERSION,
            node: request.node.to_string(),
            rosters: request.rosters.into_iter().map(Into::into).collect(),
            reports: request.reports.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<generated::PullRequest> for PullRequest {
    type Error = error::Error;

    fn try_from(request: generated::PullRequest) -> Result<Self> {
        let rosters = check::list(
            "pull.rosters",
            request.rosters,
            link::MAX_ZONES,
            link::KnownRoster::try_from,
        )?;
        let reports = check::list(
            "pull.reports",
            request.reports,
            link::MAX_ZONES,
            link::KnownReports::try_from,
        )?;
        Ok(Self { node: check::name("pull.node", &request.node)?, rosters, reports })
    }
}

impl From<Digest> for generated::Digest {
    fn from(digest: Digest) -> Self {
        let mut names = roster::Names::default();
        let rosters = digest.rosters.into_iter().map(|r| roster::encode(r, &mut names)).collect();
        Self {
            version: link::VERSION,
            node: digest.node.to_string(),
            revision: digest.revision,
            watch_age_ms: check::millis(digest.watch_age),
            rosters,
            reports: digest.reports.into_iter().map(Into::into).collect(),
            organisations: names.encode(),
        }
    }
}

impl TryFrom<generated::Digest> for Digest {
    type Error = error::Error;

    fn try_from(digest: generated::Digest) -> Result<Self> {
        let names = roster::Names::decode(&digest.organisations)?;
        let decode = |r| roster::decode(r, &names);
        Ok(Self {
            node: check::name("digest.node", &digest.node)?,
            revision: digest.revision,
            watch_age: time::Duration::from_millis(u64::from(digest.watch_age_ms)),
            rosters: check::list("digest.rosters", digest.rosters, link::MAX_ZONES, decode)?,
            reports: check::list(
                "digest.reports",
                digest.reports,
                link::MAX_ZONES,
                link::Reports::try_from,
            )?,
        })
    }
}
