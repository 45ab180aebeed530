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
    pieces: mpsc::Sender<BodyChunk>,
    is_whole: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a chunk, waiting for capacity.
    ///
    /// # Errors
    /// If the receiver was dropped.
    pub async fn send(&self, piece: BodyChunk) -> Result<(), ReceiverClosed> {
        self.pieces.send(piece).await.map_err(|_| ReceiverClosed)
    }

    /// Completes when the receiver is dropped.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }

    /// Ends the stream as complete.
    pub fn finish(self) {
        self.is_whole.store(true, Ordering::Release);
    }
}

/// Receiving half.
#[derive(Debug)]
pub struct BodyReceiver {
    pieces: mpsc::Receiver<BodyChunk>,
    is_whole: Arc<AtomicBool>,
}

impl BodyReceiver {
    /// Receives the next chunk; `None` at the end of a complete stream.
    pub async fn recv(&mut self) -> Option<BodyChunk> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// Poll version of [`BodyReceiver::recv`].
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        let piece = ready!(self.pieces.poll_recv(cx));
        // The flag is set before the sender is dropped.
        let is_cut = piece.is_none() && !self.is_whole.load(Ordering::Acquire);
        Poll::Ready(if is_cut { Some(Err(BodyError::Left)) } else { piece })
    }
}

/// Creates a channel for a streamed body.
pub fn body_channel() -> (BodySender, BodyReceiver) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let is_whole = Arc::new(AtomicBool::new(false));
    (BodySender { pieces: sender, is_whole: is_whole.clone() }, BodyReceiver { pieces: receiver, is_whole })
}
