//! Timelines, built from the log lines of several processes.
//!
//! The timeline of an upstream holds all lines about it. The timeline of a request also holds lines
//! without a request id from about the same time: those about its upstreams from any process, and
//! those about the state of the processes that handled the request.

use std::{collections, time};

use corneltrestle_kernel::logging;

/// Lines on the state of upstreams and processes are included from this time before a request.
const LOOKBACK: time::Duration = time::Duration::from_secs(3);

/// Such lines are included until this time after the end of a request, as other processes may detect
/// a failure later.
const GRACE_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Prefixes of lines on the state of the process itself and of its dependencies.
const PROCESS_PREFIXES: [&str; 5] = ["node:", "store:", "config:", "lease:", "log:"];

/// A log line with the process that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Line {
    /// Name of the process.
    pub process: String,
    /// The parsed line.
    #[serde(flatten)]
    pub entry: logging::Entry,
}

/// What a timeline is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A request.
    Request,
    /// An upstream.
    Upstream,
}

/// All that the logs say about one request or one upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Timeline {
    /// Id of the request or name of the upstream.
    pub id: String,
    /// Which of the two the timeline is about.
    pub kind: Kind,
    /// The line that records the end of a request; `None` if it is missing, or for an upstream.
    pub end: Option<Line>,
    /// Likely causes: for a request, the most specific one first, and none if it did not fail; for an
    /// upstream, the warnings about it, the latest one first.
    pub causes: Vec<String>,
    /// All lines, sorted by time.
    pub lines: Vec<Line>,
}

impl Timeline {
    /// Builds the timeline of the request or else the upstream `id`; `None` if no line is about it.
    pub fn build(id: &str, mut lines: Vec<Line>) -> Option<Self> {
        lines.sort_by(|a, b| a.entry.time.cmp(&b.entry.time).then(a.process.cmp(&b.process)));
        if lines.iter().any(|line| line.is_of_request(id)) {
            return Some(Self::for_request(id, &lines));
        }
        let about: Vec<_> = lines.into_iter().filter(|line| line.is_about(id)).collect();
        let causes = about.iter().rev().filter(|line| line.is_warning()).map(Line::cause).collect();
        (!about.is_empty()).then(|| Self {
            id: id.to_owned(),
            kind: Kind::Upstream,
            end: None,
            causes,
            lines: about,
        })
    }

    fn for_request(id: &str, lines: &[Line]) -> Self {
        let own_lines = || lines.iter().filter(|line| line.is_of_request(id));
        let end = own_lines().rfind(|line| line.entry.field("took_ms").is_some()).cloned();
        let (first, last) = span(own_lines(), end.as_ref());
        let processes: collections::BTreeSet<_> = own_lines().map(|line| &line.process).collect();
        let upstreams: collections::BTreeSet<&str> =
            own_lines().filter_map(|line| line.entry.field("upstream")).collect();
        let belongs = |line: &&Line| {
            let is_within = line.entry.time >= first && line.entry.time <= last;
            let is_on_process = processes.contains(&line.process) && line.is_on_process();
            let is_on_upstream = upstreams.iter().any(|name| line.is_about(name));
            line.is_of_request(id)
                || is_within && !line.has_request() && (is_on_process || is_on_upstream)
        };
        let lines: Vec<Line> = lines.iter().filter(belongs).cloned().collect();
        let causes = causes(id, end.as_ref(), &lines);
        Self { id: id.to_owned(), kind: Kind::Request, end, causes, lines }
    }
}

/// The first and last time of the lines to include: the time in which the request was in progress,
/// extended by [`LOOKBACK`] and [`GRACE_PERIOD`].
fn span<'a>(
    own_lines: impl Iterator<Item = &'a Line>,
    end: Option<&Line>,
) -> (time::SystemTime, time::SystemTime) {
    let times: Vec<_> = own_lines.map(|line| line.entry.time).collect();
    let last = times.iter().max().copied().unwrap_or(time::UNIX_EPOCH);
    let took = end.and_then(|end| end.entry.field("took_ms")?.parse().ok()).unwrap_or(0);
    let began = last.checked_sub(time::Duration::from_millis(took)).unwrap_or(last);
    let first = times.iter().min().copied().unwrap_or(last).min(began);
    (first.checked_sub(LOOKBACK).unwrap_or(first), last + GRACE_PERIOD)
}

/// Causes of a failed request: the cause in its last line, then the warnings about its upstreams, then
/// the warnings about the state of the process. Empty without an error code in the last line.
fn causes(id: &str, end: Option<&Line>, lines: &[Line]) -> Vec<String> {
    let Some(end) = end.filter(|end| end.entry.field("code").is_some()) else {
        return Vec::new();
    };
    let mut causes = Vec::new();
    let on_process = lines.iter().filter(|line| line.is_on_process() && line.is_warning());
    let on_upstreams = lines.iter().filter(|line| !line.is_on_process() && !line.is_of_request(id));
    causes.extend(end.entry.field("cause").map(str::to_owned));
    causes.extend(on_upstreams.filter(|line| line.is_warning()).map(Line::cause));
    causes.extend(on_process.map(Line::cause));
    let mut seen = collections::BTreeSet::new();
    causes.retain(|cause| seen.insert(cause.clone()));
    causes
}

impl Line {
    fn is_of_request(&self, id: &str) -> bool {
        self.entry.field("id") == Some(id)
    }

    fn has_request(&self) -> bool {
        self.entry.field("id").is_some()
    }

    fn is_about(&self, upstream: &str) -> bool {
        let names = ["upstream", "vm"];
        names.iter().any(|name| self.entry.field(name) == Some(upstream))
    }

    fn is_on_process(&self) -> bool {
        let message = &self.entry.message;
        PROCESS_PREFIXES.iter().any(|prefix| message.starts_with(prefix))
            && !self.entry.fields.contains_key("vm")
    }

    fn is_warning(&self) -> bool {
        matches!(self.entry.level.as_str(), "WARN" | "ERROR")
    }

    /// The message, with the process that wrote it and the upstream that it is about.
    fn cause(&self) -> String {
        let Line { process, entry } = self;
        let peer = entry.field("upstream").or_else(|| entry.field("vm"));
        match peer {
            Some(peer) => format!("{} ({peer}, found by {process})", entry.message),
            None => format!("{} ({process})", entry.message),
        }
    }
}
