//! Stories, put together from lines of logs.

use std::{collections, time};

use corneltrestle_kernel::logging;

/// Time before a request or its latest attempt in which beliefs are told, too.
const BEFORE: time::Duration = time::Duration::from_secs(3);

/// Time after the end of a request in which others may still write what they found.
const AFTER: time::Duration = time::Duration::from_millis(500);

/// Prefixes of lines on what a process believes of itself and of what it depends on.
const OWN: [&str; 5] = ["node:", "store:", "config:", "lease:", "log:"];

/// A line with the process that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Line {
    /// The process.
    pub process: String,
    /// What it wrote.
    #[serde(flatten)]
    pub entry: logging::Entry,
}

/// What a story is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A request.
    Request,
    /// An upstream.
    Upstream,
}

/// What was said of one request or one upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Timeline {
    /// The request or the upstream.
    pub id: String,
    /// Which of them it is.
    pub kind: Kind,
    /// How a request ended.
    pub end: Option<Line>,
    /// What explains the end, the most telling first.
    pub causes: Vec<String>,
    /// All lines in order of time.
    pub lines: Vec<Line>,
}

impl Timeline {
    /// Puts a story together, if any line is about `id`.
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
        let own = || lines.iter().filter(|line| line.is_of_request(id));
        let end = own().rfind(|line| line.entry.field("took_ms").is_some()).cloned();
        let (first, last) = span(own(), end.as_ref());
        let processes: collections::BTreeSet<_> = own().map(|line| &line.process).collect();
        let upstreams: collections::BTreeSet<&str> =
            own().filter_map(|line| line.entry.field("upstream")).collect();
        let belongs = |line: &&Line| {
            let is_near = line.entry.time >= first && line.entry.time <= last;
            let is_own = processes.contains(&line.process) && line.is_on_process();
            let is_on_upstream = upstreams.iter().any(|name| line.is_about(name));
            line.is_of_request(id) || is_near && !line.has_request() && (is_own || is_on_upstream)
        };
        let lines: Vec<Line> = lines.iter().filter(belongs).cloned().collect();
        let causes = causes(id, end.as_ref(), &lines);
        Self { id: id.to_owned(), kind: Kind::Request, end, causes, lines }
    }
}

/// The span in which a request was in progress, with what came shortly before and after it.
fn span<'a>(
    own: impl Iterator<Item = &'a Line>,
    end: Option<&Line>,
) -> (time::SystemTime, time::SystemTime) {
    let times: Vec<_> = own.map(|line| line.entry.time).collect();
    let last = times.iter().max().copied().unwrap_or(time::UNIX_EPOCH);
    let took = end.and_then(|end| end.entry.field("took_ms")?.parse().ok()).unwrap_or(0);
    let began = last.checked_sub(time::Duration::from_millis(took)).unwrap_or(last);
    let first = times.iter().min().copied().unwrap_or(last).min(began);
    (first.checked_sub(BEFORE).unwrap_or(first), last + AFTER)
}

/// Why a request ended as it did: what it met, and what was known of the upstreams and the process.
fn causes(id: &str, end: Option<&Line>, lines: &[Line]) -> Vec<String> {
    let Some(end) = end.filter(|end| end.entry.field("code").is_some()) else {
        return Vec::new();
    };
    let mut causes = Vec::new();
    let of_itself = lines.iter().filter(|line| line.is_on_process() && line.is_warning());
    let of_upstreams = lines.iter().filter(|line| !line.is_on_process() && !line.is_of_request(id));
    causes.extend(end.entry.field("cause").map(str::to_owned));
    causes.extend(of_upstreams.filter(|line| line.is_warning()).map(Line::cause));
    causes.extend(of_itself.map(Line::cause));
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
        OWN.iter().any(|prefix| message.starts_with(prefix))
            && !self.entry.fields.contains_key("vm")
    }

    fn is_warning(&self) -> bool {
        matches!(self.entry.level.as_str(), "WARN" | "ERROR")
    }

    /// What the line says, with whom it concerns.
    fn cause(&self) -> String {
        let Line { process, entry } = self;
        let peer = entry.field("upstream").or_else(|| entry.field("vm"));
        match peer {
            Some(peer) => format!("{} ({peer}, found by {process})", entry.message),
            None => format!("{} ({process})", entry.message),
        }
    }
}
