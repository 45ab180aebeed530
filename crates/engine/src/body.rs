//! Request and response bodies: small ones are buffered, large ones are streamed.
//!
//! A stream goes through a channel of [`CHANNEL_CAPACITY`] chunks: a slow reader slows down the writer, and the memory
//! of a stream is bounded whatever its length. A buffered body can be sent again.

mod channel;

pub use channel::{body_channel, BodyReceiver, BodySender, ReceiverClosed, CHANNEL_CAPACITY};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use oatbank_operations::budget::{SMALL_BODY_BYTES, STREAM_KIB};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Largest body that is buffered completely, bytes. Of a longer one, the start is buffered until the rest is read.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Largest body that is forwarded, bytes: twice the size that users announced.
pub const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Memory budget shared by all bodies. Waiters are served in order.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    available_kib: Arc<Semaphore>,
    /// Size of the budget, KiB.
    total_kib: Rc<Cell<usize>>,
}

/// Share of the budget held by a body; released on drop.
#[derive(Debug)]
pub struct BodyPermit {
    _permit: OwnedSemaphorePermit,
}

impl BodyBudget {
    /// Creates a budget of `kib` KiB.
    pub fn new(kib: usize) -> Self {
        BodyBudget { available_kib: Arc::new(Semaphore::new(kib)), total_kib: Rc::new(Cell::new(kib)) }
    }

    /// Changes the size of the budget. Permits that are held stay valid until they are dropped.
    pub fn resize(&self, kib: usize) {
        let before = self.total_kib.replace(kib);
        if kib >= before {
            self.available_kib.add_permits(kib - before);
        } else {
            let reduction = before - kib;
            let forgotten = self.available_kib.forget_permits(reduction);
            // Permits in use cannot be revoked, so they still count towards the size until the next change.
            self.total_kib.set(kib + (reduction - forgotten));
        }
    }

    /// Waits for a permit for a body of `length` bytes, or for a stream's window if it is longer or of unknown length.
    /// Returns `None` for a small body, whose memory belongs to its connection's budget.
    pub async fn take(&self, length: Option<u64>) -> Option<BodyPermit> {
        self.acquire_buffered(length, MAX_BUFFERED_BYTES).await
    }

    /// Like [`BodyBudget::take`], for a body that is buffered up to `held` bytes.
    pub async fn acquire_buffered(&self, length: Option<u64>, held: usize) -> Option<BodyPermit> {
        let kib = match length {
            Some(length) if length <= SMALL_BODY_BYTES as u64 => return None,
            Some(length) if length <= held as u64 => length as usize / 1024 + 1,
            Some(_) => STREAM_KIB,
            None => STREAM_KIB.max(held / 1024),
        };
        // A request for more than the whole budget would never succeed.
        let kib = kib.min(self.total_kib.get()).max(1) as u32;
        // The semaphore is never closed.
        self.available_kib
            .clone()
            .acquire_many_owned(kib)
            .await
            .ok()
            .map(|permit| BodyPermit { _permit: permit })
    }
}

/// Why a body ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The sender disconnected or violated HTTP.
    Left,
    /// No progress within the time limit.
    Stalled,
    /// The body is longer than allowed.
    TooLong,
    /// Part of it was sent to a server and is no longer buffered.
    Spent,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::Left => "the body is incomplete",
            BodyError::Stalled => "the body stalled",
            BodyError::TooLong => "the body is too long",
            BodyError::Spent => "the body is no longer buffered",
        })
    }
}

impl std::error::Error for BodyError {}

/// The start of a body, assembled from chunks. A body that arrives in one chunk, as most do, is not copied.
#[derive(Debug, Default)]
pub struct BodyPrefix {
    first: Bytes,
    all: BytesMut,
}

impl BodyPrefix {
    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if self.first.is_empty() {
            self.first = chunk;
            return;
        }
        if self.all.is_empty() {
            self.all.extend_from_slice(&self.first);
        }
        self.all.extend_from_slice(&chunk);
    }

    /// Whether it is longer than `most` bytes.
    pub fn is_longer_than(&self, most: usize) -> bool {
        self.first.len().max(self.all.len()) > most
    }

    /// Returns all bytes that were pushed.
    pub fn finish(self) -> Bytes {
        if self.all.is_empty() {
            self.first
        } else {
            self.all.freeze()
        }
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Whole(Bytes),
    /// A body whose rest is still arriving.
    Stream {
        /// Bytes received so far.
        held: Bytes,
        /// Total length in bytes, if known.
        length: Option<u64>,
        /// The bytes still to arrive.
        rest: BodyReceiver,
        /// Memory permit of the body.
        permit: Option<BodyPermit>,
    },
}

impl Body {
    /// A complete body with its memory permit.
    pub fn held(bytes: Bytes, permit: Option<BodyPermit>) -> Self {
        if permit.is_none() {
            return Body::Whole(bytes);
        }
        let (sender, rest) = body_channel();
        sender.finish();
        Body::Stream { length: Some(bytes.len() as u64), held: bytes, rest, permit }
    }

    /// The bytes of a complete body; `None` for a stream.
    pub fn whole(&self) -> Option<&Bytes> {
        match self {
            Body::Whole(bytes) => Some(bytes),
            Body::Stream { .. } => None,
        }
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    /// If it ends early or is longer than `most` bytes.
    pub async fn collect(self, most: usize) -> Result<Bytes, BodyError> {
        match self {
            Body::Whole(bytes) if bytes.len() > most => Err(BodyError::TooLong),
            Body::Whole(bytes) => Ok(bytes),
            Body::Stream { held, mut rest, .. } => {
                let mut all = BytesMut::from(&held[..]);
                while let Some(chunk) = rest.recv().await {
                    all.extend_from_slice(&chunk?);
                    if all.len() > most {
                        return Err(BodyError::TooLong);
                    }
                }
                Ok(all.freeze())
            }
        }
    }
}

impl Default for Body {
    fn default() -> Self {
        Body::Whole(Bytes::new())
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Body::Whole(bytes)
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Body::Whole(Bytes::from(text))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Body::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Body::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Body::Stream { held, .. } if !held.is_empty() => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(held)))))
            }
            Body::Stream { rest, .. } => rest.poll_recv(cx).map(|chunk| chunk.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            // The hint is read before the first chunk is taken.
            Body::Stream { length: Some(length), .. } => SizeHint::with_exact(*length),
            Body::Stream { held, .. } => {
                let mut hint = SizeHint::new();
                hint.set_lower(held.len() as u64);
                hint
            }
        }
    }
}

/// The body of a request, shared by its attempts.
#[derive(Debug)]
pub enum Upload {
    /// Buffered completely: it can be sent any number of times.
    Whole(Bytes),
    /// The start is buffered until an attempt reads the rest; after that the body cannot be sent again.
    Stream {
        /// The buffered start.
        held: Bytes,
        /// Total length in bytes, if known.
        length: Option<u64>,
        /// The rest, until an attempt takes it.
        rest: Mutex<Option<BodyReceiver>>,
    },
}

impl Upload {
    /// A streamed body with a buffered start.
    pub fn stream(held: Bytes, length: Option<u64>, rest: BodyReceiver) -> Self {
        Upload::Stream { held, length, rest: Mutex::new(Some(rest)) }
    }

    /// Whether the body is streamed.
    pub fn is_stream(&self) -> bool {
        matches!(self, Upload::Stream { .. })
    }

    fn take_rest(&self) -> Option<BodyReceiver> {
        match self {
            Upload::Whole(_) => None,
            // The only change made under the lock is atomic, so a poisoned lock holds a valid value.
            Upload::Stream { rest, .. } => rest.lock().unwrap_or_else(PoisonError::into_inner).take(),
        }
    }
}

impl From<Bytes> for Upload {
    fn from(bytes: Bytes) -> Self {
        Upload::Whole(bytes)
    }
}

/// Progress of an attempt's streamed body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The rest after the buffered start was taken: no other attempt can send this body.
    Spent,
    /// The last byte is about to be written: from now on the request may run.
    Sent,
}

/// Send state of an attempt's body.
#[derive(Debug, Default)]
pub struct SendState {
    /// The last byte was handed to the connection.
    pub sent: Cell<bool>,
    /// The rest of the body could not be obtained.
    pub failed: Cell<bool>,
}

/// HTTP body that sends an [`Upload`] in one attempt.
pub struct UploadBody<Q> {
    request: Arc<Q>,
    upload: fn(&Q) -> &Upload,
    started: bool,
    rest: Option<BodyReceiver>,
    left: Option<u64>,
    on_progress: Rc<dyn Fn(Progress)>,
    state: Rc<SendState>,
}

impl<Q> UploadBody<Q> {
    /// Creates the body of an attempt. `upload` returns the request's body, `on_progress` receives the progress of a
    /// stream and `state` records what was sent.
    pub fn new(
        request: Arc<Q>,
        upload: fn(&Q) -> &Upload,
        on_progress: Rc<dyn Fn(Progress)>,
        state: Rc<SendState>,
    ) -> Self {
        let left = match upload(&request) {
            Upload::Whole(bytes) => Some(bytes.len() as u64),
            Upload::Stream { length, .. } => *length,
        };
        UploadBody { request, upload, started: false, rest: None, left, on_progress, state }
    }

    /// Emits a chunk; the last one marks the body as sent.
    fn emit(&mut self, chunk: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(chunk.len() as u64);
            if *left == 0 {
                self.sent();
            }
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn sent(&self) {
        if !self.state.sent.replace(true) && (self.upload)(&self.request).is_stream() {
            (self.on_progress)(Progress::Sent);
        }
    }

    fn fail(&self, why: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.state.failed.set(true);
        Poll::Ready(Some(Err(why)))
    }
}

impl<Q> HttpBody for UploadBody<Q> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        if !this.started {
            this.started = true;
            let held = match (this.upload)(&this.request) {
                Upload::Whole(bytes) => bytes.clone(),
                Upload::Stream { held, .. } => held.clone(),
            };
            if !held.is_empty() {
                return this.emit(held);
            }
        }
        if !(this.upload)(&this.request).is_stream() || this.left == Some(0) {
            this.sent();
            return Poll::Ready(None);
        }
        if this.rest.is_none() {
            let Some(rest) = (this.upload)(&this.request).take_rest() else {
                return this.fail(BodyError::Spent);
            };
            this.rest = Some(rest);
            (this.on_progress)(Progress::Spent);
        }
        let Some(rest) = &mut this.rest else { return this.fail(BodyError::Spent) };
        match ready!(rest.poll_recv(cx)) {
            Some(Ok(chunk)) => this.emit(chunk),
            Some(Err(why)) => this.fail(why),
            None if this.left.is_some_and(|left| left > 0) => this.fail(BodyError::Left),
            None => {
                this.sent();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0) && (self.started || !(self.upload)(&self.request).is_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

#[cfg(test)]
mod tests;
