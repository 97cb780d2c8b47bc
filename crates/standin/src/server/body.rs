//! Response bodies: whole or streamed, and possibly cut in the middle.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// A response body; dropping a streamed one closes the sender's channel.
#[derive(Debug)]
pub struct Body {
    source: Source,
    cut: Cut,
}

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<io::Result<Bytes>>),
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
    pub fn whole(bytes: Bytes) -> Self {
        Self { source: Source::Whole(Some(bytes)), cut: Cut::No }
    }

    /// A body whose frames come from a channel; an error breaks the connection.
    pub fn stream(frames: mpsc::Receiver<io::Result<Bytes>>) -> Self {
        Self { source: Source::Stream(frames), cut: Cut::No }
    }

    /// The length of a whole body in bytes.
    pub(crate) fn len(&self) -> Option<usize> {
        match &self.source {
            Source::Whole(bytes) => Some(bytes.as_ref().map_or(0, Bytes::len)),
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
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.cut {
            Cut::Flush => {
                self.cut = Cut::Now;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            Cut::Now => return Poll::Ready(Some(Err(io::Error::other("cut by a fault")))),
            Cut::No | Cut::After(_) => {}
        }
        let next = match &mut self.source {
            Source::Whole(bytes) => bytes.take().map(Ok),
            Source::Stream(frames) => ready!(frames.poll_recv(context)),
        };
        let Some(Ok(mut bytes)) = next else {
            return Poll::Ready(next.map(|frame| frame.map(Frame::data)));
        };
        match self.cut {
            Cut::After(0) => {
                bytes.truncate(bytes.len() / 2);
                self.cut = Cut::Flush;
            }
            Cut::After(frames) => self.cut = Cut::After(frames - 1),
            _ => {}
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        matches!((&self.source, &self.cut), (Source::Whole(None), Cut::No))
    }

    fn size_hint(&self) -> SizeHint {
        match (self.len(), &self.cut) {
            (Some(len), Cut::No) => SizeHint::with_exact(len as u64),
            _ => SizeHint::default(),
        }
    }
}
