//! Stories as text.

use std::{fmt::Write, time};

use comfy_table::presets;

use super::timeline::{Kind, Line, Timeline};
use crate::command::table;

/// Causes that are shown; later ones say little.
const MAX_CAUSES: usize = 6;

/// Fields that the heading of a story shows.
const SHOWN: [&str; 3] = ["id", "upstream", "vm"];

/// The story as text.
pub(super) fn render(story: &Timeline) -> String {
    let mut text = heading(story);
    for (number, cause) in story.causes.iter().take(MAX_CAUSES).enumerate() {
        let label = if number == 0 { "cause:" } else { "also: " };
        let _ = writeln!(text, "{label} {cause}");
    }
    if story.causes.len() > MAX_CAUSES {
        let _ = writeln!(text, "also:  {} more", story.causes.len() - MAX_CAUSES);
    }
    if let Some(attempts) = story.end.as_ref().and_then(|end| end.entry.field("sent")) {
        for attempt in attempts.split("; ").filter(|attempt| !attempt.is_empty()) {
            let _ = writeln!(text, "sent:  {attempt}");
        }
    }
    let _ = writeln!(text, "\n{}", lines(story));
    text
}

fn heading(story: &Timeline) -> String {
    let Some(end) = &story.end else {
        let what = match story.kind {
            Kind::Request => "request",
            Kind::Upstream => "upstream",
        };
        return format!("{what} {}: {} lines\n", story.id, story.lines.len());
    };
    let field = |name: &str| end.entry.field(name).unwrap_or("unknown").to_owned();
    let took = field("took_ms");
    let id = &story.id;
    match end.entry.field("code") {
        None => format!("request {id}: {} after {took} ms\n", end.entry.message),
        Some(code) => {
            let (outcome, step, events) = (field("outcome"), field("step"), field("events"));
            format!(
                "request {id}: failed after {took} ms at {step} with {code}, outcome {outcome}, \
                 {events} events passed on\nknown: facts of revision {}, {} ms old\n",
                field("revision"),
                field("facts_ms")
            )
        }
    }
}

fn lines(story: &Timeline) -> String {
    let begin = story.lines.first().map_or(time::UNIX_EPOCH, |line| line.entry.time);
    let mut table = table::open(&["after", "process", "level", "what", "on what"]);
    table.load_preset(presets::NOTHING);
    for line in &story.lines {
        let after = line.entry.time.duration_since(begin).unwrap_or_default();
        table.add_row([
            format!("{} ms", after.as_millis()),
            line.process.clone(),
            line.entry.level.clone(),
            line.entry.message.clone(),
            fields(line, &story.id),
        ]);
    }
    table.to_string()
}

fn fields(line: &Line, id: &str) -> String {
    let pairs = line.entry.fields.iter().filter(|(name, value)| {
        let is_known = SHOWN.contains(&name.as_str()) && *value == id;
        !is_known && name.as_str() != "sent"
    });
    pairs.map(|(name, value)| format!("{name}={value}")).collect::<Vec<_>>().join(" ")
}
