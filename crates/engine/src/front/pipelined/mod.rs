//! Pipelined connections, for handlers that support them: requests are read and started while earlier ones run, and
//! answers are written in the order of the requests.
//!
//! Only repeatable requests start before all earlier ones are answered: an answer that ends the connection makes all
//! later requests count as unread.
//!
//! Invariants:
//! - A connection that this process decides to close has no started request without an answer. Once there is a reason
//!   to close it, no further request is started, and the last answer announces the close.
//! - Whether a connection is closed is decided by its own task, by what it has received by then. Others only request it.
//! - Bytes that arrive on an idle connection while it is being closed are not read: the client may send them again.
//! - A truncated answer does not look complete, and takes nothing from the answers before it. Its framing shows that it
//!   is incomplete, so the connection ends in order once all that was written has been sent. Only an answer that the
//!   end of the connection would mark as complete ends with a reset, which discards what the client has not received.
//! - A client's close is noticed in every state, because reading goes on while the connection waits. The requests
//!   started for the client are then dropped.

mod read;
mod write;

use super::connection_ends::{ConnectionEnd, EndReport};
use super::heads::Framing;
use super::peer::EndRequest;
use super::request_progress::OpenRequests;
use super::{unread, Front, HttpHandler, Peer, Phase};
use crate::body::Body;
use bytes::BytesMut;
use http::Response;
use read::ReadEnd;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use write::WriteEnd;

/// Most open requests per connection.
const MAX_PIPELINED: usize = 8;
/// Bytes per read.
const READ_SIZE: usize = 16 * 1024;
/// While the connection waits, it reads ahead up to this many bytes to notice the client's close. Together with one
/// more read this stays within the connection's memory budget.
const READ_AHEAD: usize = 8 * 1024;
/// Interval at which the socket is polled for a close once the read-ahead is full.
const CLOSED_POLL: Duration = Duration::from_millis(50);
/// How long to wait for the client's close after the last answer: closing with unread bytes would reset the connection
/// and lose the answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// A started request in the order of answers.
struct PendingAnswer {
    answer: AnswerSource,
    /// Whether only the head of the answer is sent (`HEAD`).
    head_only: bool,
    /// Whether the request used HTTP/1.0.
    is_http10: bool,
    /// Whether it is the last request of its connection.
    last: bool,
}

enum AnswerSource {
    Ready(Box<Response<Body>>),
    Pending(AnswerTask),
}

/// Task that produces an answer; aborted on drop.
struct AnswerTask(JoinHandle<Response<Body>>);

impl Drop for AnswerTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// State shared by the reading and the writing side of a connection.
struct Connection<D> {
    front: Rc<Front<D>>,
    stream: Rc<TcpStream>,
    peer: Rc<Peer>,
    /// Requests that have been read and are not answered.
    open_requests: OpenRequests,
    /// Notified when a request has been answered.
    answered: Notify,
    /// Whether bytes of a request that is not started yet have arrived.
    next_request_started: Cell<bool>,
    /// Set when no further request is started and the connection ends with the last pending answer.
    closing: Cell<bool>,
    /// Set when the last answer is incomplete, and only a reset shows that.
    must_reset: Cell<bool>,
}

/// Serves a connection to its end.
pub(super) async fn serve<D: HttpHandler>(front: Rc<Front<D>>, stream: Rc<TcpStream>, peer: Rc<Peer>) {
    let connection = Connection {
        front,
        stream,
        peer,
        open_requests: OpenRequests::default(),
        answered: Notify::new(),
        next_request_started: Cell::new(false),
        closing: Cell::new(false),
        must_reset: Cell::new(false),
    };
    let end = connection.run().await;
    connection.front.connection_ends.record(connection.end_report(end));
    match end {
        ConnectionEnd::AnswerCut if connection.must_reset.get() => {
            let _ = SockRef::from(&*connection.stream).set_linger(Some(Duration::ZERO));
        }
        ConnectionEnd::LastAnswer | ConnectionEnd::AnswerCut => connection.close_gracefully().await,
        ConnectionEnd::Idle => connection.close_without_reading().await,
        ConnectionEnd::ClientClosed | ConnectionEnd::WriteFailed | ConnectionEnd::Dropped => {}
    }
}

impl<D: HttpHandler> Connection<D> {
    fn now(&self) -> f64 {
        self.front.handler.now()
    }

    /// What this end of the connection leaves without an answer.
    fn end_report(&self, end: ConnectionEnd) -> EndReport {
        let now = self.now();
        EndReport {
            end,
            requests: self.open_requests.unanswered(now),
            is_next_begun: self.next_request_started.get(),
            silent_for: now - self.peer.last_read_at.get(),
            open_for: now - self.peer.accepted_at,
        }
    }

    /// Reads requests and writes answers until the connection ends. Requests still open are dropped on return.
    async fn run(&self) -> ConnectionEnd {
        let (turns, next) = mpsc::channel(MAX_PIPELINED);
        let mut reading = pin!(self.read(turns));
        let mut writing = pin!(self.write(next));
        let mut reads = true;
        loop {
            tokio::select! {
                end = &mut reading, if reads => match end {
                    ReadEnd::ClientClosed => return ConnectionEnd::ClientClosed,
                    ReadEnd::NothingMore => reads = false,
                },
                end = &mut writing => return match end {
                    WriteEnd::LastAnswer => ConnectionEnd::LastAnswer,
                    WriteEnd::Cut(framing) => {
                        self.must_reset.set(framing == Framing::Close);
                        ConnectionEnd::AnswerCut
                    }
                    WriteEnd::Failed => ConnectionEnd::WriteFailed,
                },
                // The reading side has ended, so the close has to be detected here.
                () = self.client_closed(), if !reads => return ConnectionEnd::ClientClosed,
                () = self.peer.close_requested.notified() => {
                    match self.peer.take_end_request(&self.stream) {
                        EndRequest::Drop => return self.dropped(),
                        EndRequest::CloseIfIdle if self.is_idle() => return ConnectionEnd::Idle,
                        EndRequest::CloseIfIdle | EndRequest::Outdated => {}
                    }
                }
            }
        }
    }

    /// Reason for the end of a dropped connection: during a write, the client does not read.
    fn dropped(&self) -> ConnectionEnd {
        match self.peer.phase.get() {
            Phase::Writing => ConnectionEnd::WriteFailed,
            _ => ConnectionEnd::Dropped,
        }
    }

    /// Whether all started requests are answered and no bytes of a further one have arrived.
    fn is_idle(&self) -> bool {
        self.open_requests.started() == 0 && !self.next_request_started.get() && !unread(&self.stream)
    }

    /// Reads more bytes into the buffer; false at the end of the stream or on an error.
    async fn read_more(&self, buffer: &mut BytesMut) -> bool {
        buffer.reserve(READ_SIZE);
        let before = buffer.len();
        loop {
            if self.stream.readable().await.is_err() {
                return false;
            }
            match self.stream.try_read_buf(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) | Ok(0) => return false,
                Ok(_) => {
                    self.peer.on_read(self.now(), &buffer[before..]);
                    return true;
                }
            }
        }
    }

    /// Waits for a future while reading ahead; `None` if the client closes first.
    async fn while_open<T>(&self, buffer: &mut BytesMut, awaited: impl Future<Output = T>) -> Option<T> {
        let mut awaited = pin!(awaited);
        loop {
            let has_room = buffer.len() < READ_AHEAD;
            tokio::select! {
                biased;
                done = &mut awaited => return Some(done),
                is_open = self.read_more(buffer), if has_room => {
                    self.next_request_started.set(true);
                    if !is_open {
                        return None;
                    }
                }
                () = self.closed_behind_unread(), if !has_room => return None,
            }
        }
    }

    /// Completes when the client has closed, without reading the bytes sent before.
    async fn closed_behind_unread(&self) {
        loop {
            match self.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(CLOSED_POLL).await,
                _ => return,
            }
        }
    }

    /// Completes when the client has closed. Bytes sent before are discarded.
    async fn client_closed(&self) {
        let mut buffer = BytesMut::new();
        while self.read_more(&mut buffer).await {
            self.front.connection_ends.record_discarded_read();
            buffer.clear();
        }
    }

    /// Shuts down the writing side and waits until the client closes or sends a request that crosses the shutdown. Such
    /// a request is left unread, so it certainly was not started; the reset that follows informs the client at once.
    async fn close_without_reading(&self) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        let _ = timeout(CLOSE_TIMEOUT, self.stream.readable()).await;
        if unread(&self.stream) {
            self.front.connection_ends.record_crossing();
        }
    }

    /// Shuts down the writing side and waits for the client's close.
    async fn close_gracefully(&self) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        let _ = timeout(CLOSE_TIMEOUT, self.client_closed()).await;
    }
}
