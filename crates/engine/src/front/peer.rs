//! Bookkeeping of a client connection: what it is doing, since when, and whether it is to end.

use super::recent_bytes::RecentBytes;
use super::{unread, FrontLimits};
use oatbank_limiter_core::interface::Millis;
use std::cell::{Cell, RefCell};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A streamed answer without write progress for this long is abandoned, ms. A stalled server would have been detected
/// before, so it is the client that does not read.
const STREAM_STALL: Millis = 15_000.0;
/// The time limit of a connection's first head starts with its first byte, at most this long after the accept, ms.
const MAX_HEAD_START_DELAY: Millis = 300.0;
/// Factor by which the silence of a connection that never sent anything counts more in the eviction score.
const SILENT_PEER_WEIGHT: f64 = 10.0;
/// A new connection is not evicted before this time, ms, unless there is no other candidate.
const FIRST_BYTE_GRACE: Millis = 100.0;

/// State of a client connection.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// Waiting for a request or reading its head.
    Reading,
    /// Reading a body of which nothing is forwarded yet. Stalls are detected where it is read.
    Uploading,
    /// Forwarding a body while it arrives.
    Passing,
    /// The answer is written and the rest of the body still arrives.
    Draining,
    /// Processing a complete request.
    Busy,
    /// Writing an answer.
    Writing,
    /// Between two requests.
    Idle,
}

/// What a request to end a connection comes to once the connection's task takes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndRequest {
    /// It is dropped: it has made no progress since the request, and nothing has arrived.
    Drop,
    /// It is closed if it has no open request.
    CloseIfIdle,
    /// It goes on: it has made progress since it was to be dropped.
    Outdated,
}

/// A connection's phase and its last progress within it.
#[derive(Clone, Copy, PartialEq)]
struct Progress {
    phase: Phase,
    since: Millis,
}

/// Bookkeeping of a client connection.
pub(super) struct Peer {
    pub(super) limits: FrontLimits,
    pub(super) phase: Cell<Phase>,
    pub(super) phase_since: Cell<Millis>,
    /// When the connection was accepted.
    pub(super) accepted_at: Millis,
    /// Bytes of the next request arrived while one was open.
    pub(super) next_request_started: Cell<bool>,
    pub(super) close_requested: Notify,
    /// A graceful close was requested, and nothing has been received since.
    pub(super) asked_to_close: Cell<bool>,
    /// Progress at the moment when the connection was found to be droppable; `None` if it was not since.
    drop_requested_at: Cell<Option<Progress>>,
    /// A request body is arriving.
    pub(super) uploading: Cell<bool>,
    /// A streamed answer is being written.
    pub(super) streaming: Cell<bool>,
    /// The answer broke off, and the client could mistake the end of the connection for the end of the answer.
    pub(super) response_cut: Cell<bool>,
    /// Time of the last received bytes, or of the accept.
    pub(super) last_read_at: Cell<Millis>,
    /// Whether anything was received.
    pub(super) has_sent: Cell<bool>,
    /// Bytes received last.
    pub(super) recent_bytes: RefCell<RecentBytes>,
}

impl Peer {
    /// A connection accepted now, whose parser has a buffer of this many bytes.
    pub(super) fn new(limits: FrontLimits, now: Millis, buffer_bytes: usize) -> Self {
        Peer {
            limits,
            phase: Cell::new(Phase::Reading),
            phase_since: Cell::new(now),
            accepted_at: now,
            next_request_started: Cell::new(false),
            close_requested: Notify::new(),
            asked_to_close: Cell::new(false),
            drop_requested_at: Cell::new(None),
            uploading: Cell::new(false),
            streaming: Cell::new(false),
            response_cut: Cell::new(false),
            last_read_at: Cell::new(now),
            has_sent: Cell::new(false),
            recent_bytes: RefCell::new(RecentBytes::new(buffer_bytes)),
        }
    }

    pub(super) fn enter(&self, phase: Phase, now: Millis) {
        self.phase.set(phase);
        self.phase_since.set(now);
    }

    /// Records received bytes.
    pub(super) fn on_read(&self, now: Millis, bytes: &[u8]) {
        self.asked_to_close.set(false);
        // A client may delay its first byte, but a bad client has to be closed within 3 s of its accept.
        if !self.has_sent.replace(true) {
            self.phase_since.set(now.min(self.phase_since.get() + MAX_HEAD_START_DELAY));
        }
        self.last_read_at.set(now);
        self.recent_bytes.borrow_mut().push(bytes);
        match self.phase.get() {
            Phase::Idle => self.enter(Phase::Reading, now),
            Phase::Busy | Phase::Writing => self.next_request_started.set(true),
            Phase::Reading | Phase::Uploading | Phase::Passing | Phase::Draining => {}
        }
    }

    /// Records that the request body is complete or has broken off.
    pub(super) fn on_upload_end(&self, now: Millis) {
        self.uploading.set(false);
        match self.phase.get() {
            Phase::Uploading | Phase::Passing => self.enter(Phase::Busy, now),
            Phase::Draining => self.enter(Phase::Idle, now),
            _ => {}
        }
    }

    /// Records write progress of an answer.
    pub(super) fn on_write(&self, now: Millis) {
        if self.phase.get() == Phase::Writing {
            self.phase_since.set(now);
        }
    }

    /// Records that everything was written to the socket.
    pub(super) fn on_flush(&self, now: Millis) {
        if self.phase.get() != Phase::Writing || self.streaming.get() {
            return;
        }
        if self.uploading.get() {
            self.enter(Phase::Draining, now);
        } else if self.next_request_started.take() {
            self.enter(Phase::Reading, now);
        } else {
            self.recent_bytes.borrow_mut().forget();
            self.enter(Phase::Idle, now);
        }
    }

    pub(super) fn time_limit(&self) -> Millis {
        match self.phase.get() {
            Phase::Writing if self.streaming.get() => STREAM_STALL,
            Phase::Reading | Phase::Writing => self.limits.head_timeout,
            // The engine answers every request within its deadline.
            Phase::Busy | Phase::Uploading | Phase::Passing | Phase::Draining => f64::INFINITY,
            Phase::Idle => self.limits.idle_timeout,
        }
    }

    /// Requests a graceful close between two requests.
    pub(super) fn request_close(&self) {
        self.asked_to_close.set(true);
        self.close_requested.notify_one();
    }

    /// Requests that the connection is dropped for the lack of progress. The connection itself carries it out.
    pub(super) fn request_drop(&self) {
        self.drop_requested_at.set(Some(self.progress()));
        self.close_requested.notify_one();
    }

    /// Whether a drop has been requested and is not carried out yet.
    pub(super) fn is_drop_requested(&self) -> bool {
        self.drop_requested_at.get().is_some()
    }

    /// Takes the request to end the connection, by the state that it is in now.
    pub(super) fn take_end_request(&self, stream: &TcpStream) -> EndRequest {
        match self.drop_requested_at.take() {
            Some(requested) if requested == self.progress() && !self.may_progress(stream) => EndRequest::Drop,
            Some(_) if !self.asked_to_close.get() => EndRequest::Outdated,
            _ => EndRequest::CloseIfIdle,
        }
    }

    /// Whether bytes have arrived that could be the rest of a request.
    fn may_progress(&self, stream: &TcpStream) -> bool {
        self.phase.get() != Phase::Writing && unread(stream)
    }

    fn progress(&self) -> Progress {
        Progress { phase: self.phase.get(), since: self.phase_since.get() }
    }

    /// Score for eviction in favour of a new connection, from the time of silence; `None` if it must not be evicted. A
    /// slow but progressing connection scores low, one that stopped half way or stays idle scores high, and one that
    /// never sent anything scores highest. A new connection is evicted only if there is no other candidate.
    pub(super) fn eviction_score(&self, now: Millis) -> Option<f64> {
        let silent = now - self.last_read_at.get();
        match self.phase.get() {
            _ if self.asked_to_close.get() => None,
            Phase::Busy | Phase::Writing | Phase::Passing => None,
            Phase::Reading | Phase::Uploading if silent <= FIRST_BYTE_GRACE => {
                Some(silent - FIRST_BYTE_GRACE)
            }
            Phase::Reading if self.has_sent.get() => Some(silent),
            Phase::Reading => Some(silent * SILENT_PEER_WEIGHT),
            Phase::Idle | Phase::Draining | Phase::Uploading => Some(silent),
        }
    }
}
