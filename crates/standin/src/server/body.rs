//! Response bodies: whole or streamed, and possibly cut in the middle.

use std::{
    io, pin,
    task::{self, ready},
};

use hyper::body;
use tokio::sync::mpsc;

/// A response body; dropping a streamed one closes the sender's channel.
#[derive(Debug)]
pub struct Body {
    source: Source,
    cut: Cut,
}

#[derive(Debug)]
enum Source {
    Whole(Option<bytes::Bytes>),
    Stream(mpsc::Receiver<io::Result<bytes::Bytes>>),
}

#[derive(Debug)]
enum Cut {
    /// Not to be cut.
    No,
    /// To be cut in the frame after this many.
    After(u64),
    /// Half a frame has been handed over; one pending poll lets the connection flush it.
    Flush,
    /// To be broken now.
    Now,
}

impl Body {
    /// A body that is known as a whole.
    pub fn whole(bytes: bytes::Bytes) -> Self {
        Self { source: Source::Whole(Some(bytes)), cut: Cut::No }
    }

    /// A body whose frames come from a channel; an error breaks the connection.
    pub fn stream(frames: mpsc::Receiver<io::Result<bytes::Bytes>>) -> Self {
        Self { source: Source::Stream(frames), cut: Cut::No }
    }

    /// The length of a whole body in bytes.
    pub(crate) fn len(&self) -> Option<usize> {
        match &self.source {
            Source::Whole(bytes) => Some(bytes.as_ref().map_or(0, bytes::Bytes::len)),
            Source::Stream(_) => None,
        }
    }

    /// Cuts the body: a whole one in its middle, a streamed one in the frame after `frames`.
    pub(crate) fn cut(mut self, frames: u64) -> Self {
        let whole = matches!(self.source, Source::Whole(_));
        self.cut = Cut::After(if whole { 0 } else { frames });
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
        match self.cut {
            Cut::Flush => {
                self.cut = Cut::Now;
                context.waker().wake_by_ref();
                return task::Poll::Pending;
            }
            Cut::Now => return task::Poll::Ready(Some(Err(io::Error::other("cut by a fault")))),
            Cut::No | Cut::After(_) => {}
        }
        let next = match &mut self.source {
            Source::Whole(bytes) => bytes.take().map(Ok),
            Source::Stream(frames) => ready!(frames.poll_recv(context)),
        };
        let Some(Ok(mut bytes)) = next else {
            return task::Poll::Ready(next.map(|frame| frame.map(body::Frame::data)));
        };
        match self.cut {
            Cut::After(0) => {
                bytes.truncate(bytes.len() / 2);
                self.cut = Cut::Flush;
            }
            Cut::After(frames) => self.cut = Cut::After(frames - 1),
            _ => {}
        }
        task::Poll::Ready(Some(Ok(body::Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        matches!((&self.source, &self.cut), (Source::Whole(None), Cut::No))
    }

    fn size_hint(&self) -> body::SizeHint {
        match (self.len(), &self.cut) {
            (Some(len), Cut::No) => body::SizeHint::with_exact(len as u64),
            _ => body::SizeHint::default(),
        }
    }
}
