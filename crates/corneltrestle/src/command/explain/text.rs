//! Timelines as text.

use std::{fmt::Write, time};

use comfy_table::presets;

use super::timeline::{Kind, Line, Timeline};
use crate::command::table;

/// Limit on the causes that are printed; the most specific ones come first.
const MAX_CAUSES: usize = 6;

/// Fields that the heading shows; lines omit them if their value is the id of the timeline.
const HEADING_FIELDS: [&str; 3] = ["id", "upstream", "vm"];

/// Renders the heading, the causes, the attempts of a request and a table of all lines.
pub(super) fn render(timeline: &Timeline) -> String {
    let mut text = heading(timeline);
    for (number, cause) in timeline.causes.iter().take(MAX_CAUSES).enumerate() {
        let label = if number == 0 { "cause:" } else { "also: " };
        let _ = writeln!(text, "{label} {cause}");
    }
    if timeline.causes.len() > MAX_CAUSES {
        let _ = writeln!(text, "also:  {} more", timeline.causes.len() - MAX_CAUSES);
    }
    if let Some(attempts) = timeline.end.as_ref().and_then(|end| end.entry.field("sent")) {
        for attempt in attempts.split("; ").filter(|attempt| !attempt.is_empty()) {
            let _ = writeln!(text, "sent:  {attempt}");
        }
    }
    let _ = writeln!(text, "\n{}", line_table(timeline));
    text
}

fn heading(timeline: &Timeline) -> String {
    let Some(end) = &timeline.end else {
        let what = match timeline.kind {
            Kind::Request => "request",
            Kind::Upstream => "upstream",
        };
        return format!("{what} {}: {} lines\n", timeline.id, timeline.lines.len());
    };
    let field = |name: &str| end.entry.field(name).unwrap_or("unknown").to_owned();
    let took = field("took_ms");
    let id = &timeline.id;
    match end.entry.field("code") {
        None => format!("request {id}: {} after {took} ms\n", end.entry.message),
        Some(code) => {
            let (outcome, step, events) = (field("outcome"), field("step"), field("events"));
            format!(
                "request {id}: failed after {took} ms at {step} with {code}, outcome {outcome}, \
                 {events} events relayed\nknown: facts of revision {}, {} ms old\n",
                field("revision"),
                field("facts_ms")
            )
        }
    }
}

fn line_table(timeline: &Timeline) -> String {
    let begin = timeline.lines.first().map_or(time::UNIX_EPOCH, |line| line.entry.time);
    let mut table = table::new(&["after", "process", "level", "what", "fields"]);
    table.load_preset(presets::NOTHING);
    for line in &timeline.lines {
        let after = line.entry.time.duration_since(begin).unwrap_or_default();
        table.add_row([
            format!("{} ms", after.as_millis()),
            line.process.clone(),
            line.entry.level.clone(),
            line.entry.message.clone(),
            fields(line, &timeline.id),
        ]);
    }
    table.to_string()
}

fn fields(line: &Line, id: &str) -> String {
    let pairs = line.entry.fields.iter().filter(|(name, value)| {
        let is_in_heading = HEADING_FIELDS.contains(&name.as_str()) && *value == id;
        !is_in_heading && name.as_str() != "sent"
    });
    pairs.map(|(name, value)| format!("{name}={value}")).collect::<Vec<_>>().join(" ")
}
