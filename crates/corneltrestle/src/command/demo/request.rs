//! Random requests of the demo, with the answers that they must get.

use corneltrestle_standin::engine;
use corneltrestle_wire::openai;
use rand::Rng;
use serde_json::json;

use super::notes;

/// Range of the number of tokens of an answer.
const ANSWER_TOKENS: std::ops::RangeInclusive<u64> = 4..=40;
/// Number of different prompts. Prompts repeat, so that prefix caches have hits.
const DISTINCT_PROMPTS: u64 = 400;
/// Number of different items in stock lookups.
const DISTINCT_ITEMS: u32 = 50;

/// A request before it is sent.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Organisation that sends it.
    pub organisation: notes::Organisation,
    /// Index of the node that it is sent to.
    pub node: usize,
    /// Index of the node that the repetition of an order is sent to.
    pub repeat_node: usize,
    /// The operation.
    pub operation: Operation,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub(super) enum Operation {
    /// Generate text.
    Generation(Generation),
    /// Place an order twice under the same idempotency key; with `overlap`, the second call does not
    /// wait for the answer to the first one.
    Order { key: String, overlap: bool },
    /// Get the status of an order.
    Status { key: String },
    /// Look up an item in stock.
    Stock { item: String },
}

/// A text generation and its expected answer.
#[derive(Clone, Debug)]
pub(super) struct Generation {
    /// URL path of the call.
    pub path: &'static str,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Body of the call, in JSON.
    pub body: Vec<u8>,
    /// Text of the complete answer, as the stand-in engine generates it.
    pub expected: String,
}

impl Request {
    /// A random request, the one with this `number` of its organisation, for one of `nodes` nodes.
    pub(super) fn random(
        organisation: notes::Organisation,
        number: u64,
        nodes: usize,
        rng: &mut impl Rng,
    ) -> Self {
        let operation = match rng.random_range(0..100) {
            0..45 => Operation::Generation(Generation::random(organisation, true, rng)),
            45..70 => Operation::Generation(Generation::random(organisation, false, rng)),
            70..85 => Operation::Order {
                key: order_key(organisation, number),
                overlap: rng.random_bool(0.3),
            },
            85..95 => Operation::Status {
                key: order_key(organisation, rng.random_range(0..number.max(1))),
            },
            _ => Operation::Stock { item: format!("item-{}", rng.random_range(0..DISTINCT_ITEMS)) },
        };
        let node = rng.random_range(0..nodes);
        let repeat_node = (node + rng.random_range(1..nodes.max(2))) % nodes;
        Self { organisation, node, repeat_node, operation }
    }
}

impl Generation {
    /// A random generation.
    pub(super) fn random(
        organisation: notes::Organisation,
        stream: bool,
        rng: &mut impl Rng,
    ) -> Self {
        let tokens = rng.random_range(ANSWER_TOKENS);
        Self::with_tokens(tokens, organisation, stream, rng)
    }

    /// A random generation whose answer has `tokens` tokens.
    pub(super) fn with_tokens(
        tokens: u64,
        organisation: notes::Organisation,
        stream: bool,
        rng: &mut impl Rng,
    ) -> Self {
        let prompt =
            format!("{} asks {}", organisation.name, rng.random_range(0..DISTINCT_PROMPTS));
        let mut body = json!({"model": notes::MODEL, "stream": stream, "max_tokens": tokens});
        let path = if rng.random_bool(0.5) {
            body["messages"] = json!([{"role": "user", "content": prompt}]);
            "/v1/chat/completions"
        } else {
            body["prompt"] = prompt.into();
            "/v1/completions"
        };
        let body = body.to_string().into_bytes();
        let decoded = openai::Request::decode(&body).expect("the body is a request");
        let expected = engine::generated_text(decoded.texts(), tokens);
        Self { path, stream, body, expected }
    }
}

fn order_key(organisation: notes::Organisation, number: u64) -> String {
    format!("{}-{number}", organisation.name)
}
