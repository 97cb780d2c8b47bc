//! Response bodies: whole or streamed, and truncated by the fault `truncate`.

use std::{
    io, pin,
    task::{self, ready},
};

use hyper::body;
use tokio::sync::mpsc;

/// A response body. Dropping a streamed one closes the channel, which tells its sender that the
/// client has disconnected.
#[derive(Debug)]
pub struct Body {
    source: Source,
    truncation: Truncation,
}

#[derive(Debug)]
enum Source {
    Whole(Option<bytes::Bytes>),
    Stream(mpsc::Receiver<io::Result<bytes::Bytes>>),
}

#[derive(Debug)]
enum Truncation {
    /// The body is sent completely.
    None,
    /// This many more frames are complete; the next one is cut in the middle.
    After(u64),
    /// Half a frame was returned; one pending poll lets the connection flush it.
    Flushing,
    /// The next poll fails, which closes the connection.
    Now,
}

impl Body {
    /// A body of one frame whose length is known.
    pub fn whole(bytes: bytes::Bytes) -> Self {
        Self { source: Source::Whole(Some(bytes)), truncation: Truncation::None }
    }

    /// A body whose frames come from a channel; an error closes the connection.
    pub fn stream(frames: mpsc::Receiver<io::Result<bytes::Bytes>>) -> Self {
        Self { source: Source::Stream(frames), truncation: Truncation::None }
    }

    /// The length of a whole body in bytes; `None` for a streamed one.
    pub(crate) fn len(&self) -> Option<usize> {
        match &self.source {
            Source::Whole(bytes) => Some(bytes.as_ref().map_or(0, bytes::Bytes::len)),
            Source::Stream(_) => None,
        }
    }

    /// Truncates the body: a whole one in the middle, a streamed one in the frame after `frames`.
    pub(crate) fn truncate_after(mut self, frames: u64) -> Self {
        let whole = matches!(self.source, Source::Whole(_));
        self.truncation = Truncation::After(if whole { 0 } else { frames });
        self
    }
}

impl hyper::body::Body for Body {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<body::Frame<bytes::Bytes>>>> {
        match self.truncation {
            Truncation::Flushing => {
                self.truncation = Truncation::Now;
                context.waker().wake_by_ref();
                return task::Poll::Pending;
            }
            Truncation::Now => {
                return task::Poll::Ready(Some(Err(io::Error::other("truncated by a fault"))));
            }
            Truncation::None | Truncation::After(_) => {}
        }
        let next = match &mut self.source {
            Source::Whole(bytes) => bytes.take().map(Ok),
            Source::Stream(frames) => ready!(frames.poll_recv(context)),
        };
        let Some(Ok(mut bytes)) = next else {
            return task::Poll::Ready(next.map(|frame| frame.map(body::Frame::data)));
        };
        match self.truncation {
            Truncation::After(0) => {
                bytes.truncate(bytes.len() / 2);
                self.truncation = Truncation::Flushing;
            }
            Truncation::After(frames) => self.truncation = Truncation::After(frames - 1),
            _ => {}
        }
        task::Poll::Ready(Some(Ok(body::Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        matches!((&self.source, &self.truncation), (Source::Whole(None), Truncation::None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match (self.len(), &self.truncation) {
            (Some(len), Truncation::None) => body::SizeHint::with_exact(len as u64),
            _ => body::SizeHint::default(),
        }
    }
}
