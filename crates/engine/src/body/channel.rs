//! The way of a stream's pieces, from who reads them to who takes them.
//!
//! Invariant: only a stream that was told to be whole ends as one. Whatever else becomes of its reader (its connection
//! ends, its task is dropped), whoever takes the pieces gets [`BodyError::Left`] in place of the end.

use super::BodyError;
use bytes::Bytes;
use std::future::poll_fn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// BodyReceiver of a stream that wait for its reader. Each is what one read brought, 16 KiB at most.
pub const CHANNEL_CAPACITY: usize = 2;

/// A piece, or why there are no more.
pub type BodyChunk = Result<Bytes, BodyError>;

/// Whoever took the pieces takes no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverClosed;

/// Where the pieces of a stream are put. Dropped without [`BodySender::finish`], the stream has broken off.
#[derive(Debug)]
pub struct BodySender {
    pieces: mpsc::Sender<BodyChunk>,
    is_whole: Arc<AtomicBool>,
}

impl BodySender {
    /// Puts a piece, once there is room for it.
    ///
    /// # Errors
    /// When nobody takes it.
    pub async fn send(&self, piece: BodyChunk) -> Result<(), ReceiverClosed> {
        self.pieces.send(piece).await.map_err(|_| ReceiverClosed)
    }

    /// Completes when nobody takes pieces any more.
    pub async fn closed(&self) {
        self.pieces.closed().await;
    }

    /// The stream is whole.
    pub fn finish(self) {
        self.is_whole.store(true, Ordering::Release);
    }
}

/// The pieces of a stream.
#[derive(Debug)]
pub struct BodyReceiver {
    pieces: mpsc::Receiver<BodyChunk>,
    is_whole: Arc<AtomicBool>,
}

impl BodyReceiver {
    /// The next piece; none at the end of a whole stream.
    pub async fn recv(&mut self) -> Option<BodyChunk> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// As [`BodyReceiver::recv`].
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        let piece = ready!(self.pieces.poll_recv(cx));
        // The flag is set before the sender is dropped.
        let is_cut = piece.is_none() && !self.is_whole.load(Ordering::Acquire);
        Poll::Ready(if is_cut { Some(Err(BodyError::Left)) } else { piece })
    }
}

/// A stream's two ends.
pub fn body_channel() -> (BodySender, BodyReceiver) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let is_whole = Arc::new(AtomicBool::new(false));
    (BodySender { pieces: sender, is_whole: is_whole.clone() }, BodyReceiver { pieces: receiver, is_whole })
}
