//! Bodies of answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use http_body_util::channel::{Channel, Sender};
use hyper::body::{Body as _, Frame, SizeHint};

/// Why the body of an answer was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The upstream's answer ended before it was complete.
    Incomplete,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer ended before it was complete")
    }
}

impl std::error::Error for Error {}

/// A body that is known as a whole, or a stream fed by a job of the pool.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Full(Full<Bytes>),
    /// A stream; an error in it aborts the connection, so that it is never taken as complete.
    Stream(Stream),
}

/// A stream fed by a job of the pool.
#[derive(Debug)]
pub struct Stream {
    frames: Channel<Bytes, Error>,
    /// An error that is due after the frames before it have been flushed.
    cut: Option<Error>,
}

/// Frames that wait in a stream before its producer pauses.
const STREAM_FRAMES: usize = 16;

impl Body {
    /// A complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// A stream with the sender that feeds it.
    pub fn stream() -> (Sender<Bytes, Error>, Self) {
        let (sender, frames) = Channel::new(STREAM_FRAMES);
        (sender, Self::Stream(Stream { frames, cut: None }))
    }
}

impl Stream {
    /// The next frame. An error comes one poll later than it is known: the connection flushes what
    /// it has at a pending poll, and drops it at an error, the event that states the cause included.
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(error) = self.cut.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.frames).poll_frame(cx) {
            Poll::Ready(Some(Err(error))) => {
                self.cut = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            frame => frame,
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Self::Stream(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Stream(stream) => stream.cut.is_none() && stream.frames.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(stream) => stream.frames.size_hint(),
        }
    }
}
