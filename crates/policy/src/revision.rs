//! Revisions of the store, also across its returns from an earlier copy of itself.
//!
//! A store counts its revisions up. When it comes back from a copy, it has lost the changes since
//! then and assigns their revisions again, to other changes. The time between two returns is an era;
//! the store counts its eras. Two revisions are therefore compared by era first.

/// Changes by which a return may take a store back for its fencing tokens to increase all the same.
const CHANGES_PER_ERA: u64 = 1 << 24;

/// Highest era. A larger number is not taken for one, so that the epochs of groups, which are made
/// from fencing tokens, fit into 64 bits.
pub const MAX_ERA: u64 = 1_000_000;

/// A revision of the store, ordered by era and then by number.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::revision::Revision;
///
/// let lost = Revision { era: 1, number: 510 };
/// let next = Revision { era: 2, number: 505 };
/// assert!(next > lost);
/// assert!(next.token() > lost.token());
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub struct Revision {
    /// The era in which the store assigned the number; 0 if it does not name its eras.
    pub era: u64,
    /// The number; increases with each change within an era.
    pub number: u64,
}

impl Revision {
    /// The fencing token of a lease whose key was written at this revision. Tokens increase with
    /// revisions, also if those of all earlier eras are unknown.
    pub fn token(self) -> u64 {
        self.era * CHANGES_PER_ERA + self.number
    }
}

/// The era of an answer of the store that names the era `named`, to a call that was sent when the
/// era `known` was known.
///
/// Eras only rise, so that the answer is of no earlier era than `known`. A store that names an
/// earlier one, or none, gives no cause to act; its answer counts as one of the known era.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::revision;
///
/// assert_eq!(revision::era_of_answer(Some(3), 2), 3);
/// assert_eq!(revision::era_of_answer(Some(1), 2), 2);
/// assert_eq!(revision::era_of_answer(None, 2), 2);
/// ```
pub fn era_of_answer(named: Option<u64>, known: u64) -> u64 {
    named.filter(|era| *era <= MAX_ERA).map_or(known, |era| era.max(known))
}
