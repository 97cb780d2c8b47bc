//! Bodies of answers.

use std::{pin, task};

use http_body_util::channel;
use hyper::body;

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
    Full(http_body_util::Full<bytes::Bytes>),
    /// A stream; an error in it aborts the connection, so that it is never taken as complete.
    Stream(Stream),
}

/// The frames of a stream in progress.
#[derive(Debug)]
pub struct Stream {
    frames: channel::Channel<bytes::Bytes, Error>,
    /// An error that waits until the frames before it are written.
    held: Option<Error>,
}

/// Frames that wait in a stream before its producer pauses.
const STREAM_FRAMES: usize = 16;

impl Body {
    /// A complete body.
    pub fn full(bytes: impl Into<bytes::Bytes>) -> Self {
        Self::Full(http_body_util::Full::new(bytes.into()))
    }

    /// A stream with the sender that feeds it.
    pub fn stream() -> (channel::Sender<bytes::Bytes, Error>, Self) {
        let (sender, stream) = channel::Channel::new(STREAM_FRAMES);
        (sender, Self::Stream(Stream { frames: stream, held: None }))
    }
}

impl hyper::body::Body for Body {
    type Data = bytes::Bytes;
    type Error = Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, Error>>> {
        match self.get_mut() {
            Self::Full(full) => pin::Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Self::Stream(stream) => stream.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Stream(stream) => stream.held.is_none() && stream.frames.is_end_stream(),
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(stream) => stream.frames.size_hint(),
        }
    }
}

impl Stream {
    /// Holds an error back for one poll. The server drops what it has not written when a body
    /// fails, and writes it when a body is pending; the last event, which says what went wrong,
    /// would be lost otherwise.
    fn poll_frame(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, Error>>> {
        if let Some(error) = self.held.take() {
            return task::Poll::Ready(Some(Err(error)));
        }
        match hyper::body::Body::poll_frame(pin::Pin::new(&mut self.frames), cx) {
            task::Poll::Ready(Some(Err(error))) => {
                self.held = Some(error);
                cx.waker().wake_by_ref();
                task::Poll::Pending
            }
            polled => polled,
        }
    }
}
