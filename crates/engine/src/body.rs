//! Bodies: held whole while they are small, and passed on piece by piece where they are not.
//!
//! A stream's pieces wait in a channel of [`CHANNEL_CAPACITY`] at most: whoever reads slowly holds up whoever writes, and the
//! window of a stream is bounded whatever its length. A small body is held so that it can be sent, or answered, again.

mod channel;

pub use channel::{body_channel, BodyReceiver, BodySender, ReceiverClosed, CHANNEL_CAPACITY};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use oatbank_operations::budget::{SMALL, STREAM_KIB};
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A body up to this is held whole; of a longer one the start, until the rest is asked for.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Longest body that is passed on, bytes: twice what users announced.
pub const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// BodyPermit for bodies: what they may take of the memory together. Whoever finds none waits, in turn.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    available_kib: Arc<Semaphore>,
    /// How much there is in all.
    total_kib: Rc<Cell<usize>>,
}

/// BodyPermit that a body has, until it is dropped.
#[derive(Debug)]
pub struct BodyPermit {
    _permit: OwnedSemaphorePermit,
}

impl BodyBudget {
    /// BodyPermit for so many KiB.
    pub fn new(kib: usize) -> Self {
        BodyBudget { available_kib: Arc::new(Semaphore::new(kib)), total_kib: Rc::new(Cell::new(kib)) }
    }

    /// From now on there is room for so many KiB; what is taken stays taken until it is given back.
    pub fn resize(&self, kib: usize) {
        let before = self.total_kib.replace(kib);
        if kib >= before {
            self.available_kib.add_permits(kib - before);
        } else {
            let less = before - kib;
            let gone = self.available_kib.forget_permits(less);
            // What is taken now cannot be taken away: the rest counts as there until the next change.
            self.total_kib.set(kib + (less - gone));
        }
    }

    /// Waits for room for a body of so many bytes, or for a stream's window where it is longer or not known. A small body
    /// has its room with its connection.
    pub async fn take(&self, length: Option<u64>) -> Option<BodyPermit> {
        self.acquire_buffered(length, MAX_BUFFERED_BYTES).await
    }

    /// As [`BodyBudget::take`], where a body is held whole up to so many bytes.
    pub async fn acquire_buffered(&self, length: Option<u64>, held: usize) -> Option<BodyPermit> {
        let kib = match length {
            Some(length) if length <= SMALL as u64 => return None,
            Some(length) if length <= held as u64 => length as usize / 1024 + 1,
            Some(_) => STREAM_KIB,
            None => STREAM_KIB.max(held / 1024),
        };
        // More than there is in all could never be had.
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

/// Why a body has ended before it was whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// Its sender has left, or broke the rules of HTTP.
    Left,
    /// It did not get on for so long that it was given up.
    Stalled,
    /// It is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// Part of it has gone to a server already and is held no more.
    Spent,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::Left => "the body is not whole",
            BodyError::Stalled => "the body does not get on",
            BodyError::TooLong => "the body is too long",
            BodyError::Spent => "the body is held no more",
        })
    }
}

impl std::error::Error for BodyError {}

/// The start of a body, put together from its pieces. One that came in one piece, as most do, is not copied.
#[derive(Debug, Default)]
pub struct BodyPrefix {
    first: Bytes,
    all: BytesMut,
}

impl BodyPrefix {
    /// The next piece.
    pub fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() {
            self.first = piece;
            return;
        }
        if self.all.is_empty() {
            self.all.extend_from_slice(&self.first);
        }
        self.all.extend_from_slice(&piece);
    }

    /// It is longer than so many bytes.
    pub fn is_longer_than(&self, most: usize) -> bool {
        self.first.len().max(self.all.len()) > most
    }

    /// All that was pushed.
    pub fn finish(self) -> Bytes {
        if self.all.is_empty() {
            self.first
        } else {
            self.all.freeze()
        }
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// It begins with these bytes; the rest comes.
    Stream {
        /// What has come so far.
        held: Bytes,
        /// How many bytes it has in all, where that is told.
        length: Option<u64>,
        /// What is still to come.
        rest: BodyReceiver,
        /// Its room.
        room: Option<BodyPermit>,
    },
}

impl Body {
    /// A body that is all there, and has room.
    pub fn held(bytes: Bytes, room: Option<BodyPermit>) -> Self {
        if room.is_none() {
            return Body::Whole(bytes);
        }
        let (feed, rest) = body_channel();
        feed.finish();
        Body::Stream { length: Some(bytes.len() as u64), held: bytes, rest, room }
    }

    /// All of the body, if it is there.
    pub fn whole(&self) -> Option<&Bytes> {
        match self {
            Body::Whole(bytes) => Some(bytes),
            Body::Stream { .. } => None,
        }
    }

    /// Waits for all of the body.
    ///
    /// # Errors
    /// When it breaks off, or is longer than `most` bytes.
    pub async fn collect(self, most: usize) -> Result<Bytes, BodyError> {
        match self {
            Body::Whole(bytes) if bytes.len() > most => Err(BodyError::TooLong),
            Body::Whole(bytes) => Ok(bytes),
            Body::Stream { held, mut rest, .. } => {
                let mut all = BytesMut::from(&held[..]);
                while let Some(piece) = rest.recv().await {
                    all.extend_from_slice(&piece?);
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
            Body::Stream { rest, .. } => rest.poll_recv(cx).map(|piece| piece.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            // Asked before the first piece is taken.
            Body::Stream { length: Some(length), .. } => SizeHint::with_exact(*length),
            Body::Stream { held, .. } => {
                let mut hint = SizeHint::new();
                hint.set_lower(held.len() as u64);
                hint
            }
        }
    }
}

/// The body of a request, for as many attempts as it can be sent in.
#[derive(Debug)]
pub enum Upload {
    /// Held whole: it can be sent again.
    Whole(Bytes),
    /// Its start is held until an attempt asks for the rest; after that it cannot be sent again.
    Stream {
        /// The start.
        held: Bytes,
        /// How many bytes it has in all, where that is told.
        length: Option<u64>,
        /// The rest, until an attempt takes it.
        rest: Mutex<Option<BodyReceiver>>,
    },
}

impl Upload {
    /// A body whose start is held and whose rest is coming.
    pub fn stream(held: Bytes, length: Option<u64>, rest: BodyReceiver) -> Self {
        Upload::Stream { held, length, rest: Mutex::new(Some(rest)) }
    }

    /// Whether the body is still coming.
    pub fn is_stream(&self) -> bool {
        matches!(self, Upload::Stream { .. })
    }

    fn take_rest(&self) -> Option<BodyReceiver> {
        match self {
            Upload::Whole(_) => None,
            // The one change made under the lock is whole.
            Upload::Stream { rest, .. } => rest.lock().unwrap_or_else(PoisonError::into_inner).take(),
        }
    }
}

impl From<Bytes> for Upload {
    fn from(bytes: Bytes) -> Self {
        Upload::Whole(bytes)
    }
}

/// How far the body of an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More than is held has been asked for: no other attempt can send this body.
    Spent,
    /// Its last byte is about to be written: from now on the request may run.
    Sent,
}

/// What an attempt knows of its body.
#[derive(Debug, Default)]
pub struct SendState {
    /// The last byte has been handed over.
    pub sent: Cell<bool>,
    /// The rest could not be had from the client.
    pub failed: Cell<bool>,
}

/// One attempt's sending of an [`Upload`].
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
    /// Sends the body that `upload` finds in the request; `tell` hears how far a stream has come.
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

    /// A piece goes out; with the last one the body is sent.
    fn emit(&mut self, piece: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(piece.len() as u64);
            if *left == 0 {
                self.sent();
            }
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
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
            Some(Ok(piece)) => this.emit(piece),
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
