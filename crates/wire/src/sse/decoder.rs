//! Incremental decoding of server-sent events.

use std::{fmt, mem};

/// Decodes events from the chunks of a body, with bounded memory.
///
/// The fields of an event are slices of the chunk that holds it; only an event that spans several
/// chunks is copied. The crate `eventsource-stream` is not used because it copies each field into a
/// `String` and has no size limit. Lines end with LF or CRLF.
///
/// # Examples
///
/// ```
/// use corneltrestle_wire::sse::Decoder;
///
/// let mut events = Decoder::new(1024);
/// events.feed("id: r1/0\nda".into());
/// assert!(events.next().unwrap().is_none());
/// events.feed("ta: {}\n\n".into());
/// let event = events.next().unwrap().unwrap();
/// assert_eq!((&event.id[..], &event.data[..]), (&b"r1/0"[..], &b"{}"[..]));
/// ```
#[derive(Debug)]
pub struct Decoder {
    /// Bytes to decode next: the rest of a chunk, or of chunks that were joined for an event.
    whole: bytes::Bytes,
    /// Start of an event that spans chunks; `whole` is empty meanwhile.
    partial: bytes::BytesMut,
    /// Offset in `partial` of its last line, which has not ended; the search resumes there.
    line: usize,
    max_bytes: usize,
}

/// An event that has data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the field `id`; empty if absent.
    pub id: bytes::Bytes,
    /// Value of the field `event`; empty if absent, which means `message`.
    pub name: bytes::Bytes,
    /// Values of the fields `data`, joined by line feeds.
    pub data: bytes::Bytes,
}

/// An event together with its encoded form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The bytes as received, including the blank line that ends the event.
    pub raw: bytes::Bytes,
    /// The decoded event.
    pub event: Event,
}

/// An event exceeds the size limit of its [`Decoder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge {
    /// The size limit in bytes.
    pub max: usize,
}

impl fmt::Display for TooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event larger than {} bytes", self.max)
    }
}

impl std::error::Error for TooLarge {}

impl Decoder {
    /// Creates a decoder of events of at most `max_bytes` bytes each.
    pub fn new(max_bytes: usize) -> Self {
        Self { whole: bytes::Bytes::new(), partial: bytes::BytesMut::new(), line: 0, max_bytes }
    }

    /// Adds the next chunk of the body.
    pub fn feed(&mut self, chunk: bytes::Bytes) {
        if self.whole.is_empty() && self.partial.is_empty() {
            self.whole = chunk;
        } else {
            let whole = mem::take(&mut self.whole);
            self.partial.extend_from_slice(&whole);
            self.partial.extend_from_slice(&chunk);
        }
    }

    /// Returns the next event, or `None` if another chunk is needed. Events without data, such as
    /// comments, are skipped.
    ///
    /// # Errors
    ///
    /// When an event is larger than the limit.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, TooLarge> {
        Ok(self.next_block()?.map(|block| block.event))
    }

    /// As [`Decoder::next`], with the encoded form of the event.
    ///
    /// # Errors
    ///
    /// When an event is larger than the limit.
    pub fn next_block(&mut self) -> Result<Option<Block>, TooLarge> {
        loop {
            if !self.partial.is_empty() && !self.complete_partial()? {
                return Ok(None);
            }
            match end_of_event(&self.whole, 0) {
                Ok(end) if end <= self.max_bytes => {
                    let raw = self.whole.split_to(end);
                    if let Some(event) = parse(&raw) {
                        return Ok(Some(Block { raw, event }));
                    }
                }
                Ok(_) => return Err(TooLarge { max: self.max_bytes }),
                Err(line) => {
                    self.line = line;
                    self.partial.extend_from_slice(&mem::take(&mut self.whole));
                    return if self.partial.len() > self.max_bytes {
                        Err(TooLarge { max: self.max_bytes })
                    } else {
                        Ok(None)
                    };
                }
            }
        }
    }

    /// Whether no bytes are left; if the body ends here, its last event is complete.
    pub fn is_empty(&self) -> bool {
        self.whole.is_empty() && self.partial.is_empty()
    }

    /// Moves `partial` to `whole` if it contains a complete event; returns whether it does.
    fn complete_partial(&mut self) -> Result<bool, TooLarge> {
        match end_of_event(&self.partial, self.line) {
            Ok(_) => {
                self.whole = mem::take(&mut self.partial).freeze();
                self.line = 0;
                Ok(true)
            }
            Err(line) => {
                self.line = line;
                if self.partial.len() > self.max_bytes {
                    return Err(TooLarge { max: self.max_bytes });
                }
                Ok(false)
            }
        }
    }
}

/// Finds the end of an event, starting at the offset `line` of a line.
///
/// Returns the offset after the blank line that ends the event. The error is the offset of the line
/// that has not ended, from which to continue when more bytes are there.
fn end_of_event(text: &[u8], mut line: usize) -> Result<usize, usize> {
    while let Some(length) = memchr::memchr(b'\n', &text[line..]) {
        let is_blank = matches!(&text[line..line + length], b"" | b"\r");
        line += length + 1;
        if is_blank {
            return Ok(line);
        }
    }
    Err(line)
}

/// Parses the lines of an event; `None` if it has no data.
fn parse(block: &bytes::Bytes) -> Option<Event> {
    let mut event = Event::default();
    let mut has_data = false;
    let mut rest = &block[..];
    while let Some(length) = memchr::memchr(b'\n', rest) {
        let line = rest[..length].strip_suffix(b"\r").unwrap_or(&rest[..length]);
        rest = &rest[length + 1..];
        if let Some(value) = field(line, b"data:") {
            event.data = if has_data { join(&event.data, value) } else { block.slice_ref(value) };
            has_data = true;
        } else if let Some(value) = field(line, b"id:") {
            event.id = block.slice_ref(value);
        } else if let Some(value) = field(line, b"event:") {
            event.name = block.slice_ref(value);
        }
    }
    has_data.then_some(event)
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn join(data: &[u8], line: &[u8]) -> bytes::Bytes {
    [data, line].join(&b'\n').into()
}
