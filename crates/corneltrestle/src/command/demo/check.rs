//! What became of a request, judged against the answer that it must get.

use std::time;

use corneltrestle_http::answer;
use corneltrestle_local::client;
use corneltrestle_wire::{openai, sse};

use super::request;

/// Largest event of a stream in bytes.
const EVENT_MAX_BYTES: usize = 64 * 1024;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The complete and right answer, with the time to the first token of a stream.
    Whole(Option<time::Duration>),
    /// An answer of the system itself.
    Refused {
        /// The code in the answer.
        code: String,
        /// What is known about the effect.
        outcome: String,
        /// The sentence in the answer.
        message: String,
    },
    /// The answer began and was cut off, so that the caller sees that it is not complete.
    CutOff(String),
    /// No answer began.
    NoAnswer(String),
    /// A complete answer that is not the right one.
    Wrong(String),
}

/// Sends a generation and checks its answer.
pub(super) async fn generate(caller: &client::Client, generation: &request::Generation) -> End {
    let sent = time::Instant::now();
    let body = generation.body.clone();
    if generation.stream {
        match caller.send(hyper::Method::POST, generation.path, &[], body).await {
            Ok(parts) => stream(parts, generation, sent).await,
            Err(e) => End::NoAnswer(e.to_string()),
        }
    } else {
        match caller.call(hyper::Method::POST, generation.path, &[], body).await {
            Ok(answer) => whole(&answer, generation),
            Err(e) => End::NoAnswer(e.to_string()),
        }
    }
}

/// The end of a request that was not answered by its upstream, if it was not.
pub(super) fn refusal(headers: &hyper::HeaderMap, body: &[u8]) -> Option<End> {
    let outcome = headers.get(answer::OUTCOME)?.to_str().unwrap_or("unreadable").to_owned();
    let (code, message) = serde_json::from_slice::<openai::ErrorBody<'_>>(body).map_or_else(
        |e| ("unreadable".to_owned(), e.to_string()),
        |body| (body.error.code.into_owned(), body.error.message.into_owned()),
    );
    Some(End::Refused { code, outcome, message })
}

fn whole(answer: &client::Response, generation: &request::Generation) -> End {
    if let Some(refused) = refusal(&answer.headers, &answer.body) {
        return refused;
    }
    let Ok(body) = serde_json::from_slice::<serde_json::Value>(&answer.body) else {
        return End::Wrong(format!("status {} with a body that is no answer", answer.status));
    };
    let choice = &body["choices"][0];
    let text = choice["text"].as_str().or(choice["message"]["content"].as_str()).unwrap_or("");
    judge(text, body["id"].as_str().unwrap_or(""), &answer.headers, generation, None)
}

async fn stream(
    mut parts: client::StreamedResponse,
    generation: &request::Generation,
    sent: time::Instant,
) -> End {
    let headers = parts.headers().clone();
    if headers.contains_key(answer::OUTCOME) {
        let mut body = Vec::new();
        while let Ok(Some(part)) = parts.next().await {
            body.extend_from_slice(&part);
        }
        return refusal(&headers, &body).unwrap_or(End::NoAnswer(String::new()));
    }
    let mut events = sse::Decoder::new(EVENT_MAX_BYTES);
    let (mut text, mut id, mut first, mut done) = (String::new(), String::new(), None, false);
    loop {
        match events.next() {
            Ok(Some(event)) if event.name == "error" => {
                return End::CutOff(String::from_utf8_lossy(&event.data).into_owned());
            }
            Ok(Some(event)) if event.data == sse::DONE => done = true,
            Ok(Some(event)) => {
                first.get_or_insert_with(|| sent.elapsed());
                let Ok(chunk) = serde_json::from_slice::<openai::Chunk<'_>>(&event.data) else {
                    return End::Wrong("an event is not readable".to_owned());
                };
                if !id.is_empty() && id != chunk.id {
                    return End::Wrong(format!("events of {id} and {} in one answer", chunk.id));
                }
                id = chunk.id.into_owned();
                if openai::append_text(&mut text, &event.data).is_err() {
                    return End::Wrong("an event has no text".to_owned());
                }
            }
            Ok(None) => match parts.next().await {
                Ok(Some(part)) => events.feed(part),
                Ok(None) if done => return judge(&text, &id, &headers, generation, first),
                Ok(None) => {
                    return End::Wrong("a truncated stream ended as a complete one".to_owned());
                }
                Err(e) => return End::CutOff(e.to_string()),
            },
            Err(e) => return End::Wrong(e.to_string()),
        }
    }
}

/// Compares a complete answer with the request's own id and text.
fn judge(
    text: &str,
    id: &str,
    headers: &hyper::HeaderMap,
    generation: &request::Generation,
    first: Option<time::Duration>,
) -> End {
    let own = headers.get(answer::REQUEST_ID).and_then(|value| value.to_str().ok()).unwrap_or("");
    if id != own {
        return End::Wrong(format!("request {own} got an answer of {id}"));
    }
    if text != generation.expected {
        let expected = &generation.expected;
        return End::Wrong(format!("request {own} got {text:?} instead of {expected:?}"));
    }
    End::Whole(first)
}
