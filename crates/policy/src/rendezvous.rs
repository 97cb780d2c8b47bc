//! Rendezvous hashing: nodes that know the same members rank them for a key in the same order, so
//! that they choose the same ones without communication.

use xxhash_rust::xxh3;

/// Weight of `member` for `key`; lower weights rank first.
pub fn weight(key: &str, member: &str) -> u64 {
    xxh3::xxh3_64_with_seed(member.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// The first `count` members for `key`, best first.
///
/// # Examples
///
/// ```
/// use corneltrestle_policy::rendezvous;
///
/// let members = ["a", "b", "c"];
/// let all = rendezvous::first("vm-1", members, 3);
/// assert_eq!(rendezvous::first("vm-1", members, 2), all[..2]);
/// ```
pub fn first<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<_> = members.into_iter().map(|m| (weight(key, m), m)).collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Whether `member` is among the first `count` of `members` for `key`.
pub fn is_first<'a>(
    key: &str,
    member: &str,
    members: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> bool {
    let own = (weight(key, member), member);
    let better = members.into_iter().filter(|m| (weight(key, m), *m) < own).count();
    better < count
}
