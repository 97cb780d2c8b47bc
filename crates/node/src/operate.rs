//! What operators ask for: release notes, the state of the system.

pub mod overview;
pub mod rollout;
pub mod survey;

use corneltrestle_infra::store::{self, Store};
use corneltrestle_policy::{changeset, release};
use corneltrestle_wire::{key, note, stored};

use crate::{tables, updates};

/// Tries to settle a write whose answer was lost before the verdict is unknown.
const SETTLE_TRIES: u32 = 5;

/// How the application of a note ended; never a false statement.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// The note is accepted at this revision, now or by an earlier call with the same id.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// The note would be accepted.
    Valid {
        /// The revision that it would lead to.
        revision: u64,
    },
    /// The note is not accepted because of these faults.
    Rejected {
        /// Every fault.
        faults: Vec<String>,
    },
    /// Another note was accepted first, or the id belongs to another note.
    Conflict {
        /// The present revision.
        revision: u64,
        /// What to do.
        hint: String,
    },
    /// The note is not accepted: the store could not be read.
    Unavailable {
        /// The cause.
        cause: String,
    },
    /// It is not known whether the note is accepted.
    Unknown {
        /// The cause.
        cause: String,
        /// How to find out.
        hint: String,
    },
}

/// The head of the configuration with its version in the store.
struct Head {
    version: u64,
    release: release::Release,
}

/// Checks a note against the present head without applying it.
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
/// A lost answer is settled by reading the head back: it holds the note's id if the write took
/// effect, and a different version without the id proves that it never will.
pub async fn apply<S: Store>(store: &S, tables: &tables::Tables, text: &str) -> Verdict {
    let mut uncertain = None;
    for _ in 0..SETTLE_TRIES {
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
            // The next pass reads the winner and states the conflict.
            Ok(store::Swap::Conflict(_)) => {}
            Err(e) if e.may_have_run() => uncertain = Some(e.to_string()),
            Err(e) if uncertain.is_none() => return Verdict::Unavailable { cause: e.to_string() },
            Err(_) => {}
        }
    }
    Verdict::Unknown {
        cause: uncertain.unwrap_or_else(|| "the head changed again and again".to_owned()),
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
    // The changes of a note that was accepted before, or that is based on another revision, need
    // not fit the present release; their faults would hide what has happened.
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
