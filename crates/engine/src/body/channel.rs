//! Bounded channel for the chunks of a streamed body.
//!
//! Invariant: a stream ends without an error only after [`BodySender::finish`]. If the sender is dropped in any other
//! way (its connection ends, its task is dropped), the receiver gets [`BodyError::Left`] instead of the end.

use super::BodyError;
use bytes::Bytes;
use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// Chunks that wait in a channel. Each holds the bytes of one read, at most 16 KiB.
pub const CHANNEL_CAPACITY: usize = 2;

/// A chunk, or the error that ended the stream.
pub type BodyChunk = Result<Bytes, BodyError>;

/// The receiver was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverClosed;

/// Sending half. Dropping it without [`BodySender::finish`] ends the stream with an error.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<BodyChunk>,
    is_complete: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a chunk, waiting for capacity.
    ///
    /// # Errors
    /// If the receiver was dropped.
    pub async fn send(&self, chunk: BodyChunk) -> Result<(), ReceiverClosed> {
        self.chunks.send(chunk).await.map_err(|_| ReceiverClosed)
    }

    /// Completes when the receiver is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the stream as complete.
    pub fn finish(self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// Receiving half.
#[derive(Debug)]
pub struct BodyReceiver {
    chunks: mpsc::Receiver<BodyChunk>,
    is_complete: Arc<AtomicBool>,
}

impl BodyReceiver {
    /// Receives the next chunk; `None` at the end of a complete stream.
    pub async fn recv(&mut self) -> Option<BodyChunk> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// Poll version of [`BodyReceiver::recv`].
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        let chunk = ready!(self.chunks.poll_recv(cx));
        // The flag is set before the sender is dropped.
        let is_cut = chunk.is_none() && !self.is_complete.load(Ordering::Acquire);
        Poll::Ready(if is_cut { Some(Err(BodyError::Left)) } else { chunk })
    }
}

/// Creates a channel for a streamed body.
pub fn body_channel() -> (BodySender, BodyReceiver) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let is_complete = Arc::new(AtomicBool::new(false));
    (
        BodySender { chunks: sender, is_complete: is_complete.clone() },
        BodyReceiver { chunks: receiver, is_complete },
    )
}
