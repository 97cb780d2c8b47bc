//! Rate limit of log lines per call site, so that a fault that repeats does not flood the log.

use std::{collections, time};

use corneltrestle_time::moment;
use xxhash_rust::xxh3;

/// Length of the window in which lines are counted.
const WINDOW: time::Duration = time::Duration::from_secs(1);

/// Warnings and errors that a call site writes per window.
const MAX_URGENT_LINES: u32 = 100;

/// Lines of other levels that a call site writes per window.
const MAX_NORMAL_LINES: u32 = 20;

/// Beyond the limit, lines of one request in this many are still written. The choice depends only
/// on the request's id, so that all call sites on all nodes write the lines of the same requests.
const SAMPLE_INTERVAL: u64 = 64;

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The line is written.
    Write {
        /// Lines of its call site that were suppressed since the last written one.
        suppressed: u32,
    },
    /// The line is suppressed.
    Suppress,
}

/// Counts lines by call site.
///
/// # Examples
///
/// ```
/// use corneltrestle_kernel::logging;
/// use corneltrestle_time::moment::Moment;
///
/// let mut rate_limit = logging::RateLimit::default();
/// let site = ("node", 12);
/// let now = Moment::from_millis(5);
/// let written = (0..1_000)
///     .filter(|_| rate_limit.check(site, false, None, now) != logging::Verdict::Suppress)
///     .count();
/// assert_eq!(written, 20);
/// ```
#[derive(Debug, Default)]
pub struct RateLimit {
    sites: collections::HashMap<Site, Count>,
}

/// A call site: module path and line number.
type Site = (&'static str, u32);

#[derive(Debug, Default)]
struct Count {
    /// Start of the window.
    since: moment::Moment,
    /// Lines written in the window.
    written: u32,
    /// Lines suppressed since the last written one, also in earlier windows.
    suppressed: u32,
}

impl RateLimit {
    /// Counts a line of a call site and decides whether it is written. `is_urgent` holds for
    /// warnings and errors; `id` is that of the request that the line is about, if any.
    pub fn check(
        &mut self,
        site: Site,
        is_urgent: bool,
        id: Option<&str>,
        now: moment::Moment,
    ) -> Verdict {
        let count = self.sites.entry(site).or_default();
        if now.since(count.since) >= WINDOW {
            (count.since, count.written) = (now, 0);
        }
        let max = if is_urgent { MAX_URGENT_LINES } else { MAX_NORMAL_LINES };
        let is_sampled =
            id.is_some_and(|id| xxh3::xxh3_64(id.as_bytes()).is_multiple_of(SAMPLE_INTERVAL));
        if count.written >= max && !is_sampled {
            count.suppressed = count.suppressed.saturating_add(1);
            return Verdict::Suppress;
        }
        count.written += 1;
        Verdict::Write { suppressed: std::mem::take(&mut count.suppressed) }
    }
}
