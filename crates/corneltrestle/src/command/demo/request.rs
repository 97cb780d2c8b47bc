//! The requests of the demo, drawn from a seed.

use corneltrestle_standin::engine;
use corneltrestle_wire::openai;
use rand::Rng;
use serde_json::json;

use super::notes;

/// Fewest and most tokens of an answer.
const TOKENS: std::ops::RangeInclusive<u64> = 4..=40;
/// Different prompts; some repeat, so that prefix caches matter.
const PROMPTS: u64 = 400;
/// Items of stock lookups.
const ITEMS: u32 = 50;

/// A request that a caller is about to send.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Who sends it.
    pub organisation: notes::Organisation,
    /// Number of the node that gets it.
    pub node: usize,
    /// Number of the node that gets the repetition of an order.
    pub other: usize,
    /// What is asked.
    pub work: Work,
}

/// What is asked.
#[derive(Clone, Debug)]
pub(super) enum Work {
    /// A generation.
    Generation(Generation),
    /// An order; `overlap` sends its repetition without waiting for the first answer.
    Order { key: String, overlap: bool },
    /// A status check of an order.
    Status { key: String },
    /// A stock lookup.
    Stock { item: String },
}

/// A generation and the answer that it must get.
#[derive(Clone, Debug)]
pub(super) struct Generation {
    /// Path of the call.
    pub path: &'static str,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The JSON body.
    pub body: Vec<u8>,
    /// The complete text of the answer.
    pub expected: String,
}

impl Request {
    /// Draws request `number` of an organisation, for one of `nodes` nodes.
    pub(super) fn draw(
        organisation: notes::Organisation,
        number: u64,
        nodes: usize,
        rng: &mut impl Rng,
    ) -> Self {
        let work = match rng.random_range(0..100) {
            0..45 => Work::Generation(Generation::draw(organisation, true, rng)),
            45..70 => Work::Generation(Generation::draw(organisation, false, rng)),
            70..85 => {
                Work::Order { key: order_key(organisation, number), overlap: rng.random_bool(0.3) }
            }
            85..95 => {
                Work::Status { key: order_key(organisation, rng.random_range(0..number.max(1))) }
            }
            _ => Work::Stock { item: format!("item-{}", rng.random_range(0..ITEMS)) },
        };
        let node = rng.random_range(0..nodes);
        let other = (node + rng.random_range(1..nodes.max(2))) % nodes;
        Self { organisation, node, other, work }
    }
}

impl Generation {
    /// Draws a generation.
    pub(super) fn draw(
        organisation: notes::Organisation,
        stream: bool,
        rng: &mut impl Rng,
    ) -> Self {
        let tokens = rng.random_range(TOKENS);
        Self::of_length(tokens, organisation, stream, rng)
    }

    /// Draws a generation with an answer of `tokens` tokens.
    pub(super) fn of_length(
        tokens: u64,
        organisation: notes::Organisation,
        stream: bool,
        rng: &mut impl Rng,
    ) -> Self {
        let prompt = format!("{} asks {}", organisation.name, rng.random_range(0..PROMPTS));
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
