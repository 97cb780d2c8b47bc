//! How many lines each place in the code may write.

use std::{collections, time};

use corneltrestle_time::moment;
use xxhash_rust::xxh3;

/// Span over which lines are counted.
const SPAN: time::Duration = time::Duration::from_secs(1);

/// Lines of one place in a span, at warnings and errors.
const URGENT: u32 = 100;

/// Lines of one place in a span, at other levels.
const USUAL: u32 = 20;

/// Of requests beyond the quota, one in so many is written, the same ones in all places.
const SAMPLED: u64 = 64;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is written; so many lines of its place were left out before it.
    Write {
        /// Lines that were left out.
        left: u32,
    },
    /// It is left out.
    Leave,
}

/// Counts lines by place.
///
/// # Examples
///
/// ```
/// use corneltrestle_kernel::logging;
/// use corneltrestle_time::moment::Moment;
///
/// let mut quota = logging::Quota::default();
/// let place = ("node", 12);
/// let now = Moment::from_millis(5);
/// let written = (0..1_000)
///     .filter(|_| quota.judge(place, false, None, now) != logging::Verdict::Leave)
///     .count();
/// assert_eq!(written, 20);
/// ```
#[derive(Debug, Default)]
pub struct Quota {
    places: collections::HashMap<Place, Count>,
}

/// Module and line of the code.
type Place = (&'static str, u32);

#[derive(Debug, Default)]
struct Count {
    /// Start of the span.
    since: moment::Moment,
    written: u32,
    left: u32,
}

impl Quota {
    /// Judges a line of a place, which may concern the request `id`.
    pub fn judge(
        &mut self,
        place: Place,
        is_urgent: bool,
        id: Option<&str>,
        now: moment::Moment,
    ) -> Verdict {
        let count = self.places.entry(place).or_default();
        if now.since(count.since) >= SPAN {
            (count.since, count.written) = (now, 0);
        }
        let most = if is_urgent { URGENT } else { USUAL };
        let is_sampled = id.is_some_and(|id| xxh3::xxh3_64(id.as_bytes()).is_multiple_of(SAMPLED));
        if count.written >= most && !is_sampled {
            count.left = count.left.saturating_add(1);
            return Verdict::Leave;
        }
        count.written += 1;
        Verdict::Write { left: std::mem::take(&mut count.left) }
    }
}
