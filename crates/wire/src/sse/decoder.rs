//! Incremental decoding of server-sent events.

use std::{fmt, mem};

/// Decodes events from the parts of a body, with bounded memory.
///
/// The fields of an event are slices of the part that holds it; only an event that spans several
/// parts is copied. The crate `eventsource-stream` copies each field into a `String` and has no
/// size limit. Lines end with LF or CRLF.
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
    /// Events that lie in one part.
    whole: bytes::Bytes,
    /// The beginning of an event that spans parts; `whole` is empty meanwhile.
    partial: bytes::BytesMut,
    /// Start of the first line of `partial` that has not ended.
    line: usize,
    max: usize,
}

/// An event with data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its id; empty if it has none.
    pub id: bytes::Bytes,
    /// Its type; empty for a message.
    pub name: bytes::Bytes,
    /// Its data.
    pub data: bytes::Bytes,
}

/// An event with its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The event as it arrived, with the blank line that ends it.
    pub raw: bytes::Bytes,
    /// The event.
    pub event: Event,
}

/// An event is larger than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge {
    /// The limit in bytes.
    pub max: usize,
}

impl fmt::Display for TooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event larger than {} bytes", self.max)
    }
}

impl std::error::Error for TooLarge {}

impl Decoder {
    /// A decoder of events of at most `max` bytes.
    pub fn new(max: usize) -> Self {
        Self { whole: bytes::Bytes::new(), partial: bytes::BytesMut::new(), line: 0, max }
    }

    /// Adds a part of the body.
    pub fn feed(&mut self, part: bytes::Bytes) {
        if self.whole.is_empty() && self.partial.is_empty() {
            self.whole = part;
        } else {
            let whole = mem::take(&mut self.whole);
            self.partial.extend_from_slice(&whole);
            self.partial.extend_from_slice(&part);
        }
    }

    /// The next event, or `None` if more of the body is needed. Events without data are skipped.
    ///
    /// # Errors
    ///
    /// When an event is larger than the limit.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Event>, TooLarge> {
        Ok(self.next_block()?.map(|block| block.event))
    }

    /// As [`Decoder::next`], with the bytes of the event.
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
                Ok(end) if end <= self.max => {
                    let raw = self.whole.split_to(end);
                    if let Some(event) = parse(&raw) {
                        return Ok(Some(Block { raw, event }));
                    }
                }
                Ok(_) => return Err(TooLarge { max: self.max }),
                Err(line) => {
                    self.line = line;
                    self.partial.extend_from_slice(&mem::take(&mut self.whole));
                    return if self.partial.len() > self.max {
                        Err(TooLarge { max: self.max })
                    } else {
                        Ok(None)
                    };
                }
            }
        }
    }

    /// Whether all that was added has been returned, so that the body may end here.
    pub fn is_empty(&self) -> bool {
        self.whole.is_empty() && self.partial.is_empty()
    }

    /// Whether the event that spans parts has ended; it is then the first one in `whole`.
    fn complete_partial(&mut self) -> Result<bool, TooLarge> {
        match end_of_event(&self.partial, self.line) {
            Ok(_) => {
                self.whole = mem::take(&mut self.partial).freeze();
                self.line = 0;
                Ok(true)
            }
            Err(line) => {
                self.line = line;
                if self.partial.len() > self.max {
                    return Err(TooLarge { max: self.max });
                }
                Ok(false)
            }
        }
    }
}

/// The position after the blank line that ends an event, or the start of the first line that has
/// not ended. `line` is the start of a line.
fn end_of_event(text: &[u8], mut line: usize) -> Result<usize, usize> {
    while let Some(length) = memchr::memchr(b'\n', &text[line..]) {
        let blank = matches!(&text[line..line + length], b"" | b"\r");
        line += length + 1;
        if blank {
            return Ok(line);
        }
    }
    Err(line)
}

fn parse(block: &bytes::Bytes) -> Option<Event> {
    let mut event = Event::default();
    let mut found = false;
    let mut rest = &block[..];
    while let Some(length) = memchr::memchr(b'\n', rest) {
        let line = rest[..length].strip_suffix(b"\r").unwrap_or(&rest[..length]);
        rest = &rest[length + 1..];
        if let Some(value) = field(line, b"data:") {
            event.data = if found { join(&event.data, value) } else { block.slice_ref(value) };
            found = true;
        } else if let Some(value) = field(line, b"id:") {
            event.id = block.slice_ref(value);
        } else if let Some(value) = field(line, b"event:") {
            event.name = block.slice_ref(value);
        }
    }
    found.then_some(event)
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn join(data: &[u8], line: &[u8]) -> bytes::Bytes {
    [data, line].join(&b'\n').into()
}
