//! Reads the events of one upstream's answer.

use std::future;

use corneltrestle_wire::sse;

use crate::{pipeline::attempt::Failure, upstream::Body};

/// Largest event; a larger one fails the attempt.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Result of reading from an upstream.
#[derive(Debug)]
pub(super) enum Read {
    /// A part has been read.
    Part,
    /// The answer has ended.
    End,
    /// The answer has failed.
    Failed(Failure),
}

/// The body of an answer, and what has been read of it.
#[derive(Debug)]
pub(super) struct Reader<B> {
    body: B,
    decoder: sse::Decoder,
    /// A block that was decoded and is to be returned next.
    block: Option<sse::Block>,
    /// How the answer ended, to be returned by the next read.
    end: Option<Read>,
    /// Whether any byte has arrived.
    has_bytes: bool,
}

impl<B: Body> Reader<B> {
    pub(super) fn new(body: B) -> Self {
        let decoder = sse::Decoder::new(MAX_EVENT_BYTES);
        Self { body, decoder, block: None, end: None, has_bytes: false }
    }

    /// Whether any byte has arrived.
    pub(super) fn has_bytes(&self) -> bool {
        self.has_bytes
    }

    /// Whether the end of the body is known from a length or from chunks.
    pub(super) fn is_delimited(&self) -> bool {
        self.body.is_delimited()
    }

    /// The next block of what has been read.
    ///
    /// # Errors
    ///
    /// When it is too large.
    pub(super) fn next_block(&mut self) -> Result<Option<sse::Block>, sse::TooLarge> {
        match self.block.take() {
            Some(block) => Ok(Some(block)),
            None => self.decoder.next_block(),
        }
    }

    /// Whether all that was read has been returned as blocks.
    pub(super) fn is_empty(&self) -> bool {
        self.block.is_none() && self.decoder.is_empty()
    }

    /// Reads the next part of the answer.
    pub(super) async fn read(&mut self) -> Read {
        if let Some(end) = self.end.take() {
            return end;
        }
        match self.body.chunk().await {
            Ok(Some(part)) => {
                self.has_bytes = true;
                self.decoder.feed(part);
                Read::Part
            }
            Ok(None) => Read::End,
            Err(error) => Read::Failed(Failure::Call(error)),
        }
    }

    /// Reads until there is a block, or the answer has ended after a whole one; the next call returns
    /// either. Never completes if the answer fails, or ends otherwise: the next read then says so.
    pub(super) async fn wait(&mut self) {
        loop {
            match self.next_block() {
                Ok(Some(block)) => return self.block = Some(block),
                Ok(None) => {}
                Err(_) => {
                    let failure = Failure::BadAnswer(hyper::StatusCode::OK);
                    self.end = Some(Read::Failed(failure));
                }
            }
            let read = self.read().await;
            let is_whole = matches!(read, Read::End) && self.has_bytes && self.decoder.is_empty();
            if !matches!(read, Read::Part) {
                self.end = Some(read);
                if is_whole {
                    return;
                }
                future::pending::<()>().await;
            }
        }
    }
}
