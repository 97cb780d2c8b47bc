//! Server-sent events of streamed responses.
//!
//! An event of an engine has the id `<request id>/<index>`. A stream that ends without an event
//! with the data [`DONE`] is incomplete.

mod decoder;

pub use decoder::{Block, Decoder, Event, TooLarge};

use bytes::BufMut;

/// Data of the event that ends a complete response.
pub const DONE: &str = "[DONE]";

/// Encodes an event; without an id field if `id` is empty.
///
/// # Examples
///
/// ```
/// let event = corneltrestle_wire::sse::encode("r1/0", b"{}");
/// assert_eq!(&event[..], b"id: r1/0\ndata: {}\n\n");
/// ```
pub fn encode(id: &str, data: &[u8]) -> bytes::Bytes {
    encode_into(&mut bytes::BytesMut::new(), id, data)
}

/// As [`encode`], into a buffer that the stream reuses for all its events, so that most events need
/// no allocation.
pub fn encode_into(buffer: &mut bytes::BytesMut, id: &str, data: &[u8]) -> bytes::Bytes {
    buffer.reserve(id.len() + data.len() + 14);
    if !id.is_empty() {
        buffer.put_slice(b"id: ");
        buffer.put_slice(id.as_bytes());
        buffer.put_u8(b'\n');
    }
    buffer.put_slice(b"data: ");
    buffer.put_slice(data);
    buffer.put_slice(b"\n\n");
    buffer.split().freeze()
}

/// Encodes an event of a type other than the default `message`, for example `error`.
pub fn encode_named(event: &str, data: &[u8]) -> bytes::Bytes {
    let mut out = bytes::BytesMut::with_capacity(event.len() + data.len() + 17);
    out.put_slice(b"event: ");
    out.put_slice(event.as_bytes());
    out.put_slice(b"\ndata: ");
    out.put_slice(data);
    out.put_slice(b"\n\n");
    out.freeze()
}

/// Splits an event id into the request id and the index; `None` if it has another form.
pub fn split_id(id: &str) -> Option<(&str, u64)> {
    let (request, index) = id.rsplit_once('/')?;
    Some((request, index.parse().ok()?))
}
