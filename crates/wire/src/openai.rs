//! The parts of OpenAI messages that the system reads or writes itself.

use std::borrow;

use serde::{Deserialize, Serialize};

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// What a node reads of a request body; everything else is passed on unread.
#[derive(Clone, Debug, Deserialize)]
pub struct Request<'a> {
    /// The model.
    #[serde(borrow)]
    pub model: borrow::Cow<'a, str>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Messages of a chat.
    #[serde(borrow, default)]
    pub messages: Vec<Message<'a>>,
    /// Prompt of a completion.
    #[serde(borrow, default)]
    pub prompt: borrow::Cow<'a, str>,
    /// Whether the body has a field `resume`, which only a node may add.
    #[serde(default, deserialize_with = "present", rename = "resume")]
    pub has_resume: bool,
}

fn present<'de, D: serde::Deserializer<'de>>(value: D) -> std::result::Result<bool, D::Error> {
    serde::de::IgnoredAny::deserialize(value).map(|_| true)
}

/// A message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message<'a> {
    /// Who speaks.
    #[serde(borrow)]
    pub role: borrow::Cow<'a, str>,
    /// The text.
    #[serde(borrow, default)]
    pub content: borrow::Cow<'a, str>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk<'a> {
    /// Identifier of the answer.
    #[serde(borrow)]
    pub id: borrow::Cow<'a, str>,
    /// `chat.completion.chunk` or `text_completion`.
    #[serde(borrow)]
    pub object: borrow::Cow<'a, str>,
    /// The model.
    #[serde(borrow, default)]
    pub model: borrow::Cow<'a, str>,
    /// The choices; engines send one.
    #[serde(borrow)]
    pub choices: Vec<Choice<'a>>,
}

/// One choice of an event.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Choice<'a> {
    /// Number of the choice.
    pub index: u32,
    /// New text of a chat.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta<'a>>,
    /// New text of a completion.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<borrow::Cow<'a, str>>,
    /// Why the answer ended, in its last event.
    #[serde(borrow, default)]
    pub finish_reason: Option<borrow::Cow<'a, str>>,
}

/// New text of a chat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Delta<'a> {
    /// The text.
    #[serde(borrow, default)]
    pub content: borrow::Cow<'a, str>,
}

/// The error form of every answer that is not the upstream's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody<'a> {
    /// The error.
    #[serde(borrow)]
    pub error: ErrorInfo<'a>,
}

/// An error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorInfo<'a> {
    /// Stable code, for example `overloaded`.
    #[serde(borrow)]
    pub code: borrow::Cow<'a, str>,
    /// A sentence for people.
    #[serde(borrow)]
    pub message: borrow::Cow<'a, str>,
    /// The step at which the request ended.
    #[serde(borrow)]
    pub step: borrow::Cow<'a, str>,
    /// Milliseconds after which a retry makes sense.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl<'a> Request<'a> {
    /// Decodes a request body.
    ///
    /// # Errors
    ///
    /// When the body is not a JSON object with a model.
    pub fn decode(body: &'a [u8]) -> Result<Self> {
        // A derived decoder would also take the fields in order from an array.
        if body.trim_ascii_start().first() != Some(&b'{') {
            return Err(serde::de::Error::custom("expected a JSON object"));
        }
        serde_json::from_slice(body)
    }

    /// The texts of the prompt in order, from which prefix hashes are made.
    pub fn texts(&self) -> impl Iterator<Item = &str> {
        let messages = self.messages.iter().flat_map(|m| [m.role.as_ref(), m.content.as_ref()]);
        messages.chain(std::iter::once(self.prompt.as_ref()))
    }
}

/// Appends the new text of an event's data to `text`.
///
/// # Errors
///
/// When the data is not an event of a streamed answer.
///
/// # Examples
///
/// ```
/// let mut text = String::new();
/// let data = br#"{"id":"a","object":"text_completion","choices":[{"index":0,"text":"hi","finish_reason":null}]}"#;
/// corneltrestle_wire::openai::append_text(&mut text, data).unwrap();
/// assert_eq!(text, "hi");
/// ```
pub fn append_text(text: &mut String, data: &[u8]) -> Result<()> {
    let chunk: Chunk<'_> = serde_json::from_slice(data)?;
    for choice in &chunk.choices {
        if let Some(delta) = &choice.delta {
            text.push_str(&delta.content);
        }
        if let Some(new) = &choice.text {
            text.push_str(new);
        }
    }
    Ok(())
}
