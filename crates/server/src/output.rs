//! Backpressure from the socket of a connection to the bodies of its responses.
//!
//! hyper takes parts of a body until its write queue is full, also while the socket takes nothing.
//! Each part may keep a read buffer of an upstream connection alive, so a client that does not read
//! would hold many of them.

use std::{
    pin,
    sync::{self, atomic},
    task,
};

use corneltrestle_kernel::host;
use hyper::body::{Body, Frame, SizeHint};
use pin_project_lite::pin_project;

use crate::{connection::Connection, withheld::Withheld};

/// Largest piece of a part that hyper gets at once on HTTP/2, so that a client that takes little by
/// little is seen to take something.
const MAX_PIECE: usize = 1024;

/// Whether the socket of an HTTP/1 connection takes what hyper writes. The socket and the body are
/// polled by the same task.
#[derive(Debug, Default)]
pub(crate) struct Output {
    /// Set while hyper has bytes that the socket does not take.
    is_blocked: atomic::AtomicBool,
    /// Set if a body was polled in the meantime.
    has_waiter: atomic::AtomicBool,
}

impl Output {
    /// Records that the socket does not take all bytes that hyper has.
    pub(crate) fn block(&self) {
        self.is_blocked.store(true, atomic::Ordering::Relaxed);
    }

    /// Records that hyper has no bytes left, and wakes the task if a body waits for it.
    pub(crate) fn unblock(&self, cx: &task::Context<'_>) {
        self.is_blocked.store(false, atomic::Ordering::Relaxed);
        if self.has_waiter.swap(false, atomic::Ordering::Relaxed) {
            cx.waker().wake_by_ref();
        }
    }

    fn must_wait(&self) -> bool {
        let is_blocked = self.is_blocked.load(atomic::Ordering::Relaxed);
        if is_blocked {
            self.has_waiter.store(true, atomic::Ordering::Relaxed);
        }
        is_blocked
    }
}

/// What a body waits for beside its own next part.
#[derive(Clone, Debug)]
pub(crate) enum Pacing {
    /// The socket of an HTTP/1 connection.
    Socket(sync::Arc<Connection>),
    /// The window of an HTTP/2 client. hyper takes a part of the body beforehand.
    Window(sync::Arc<Connection>, sync::Arc<host::Host>),
}

impl Pacing {
    /// Begins a response.
    fn begin(&self) {
        if let Self::Socket(connection) = self {
            connection.begin_body();
        }
    }

    /// Ends a response.
    fn end(&self) {
        if let Self::Socket(connection) = self {
            connection.end_body();
        }
    }
}

pin_project! {
    /// A body that is not read while the socket of its connection takes nothing, and whose parts count
    /// in the memory budget while the window of the client is closed.
    #[derive(Debug)]
    pub(crate) struct Paced<B> {
        #[pin]
        body: B,
        pacing: Option<Pacing>,
        // The rest of the last part on HTTP/2.
        rest: bytes::Bytes,
    }

    impl<B> PinnedDrop for Paced<B> {
        fn drop(this: Pin<&mut Self>) {
            if let Some(pacing) = this.project().pacing {
                pacing.end();
            }
        }
    }
}

impl<B> Paced<B> {
    pub(crate) fn new(body: B, pacing: Option<Pacing>) -> Self {
        if let Some(pacing) = &pacing {
            pacing.begin();
        }
        Self { body, pacing, rest: bytes::Bytes::new() }
    }
}

impl<B: Body<Data = bytes::Bytes>> Body for Paced<B> {
    type Data = bytes::Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<bytes::Bytes>, B::Error>>> {
        let this = self.project();
        let (connection, host) = match this.pacing {
            Some(Pacing::Window(connection, host)) => (connection, host),
            Some(Pacing::Socket(connection)) if connection.output.must_wait() => {
                return task::Poll::Pending;
            }
            _ => return this.body.poll_frame(cx),
        };
        if this.rest.is_empty() {
            let frame = match task::ready!(this.body.poll_frame(cx)) {
                Some(Ok(frame)) => frame,
                ended => return task::Poll::Ready(ended),
            };
            match frame.into_data() {
                Ok(data) if !data.is_empty() => {
                    *this.rest = Withheld::track(connection, host, data);
                }
                Ok(data) => return task::Poll::Ready(Some(Ok(Frame::data(data)))),
                Err(frame) => return task::Poll::Ready(Some(Ok(frame))),
            }
        } else {
            // hyper asks for the next piece once the client has allowed the one before.
            connection.withheld.progressed();
        }
        let piece = this.rest.split_to(this.rest.len().min(MAX_PIECE));
        task::Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (hint, rest) = (self.body.size_hint(), self.rest.len() as u64);
        let mut whole = SizeHint::new();
        whole.set_lower(hint.lower().saturating_add(rest));
        if let Some(upper) = hint.upper() {
            whole.set_upper(upper.saturating_add(rest));
        }
        whole
    }
}
