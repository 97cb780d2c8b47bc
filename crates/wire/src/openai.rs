//! The parts of OpenAI API messages that the system reads or writes; all else passes through.

use std::borrow;

use serde::{Deserialize, Serialize};

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// The fields of a request body that a node reads; the body itself is forwarded as it is.
#[derive(Clone, Debug, Deserialize)]
pub struct Request<'a> {
    /// Name of the model, by which the request is routed.
    #[serde(borrow)]
    pub model: borrow::Cow<'a, str>,
    /// Whether the response is streamed; false if absent.
    #[serde(default)]
    pub stream: bool,
    /// Messages of a chat; empty for a completion.
    #[serde(borrow, default)]
    pub messages: Vec<Message<'a>>,
    /// Prompt of a completion; empty for a chat.
    #[serde(borrow, default)]
    pub prompt: borrow::Cow<'a, str>,
    /// Whether the body has a field `resume`. Only a node may add it, to continue a stream at
    /// another upstream.
    #[serde(default, deserialize_with = "is_present", rename = "resume")]
    pub has_resume: bool,
}

/// Whether a field is there, whatever its value.
fn is_present<'de, D: serde::Deserializer<'de>>(value: D) -> std::result::Result<bool, D::Error> {
    serde::de::IgnoredAny::deserialize(value).map(|_| true)
}

/// A message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message<'a> {
    /// Role of the author, for example `user`.
    #[serde(borrow)]
    pub role: borrow::Cow<'a, str>,
    /// Text of the message; empty if absent.
    #[serde(borrow, default)]
    pub content: borrow::Cow<'a, str>,
}

/// Data of one event of a streamed response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk<'a> {
    /// Identifier of the response, the same in all its events.
    #[serde(borrow)]
    pub id: borrow::Cow<'a, str>,
    /// `chat.completion.chunk` or `text_completion`.
    #[serde(borrow)]
    pub object: borrow::Cow<'a, str>,
    /// Name of the model; empty if absent.
    #[serde(borrow, default)]
    pub model: borrow::Cow<'a, str>,
    /// Alternative responses; engines send one.
    #[serde(borrow)]
    pub choices: Vec<Choice<'a>>,
}

/// New text of one of the alternative responses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Choice<'a> {
    /// Number of the alternative, from 0.
    pub index: u32,
    /// New text of a chat; absent for a completion.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta<'a>>,
    /// New text of a completion; absent for a chat.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub text: Option<borrow::Cow<'a, str>>,
    /// Why the response ended, for example `length`; only in its last event.
    #[serde(borrow, default)]
    pub finish_reason: Option<borrow::Cow<'a, str>>,
}

/// New text of a chat.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Delta<'a> {
    /// Text that follows that of the event before; empty if absent.
    #[serde(borrow, default)]
    pub content: borrow::Cow<'a, str>,
}

/// Body of every error response that the system generates itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody<'a> {
    /// Describes the error.
    #[serde(borrow)]
    pub error: ErrorInfo<'a>,
}

/// Describes an error to the client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorInfo<'a> {
    /// Stable code, for example `overloaded`.
    #[serde(borrow)]
    pub code: borrow::Cow<'a, str>,
    /// Explanation for people; not stable.
    #[serde(borrow)]
    pub message: borrow::Cow<'a, str>,
    /// The step at which the request ended.
    #[serde(borrow)]
    pub step: borrow::Cow<'a, str>,
    /// Milliseconds after which a retry makes sense; absent if a retry does not help or the time is
    /// unknown.
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

    /// Roles and texts of the prompt in order; prefix hashes are computed from them.
    pub fn texts(&self) -> impl Iterator<Item = &str> {
        let messages = self.messages.iter().flat_map(|m| [m.role.as_ref(), m.content.as_ref()]);
        messages.chain(std::iter::once(self.prompt.as_ref()))
    }
}

/// Appends the new text of an event's data to `text`.
///
/// # Errors
///
/// When the data is not a [`Chunk`].
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
