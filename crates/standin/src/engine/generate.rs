//! Completion requests: admission, simulated token generation, and whole or streamed responses.
//!
//! Only the head of a complete replica admits requests, and only those that name its replica, epoch
//! and, optionally, its start id.

use std::{borrow, io, sync, time};

use corneltrestle_policy::prefix;
use corneltrestle_wire::{openai, sse};
use hyper::header;
use serde_json::json;
use tokio::sync::mpsc;
use xxhash_rust::xxh3;

use super::{Engine, fabric, slots};
use crate::server;

/// Tokens to generate if the request has no `max_tokens`.
const DEFAULT_TOKENS: u64 = 16;

/// Upper limit of `max_tokens`.
const MAX_TOKENS: u64 = 65_536;

/// Leading prefixes of a prompt that are cached.
const MAX_PREFIXES: usize = 64;

/// Longest wait for a slot if the request has no deadline.
const MAX_WAIT: time::Duration = time::Duration::from_secs(600);

const VOCABULARY: [&str; 32] = [
    "arc", "bay", "cap", "dew", "elm", "fog", "gap", "hub", "ink", "jar", "key", "log", "map",
    "net", "oak", "pin", "quay", "rim", "sun", "tin", "urn", "van", "web", "yarn", "zinc", "ash",
    "bus", "cog", "dam", "ear", "fin", "gum",
];

#[derive(serde::Deserialize)]
struct Options<'a> {
    max_tokens: Option<u64>,
    #[serde(borrow)]
    resume: Option<Resume<'a>>,
}

#[derive(serde::Deserialize)]
struct Resume<'a> {
    #[serde(borrow)]
    text: borrow::Cow<'a, str>,
    next: u64,
}

/// An error response: status, error code and message.
struct Refusal(hyper::StatusCode, &'static str, &'static str);

const NOT_MEMBER: Refusal = Refusal(
    hyper::StatusCode::CONFLICT,
    "not-member",
    "not the head of this replica at this epoch",
);
const RESTARTED: Refusal = Refusal(
    hyper::StatusCode::CONFLICT,
    "restarted",
    "the request names another start of the engine",
);
/// Value of `x-start` that matches every start of the engine.
const ANY_START: u64 = 0;
const INCOMPLETE: Refusal = Refusal(
    hyper::StatusCode::SERVICE_UNAVAILABLE,
    "incomplete",
    "a member of the replica is loading or lost",
);
const INVALID: Refusal =
    Refusal(hyper::StatusCode::BAD_REQUEST, "invalid", "the body is not a valid request");
const QUEUE_FULL: Refusal =
    Refusal(hyper::StatusCode::TOO_MANY_REQUESTS, "overloaded", "the queue is full");
const DEADLINE: Refusal = Refusal(
    hyper::StatusCode::GATEWAY_TIMEOUT,
    "deadline",
    "the deadline passed before a slot was free",
);
const CANCELLED: Refusal =
    Refusal(hyper::StatusCode::GONE, "cancelled", "the request was cancelled");

impl Refusal {
    fn reply(&self) -> server::Reply {
        server::failure(self.0, self.1, self.2)
    }
}

/// An admitted generation.
struct Job {
    id: String,
    model: String,
    chat: bool,
    stream: bool,
    prefixes: Vec<u64>,
    /// Index of the first token to generate; above 0 for a resumed stream.
    start_index: u64,
    /// Tokens of the complete text, including those before `start_index`.
    total: u64,
    /// Membership at admission; the request fails once the replica is no longer this one.
    member: fabric::Member,
}

/// The token at `index` of the text generated for a prompt with this hash; the same on every
/// engine.
fn token(prompt: u64, index: u64) -> borrow::Cow<'static, str> {
    let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), prompt);
    let word = VOCABULARY[(hash % VOCABULARY.len() as u64) as usize];
    if index == 0 { borrow::Cow::Borrowed(word) } else { borrow::Cow::Owned(format!(" {word}")) }
}

/// The text that every engine generates for a prompt of these texts, cut off after `tokens`.
///
/// # Examples
///
/// ```
/// use corneltrestle_standin::engine;
///
/// let long = engine::generated_text(["hello"].into_iter(), 8);
/// assert!(long.starts_with(&engine::generated_text(["hello"].into_iter(), 3)));
/// ```
pub fn generated_text<'a>(prompt: impl Iterator<Item = &'a str>, tokens: u64) -> String {
    let prompt = prefix::chain(prompt, MAX_PREFIXES).last().copied().unwrap_or(0);
    (0..tokens).map(|index| token(prompt, index)).collect()
}

pub(super) async fn answer(
    engine: &sync::Arc<Engine>,
    call: &server::Call,
    shared: &sync::Arc<server::Shared>,
) -> server::Reply {
    let job = match Job::admit(engine, call) {
        Ok(job) => job,
        Err(refusal) => return refusal.reply(),
    };
    let priority = call.header("x-priority").parse().unwrap_or(0);
    let start = call.header("x-start").parse().ok().filter(|start| *start != ANY_START);
    let (slot, ready) = match slots::Slot::enqueue(engine, &job.id, priority, start) {
        Ok(queued) => queued,
        Err(slots::Declined::Full) => return QUEUE_FULL.reply(),
        Err(slots::Declined::Restarted) => return RESTARTED.reply(),
    };
    let remaining =
        call.header("x-deadline-ms").parse().map_or(MAX_WAIT, time::Duration::from_millis);
    tokio::select! {
        _ = ready => {}
        () = slot.cancel.cancelled() => return CANCELLED.reply(),
        () = engine.config.fabric.wait_lost(&engine.config.vm, &job.member) => return INCOMPLETE.reply(),
        () = tokio::time::sleep(remaining) => return DEADLINE.reply(),
    }
    if job.stream {
        respond_streamed(engine, job, slot, shared)
    } else {
        respond_whole(engine, &job, slot, shared).await
    }
}

impl Job {
    fn admit(engine: &Engine, call: &server::Call) -> Result<Self, Refusal> {
        let member = engine.config.fabric.member(&engine.config.vm);
        let replica = member.replica.as_ref().map(ToString::to_string);
        let epoch = call.header("x-epoch").parse().ok();
        let same_replica = replica.as_deref() == Some(call.header("x-replica"));
        if !same_replica || epoch != Some(member.epoch) || member.rank != 0 {
            return Err(NOT_MEMBER);
        }
        if !engine.config.fabric.is_complete(&engine.config.vm, &member) {
            return Err(INCOMPLETE);
        }
        Self::decode(call, member).ok_or(INVALID)
    }

    fn decode(call: &server::Call, member: fabric::Member) -> Option<Self> {
        let request = openai::Request::decode(&call.body).ok()?;
        let options: Options<'_> = serde_json::from_slice(&call.body).ok()?;
        let mut job = Self {
            id: call.request_id().to_owned(),
            model: request.model.as_ref().to_owned(),
            chat: call.path.starts_with("/v1/chat/"),
            stream: request.stream,
            prefixes: prefix::chain(request.texts(), MAX_PREFIXES),
            start_index: 0,
            total: options.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS),
            member,
        };
        if let Some(resume) = options.resume {
            if resume.next > job.total {
                return None;
            }
            let delivered: String = (0..resume.next).map(|index| job.token(index)).collect();
            // The delivered text must be the one that this prompt generates.
            job.start_index = (delivered == resume.text).then_some(resume.next)?;
        }
        Some(job)
    }

    fn token(&self, index: u64) -> borrow::Cow<'static, str> {
        token(self.prefixes.last().copied().unwrap_or(0), index)
    }

    fn object(&self, chunk: bool) -> &'static str {
        match (self.chat, chunk) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    /// The event of one token; from index `wrong_id_from` on it has the id of another request.
    fn event(&self, index: u64, wrong_id_from: Option<u64>) -> bytes::Bytes {
        let use_wrong_id = wrong_id_from.is_some_and(|from| index >= from);
        let id = if use_wrong_id { server::wrong_id(&self.id) } else { self.id.clone() };
        let text = self.token(index);
        let (delta, text) = if self.chat {
            (Some(openai::Delta { content: text }), None)
        } else {
            (None, Some(text))
        };
        let last = index + 1 == self.total;
        let finish_reason = last.then_some(borrow::Cow::Borrowed("length"));
        let chunk = openai::Chunk {
            id: borrow::Cow::Borrowed(&id),
            object: borrow::Cow::Borrowed(self.object(true)),
            model: borrow::Cow::Borrowed(&self.model),
            choices: vec![openai::Choice { index: 0, delta, text, finish_reason }],
        };
        let data = serde_json::to_vec(&chunk).expect("a chunk is plain JSON");
        sse::encode(&format!("{id}/{index}"), &data)
    }

    fn completion(&self, text: &str, id: &str) -> serde_json::Value {
        let mut choice = json!({"index": 0, "finish_reason": "length"});
        if self.chat {
            choice["message"] = json!({"role": "assistant", "content": text});
        } else {
            choice["text"] = text.into();
        }
        let tokens = self.total.saturating_sub(self.start_index);
        json!({
            "id": id,
            "object": self.object(false),
            "model": self.model,
            "choices": [choice],
            "usage": {"prompt_tokens": self.prefixes.len(), "completion_tokens": tokens},
        })
    }
}

impl Engine {
    /// Simulates the prefill, which takes less time the more prefixes are cached.
    async fn prefill(&self, job: &Job, shared: &server::Shared) {
        let now = self.now();
        let duration = {
            let mut state = self.state.lock();
            let hits = state.cache.insert(&job.prefixes, now);
            state.export(&job.id, &job.prefixes);
            let uncached = (job.prefixes.len() - hits) as f64 / job.prefixes.len().max(1) as f64;
            self.config
                .first_token
                .mul_f64(state.slots.slowdown(self.config.slots) * uncached.max(0.1))
        };
        sleep_unpaused(duration, shared).await;
    }

    /// Simulates the decoding of one more token.
    async fn decode(&self, shared: &server::Shared) {
        let slowdown = self.state.lock().slots.slowdown(self.config.slots);
        sleep_unpaused(
            self.config.between_tokens.mul_f64(slowdown) + shared.faults().delay,
            shared,
        )
        .await;
    }
}

/// Sleeps, then waits while the engine is paused.
async fn sleep_unpaused(duration: time::Duration, shared: &server::Shared) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
    shared.wait_unpaused().await;
}

/// Responds with the whole text in one body.
async fn respond_whole(
    engine: &sync::Arc<Engine>,
    job: &Job,
    slot: slots::Slot,
    shared: &sync::Arc<server::Shared>,
) -> server::Reply {
    let work = async {
        engine.prefill(job, shared).await;
        for _ in job.start_index + 1..job.total {
            engine.decode(shared).await;
        }
    };
    tokio::select! {
        biased;
        () = engine.config.fabric.wait_lost(&engine.config.vm, &job.member) => return INCOMPLETE.reply(),
        () = slot.cancel.cancelled() => return CANCELLED.reply(),
        () = work => {}
    }
    slot.finish();
    let text: String = (job.start_index..job.total).map(|index| job.token(index)).collect();
    let use_wrong_id = shared.faults().wrong_id == Some(0);
    let id = if use_wrong_id { server::wrong_id(&job.id) } else { job.id.clone() };
    server::json(hyper::StatusCode::OK, &job.completion(&text, &id))
}

/// Responds with one server-sent event for each token.
fn respond_streamed(
    engine: &sync::Arc<Engine>,
    job: Job,
    slot: slots::Slot,
    shared: &sync::Arc<server::Shared>,
) -> server::Reply {
    let (sender, frames) = mpsc::channel(4);
    let (engine, server) = (sync::Arc::clone(engine), sync::Arc::clone(shared));
    shared.spawn(async move {
        let done = tokio::select! {
            biased;
            () = engine.config.fabric.wait_lost(&engine.config.vm, &job.member) => false,
            () = slot.cancel.cancelled() => false,
            () = sender.closed() => false,
            () = send_events(&engine, &job, &sender, &server) => true,
        };
        // Frees the slot before the client receives the end and sends its next request.
        let last = if done {
            slot.finish();
            Ok(sse::encode("", sse::DONE.as_bytes()))
        } else {
            drop(slot);
            Err(io::Error::other("the replica is incomplete or the request was cancelled"))
        };
        server.wait_unpaused().await;
        let _ = sender.send(last).await;
    });
    let mut reply = server::reply(hyper::StatusCode::OK, server::Body::stream(frames));
    let kind = header::HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

async fn send_events(
    engine: &Engine,
    job: &Job,
    sender: &mpsc::Sender<io::Result<bytes::Bytes>>,
    server: &server::Shared,
) {
    engine.prefill(job, server).await;
    for index in job.start_index..job.total {
        if index > job.start_index {
            engine.decode(server).await;
        }
        let event = job.event(index, server.faults().wrong_id);
        if sender.send(Ok(event)).await.is_err() {
            // The client has disconnected; `sender.closed()` in the caller ends this stream.
            return std::future::pending().await;
        }
    }
}
