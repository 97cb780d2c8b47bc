//! The operations behind the operators' API: applying release notes, and the state of the system.

pub mod overview;
pub mod rollout;
pub mod survey;

use corneltrestle_infra::store::{self, Store};
use corneltrestle_policy::{changeset, release};
use corneltrestle_wire::{key, note, stored};

use crate::{tables, updates};

/// Attempts to apply a note, or to settle a write whose response was lost, before the verdict is
/// [`Verdict::Unknown`].
const MAX_ATTEMPTS: u32 = 5;

/// The result of checking or applying a note. It claims an outcome only if that is certain.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// The note is accepted, by this call or an earlier one with the same id.
    Accepted {
        /// The revision that the note led to.
        revision: u64,
    },
    /// The check found no fault: the note would be accepted.
    Valid {
        /// The revision that it would lead to.
        revision: u64,
    },
    /// The note has faults and is not accepted.
    Rejected {
        /// All faults, one sentence each.
        faults: Vec<String>,
    },
    /// Another note was accepted first, or the id belongs to another note.
    Conflict {
        /// The current revision.
        revision: u64,
        /// The conflict and what to do about it.
        hint: String,
    },
    /// The note is not accepted, because the store is not available.
    Unavailable {
        /// The cause.
        cause: String,
    },
    /// Whether the note is accepted is not known.
    Unknown {
        /// The cause.
        cause: String,
        /// How to find out.
        hint: String,
    },
}

/// The newest release in the store, with its version there.
struct Head {
    version: u64,
    release: release::Release,
}

/// Checks a note against the newest release without applying it.
pub async fn check<S: Store>(store: &S, text: &str) -> Verdict {
    match read(store).await {
        Ok(head) => match next(&head, text) {
            Ok(release) => Verdict::Valid { revision: release.revision },
            Err(verdict) => verdict,
        },
        Err(e) => Verdict::Unavailable { cause: e },
    }
}

/// Applies a note by one compare-and-swap of the head.
///
/// If the response of the store is lost, the head is read back. It contains the note's id if the
/// write took effect; a different version without the id proves that it never will.
pub async fn apply<S: Store>(store: &S, tables: &tables::Tables, text: &str) -> Verdict {
    let mut uncertain = None;
    for _ in 0..MAX_ATTEMPTS {
        let head = match read(store).await {
            Ok(head) => head,
            Err(cause) if uncertain.is_none() => return Verdict::Unavailable { cause },
            Err(_) => continue,
        };
        let next = match next(&head, text) {
            Ok(next) => next,
            Err(verdict) => {
                updates::adopt_release(tables, head.release, head.version);
                return verdict;
            }
        };
        let revision = next.revision;
        let value = match stored::encode(key::head(), &next) {
            Ok(value) => value,
            Err(e) => return Verdict::Rejected { faults: vec![e.to_string()] },
        };
        match store.swap(key::head(), head.version, &value, None, store::Class::Config).await {
            Ok(store::Swap::Done(version)) => {
                updates::adopt_release(tables, next, version);
                log::info!("note: revision {revision} is accepted");
                return Verdict::Accepted { revision };
            }
            // The next attempt reads the note that won and reports the conflict.
            Ok(store::Swap::Conflict(_)) => {}
            Err(e) if e.may_have_run() => uncertain = Some(e.to_string()),
            Err(e) if uncertain.is_none() => return Verdict::Unavailable { cause: e.to_string() },
            Err(_) => {}
        }
    }
    Verdict::Unknown {
        cause: uncertain.unwrap_or_else(|| "the head kept changing".to_owned()),
        hint: "ask for the status of the note's id, or apply the same note again".to_owned(),
    }
}

async fn read<S: Store>(store: &S) -> Result<Head, String> {
    let found = store.read(key::head(), store::Class::Config).await.map_err(|e| e.to_string())?;
    let Some(found) = found else {
        return Ok(Head { version: 0, release: release::Release::default() });
    };
    let release =
        stored::decode::<release::Release>(key::head(), &found.value).map_err(|e| e.to_string())?;
    Ok(Head { version: found.version, release })
}

fn next(head: &Head, text: &str) -> Result<release::Release, Verdict> {
    // Check the id and the base revision first. The changes of a note that was accepted before, or
    // that is based on another revision, may not fit the current release, and their faults would
    // hide the actual result.
    if let Ok(identity) = note::identify(text) {
        let note::Identity { id, base, digest } = identity;
        let changeset = changeset::Changeset { id, base, digest, changes: Vec::new() };
        if let Err(e) = changeset::apply(&head.release, &changeset)
            && !matches!(e.kind, changeset::Kind::Faults(_))
        {
            return Err(verdict(&head.release, &e));
        }
    }
    let changeset = note::decode(text, &head.release).map_err(|e| Verdict::Rejected {
        faults: e.faults.iter().map(ToString::to_string).collect(),
    })?;
    changeset::apply(&head.release, &changeset).map_err(|e| verdict(&head.release, &e))
}

fn verdict(present: &release::Release, error: &changeset::Error) -> Verdict {
    match &error.kind {
        changeset::Kind::AlreadyAccepted(revision) => Verdict::Accepted { revision: *revision },
        changeset::Kind::Faults(faults) => {
            Verdict::Rejected { faults: faults.iter().map(ToString::to_string).collect() }
        }
        _ => Verdict::Conflict { revision: present.revision, hint: error.to_string() },
    }
}
