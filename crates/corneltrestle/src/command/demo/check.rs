//! Sends generations and compares each answer with the expected one.

use std::time;

use corneltrestle_http::response;
use corneltrestle_local::client;
use corneltrestle_wire::{openai, sse};

use super::request;

/// Limit on the size of one server-sent event; a larger one fails the check.
const EVENT_MAX_BYTES: usize = 64 * 1024;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The answer is complete and correct; with the time to the first token if it was streamed.
    Whole(Option<time::Duration>),
    /// The system answered with an error of its own, not with an answer of the upstream.
    Refused {
        /// Error code in the body.
        code: String,
        /// Value of the outcome header: what is known about the effect of the request.
        outcome: String,
        /// Error message in the body.
        message: String,
    },
    /// The answer started and was cut off in a way that the caller notices; with the cause.
    CutOff(String),
    /// The call failed before an answer started; with the cause.
    NoAnswer(String),
    /// The answer looks complete but is not the expected one; with the difference.
    Wrong(String),
}

/// Sends a generation and compares its answer with the expected one.
pub(super) async fn generate(caller: &client::Client, generation: &request::Generation) -> End {
    let sent = time::Instant::now();
    let body = generation.body.clone();
    if generation.stream {
        match caller.send(hyper::Method::POST, generation.path, &[], body).await {
            Ok(response) => check_stream(response, generation, sent).await,
            Err(e) => End::NoAnswer(e.to_string()),
        }
    } else {
        match caller.call(hyper::Method::POST, generation.path, &[], body).await {
            Ok(response) => check_complete(&response, generation),
            Err(e) => End::NoAnswer(e.to_string()),
        }
    }
}

/// Decodes an error answer of the system; `None` if the answer is the upstream's, which has no
/// outcome header.
pub(super) fn refusal(headers: &hyper::HeaderMap, body: &[u8]) -> Option<End> {
    let outcome = headers.get(response::OUTCOME)?.to_str().unwrap_or("unreadable").to_owned();
    let (code, message) = serde_json::from_slice::<openai::ErrorBody<'_>>(body).map_or_else(
        |e| ("unreadable".to_owned(), e.to_string()),
        |body| (body.error.code.into_owned(), body.error.message.into_owned()),
    );
    Some(End::Refused { code, outcome, message })
}

fn check_complete(response: &client::Response, generation: &request::Generation) -> End {
    if let Some(refused) = refusal(&response.headers, &response.body) {
        return refused;
    }
    let Ok(body) = serde_json::from_slice::<serde_json::Value>(&response.body) else {
        return End::Wrong(format!("status {} with a body that is not JSON", response.status));
    };
    let choice = &body["choices"][0];
    let text = choice["text"].as_str().or(choice["message"]["content"].as_str()).unwrap_or("");
    compare(text, body["id"].as_str().unwrap_or(""), &response.headers, generation, None)
}

async fn check_stream(
    mut response: client::StreamedResponse,
    generation: &request::Generation,
    sent: time::Instant,
) -> End {
    let headers = response.headers().clone();
    if headers.contains_key(response::OUTCOME) {
        let mut body = Vec::new();
        while let Ok(Some(part)) = response.next().await {
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
                    return End::Wrong("an event cannot be decoded".to_owned());
                };
                if !id.is_empty() && id != chunk.id {
                    return End::Wrong(format!("events of {id} and {} in one answer", chunk.id));
                }
                id = chunk.id.into_owned();
                if openai::append_text(&mut text, &event.data).is_err() {
                    return End::Wrong("an event has no text".to_owned());
                }
            }
            Ok(None) => match response.next().await {
                Ok(Some(part)) => events.feed(part),
                Ok(None) if done => return compare(&text, &id, &headers, generation, first),
                Ok(None) => {
                    return End::Wrong("the stream ended without [DONE]".to_owned());
                }
                Err(e) => return End::CutOff(e.to_string()),
            },
            Err(e) => return End::Wrong(e.to_string()),
        }
    }
}

/// Compares the id and the text of a complete answer with those of the request.
fn compare(
    text: &str,
    id: &str,
    headers: &hyper::HeaderMap,
    generation: &request::Generation,
    first: Option<time::Duration>,
) -> End {
    let request_id =
        headers.get(response::REQUEST_ID).and_then(|value| value.to_str().ok()).unwrap_or("");
    if id != request_id {
        return End::Wrong(format!("request {request_id} got the answer of request {id}"));
    }
    if text != generation.expected {
        let expected = &generation.expected;
        return End::Wrong(format!("request {request_id} got {text:?} instead of {expected:?}"));
    }
    End::Whole(first)
}
