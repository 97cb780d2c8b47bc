//! Bodies of responses.

use std::{pin, task};

use http_body_util::channel;
use hyper::body;

/// Why the body of a response was aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The response could not be completed, or the caller stopped reading it.
    Incomplete,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response ended before it was complete")
    }
}

impl std::error::Error for Error {}

/// A complete body, or a stream that a background task of the pool sends.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Full(http_body_util::Full<bytes::Bytes>),
    /// A stream. An error in it aborts the connection, so that the caller does not take the
    /// response as complete.
    Stream(Stream),
}

/// A streamed body.
#[derive(Debug)]
pub struct Stream {
    frames: channel::Channel<bytes::Bytes, Error>,
    /// An error that is returned once the frames before it have been written.
    deferred: Option<Error>,
}

/// Limit on frames that are buffered before the sender has to wait.
const MAX_BUFFERED_FRAMES: usize = 16;

impl Body {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<bytes::Bytes>) -> Self {
        Self::Full(http_body_util::Full::new(bytes.into()))
    }

    /// Creates a stream and its sender.
    pub fn stream() -> (channel::Sender<bytes::Bytes, Error>, Self) {
        let (sender, stream) = channel::Channel::new(MAX_BUFFERED_FRAMES);
        (sender, Self::Stream(Stream { frames: stream, deferred: None }))
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
            Self::Stream(stream) => stream.deferred.is_none() && stream.frames.is_end_stream(),
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
    /// Returns an error one poll later than it arrives. When a body fails, the server drops the
    /// frames that it has not written; when a body is pending, it writes them. Without the delay
    /// the last event, which states the error, would be lost.
    fn poll_frame(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, Error>>> {
        if let Some(error) = self.deferred.take() {
            return task::Poll::Ready(Some(Err(error)));
        }
        match hyper::body::Body::poll_frame(pin::Pin::new(&mut self.frames), cx) {
            task::Poll::Ready(Some(Err(error))) => {
                self.deferred = Some(error);
                cx.waker().wake_by_ref();
                task::Poll::Pending
            }
            polled => polled,
        }
    }
}
