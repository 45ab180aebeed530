//! A client's connection on which several requests are in hand at once, where its desk allows that: what a client sends
//! behind a request that runs is read and begun, and answers go out in the order in which they were asked for.
//!
//! Only what may run twice is begun before all that stands before it has its answer: an answer that ends the connection
//! makes all behind it count as not read.
//!
//! Invariants:
//! - A connection that ends by a decision of this process has no request that was begun and not answered. Once a reason to
//!   end it has come up, nothing more is begun, and the last answer says that it ends.
//! - What comes on a connection that was idle and is being ended is not read: its client may send it again.
//! - A client that has closed is noticed wherever its connection stands: while something is waited for, it is read on. What
//!   was begun for it is dropped then.

mod read;
mod write;

use super::connection_ends::ConnectionEnd;
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

/// Requests in hand at once on one connection.
const MAX_PIPELINED: usize = 8;
/// What is read at a time.
const READ_SIZE: usize = 16 * 1024;
/// While something is waited for, it is read on until this is there, to see whether the client closes. With what one read
/// brings it stays within a connection's part of the memory.
const READ_AHEAD: usize = 8 * 1024;
/// Where more than that has come, the socket is asked this often.
const CLOSED_POLL: Duration = Duration::from_millis(50);
/// After the last answer the client's end is waited for so long: a close with unread bytes would take the answer back.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// A request's turn to be answered.
struct PendingAnswer {
    answer: AnswerSource,
    /// Only the head of the answer is wanted.
    bare: bool,
    /// It came by HTTP/1.0.
    old: bool,
    /// No request of its connection comes after it.
    last: bool,
}

enum AnswerSource {
    Ready(Box<Response<Body>>),
    Pending(AnswerTask),
}

/// What works on an answer; ends with its connection.
struct AnswerTask(JoinHandle<Response<Body>>);

impl Drop for AnswerTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What the two sides of a connection share.
struct Connection<D> {
    front: Rc<Front<D>>,
    stream: Rc<TcpStream>,
    peer: Rc<Peer>,
    /// Requests that were begun and have no answer yet.
    unanswered: Cell<usize>,
    /// Notified when one of them has its answer.
    answered: Notify,
    /// A request has come, or a part of one, that is not begun yet.
    next_request_started: Cell<bool>,
    /// The connection ends with the last answer to what was begun, and nothing more is begun.
    closing: Cell<bool>,
}

/// Serves a connection to its end.
pub(super) async fn serve<D: HttpHandler>(front: Rc<Front<D>>, stream: Rc<TcpStream>, peer: Rc<Peer>) {
    let connection = Connection {
        front,
        stream,
        peer,
        unanswered: Cell::new(0),
        answered: Notify::new(),
        next_request_started: Cell::new(false),
        closing: Cell::new(false),
    };
    let end = connection.run().await;
    connection.front.connection_ends.record(end, connection.unanswered.get());
    match end {
        ConnectionEnd::LastAnswer => connection.close_gracefully().await,
        ConnectionEnd::Idle => connection.close_without_reading().await,
        ConnectionEnd::AnswerCut => _ = SockRef::from(&*connection.stream).set_linger(Some(Duration::ZERO)),
        ConnectionEnd::ClientClosed | ConnectionEnd::WriteFailed | ConnectionEnd::Dropped => {}
    }
}

impl<D: HttpHandler> Connection<D> {
    fn now(&self) -> f64 {
        self.front.desk.now()
    }

    /// Reads requests and writes answers until the connection is to end. What was begun ends with the return.
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
                    WriteEnd::Cut => ConnectionEnd::AnswerCut,
                    WriteEnd::Failed => ConnectionEnd::WriteFailed,
                },
                // Nobody else reads any more.
                () = self.client_closed(), if !reads => return ConnectionEnd::ClientClosed,
                () = self.peer.close_requested.notified() => {
                    if self.peer.aborted.get() {
                        return self.dropped();
                    }
                    if self.is_idle() {
                        return ConnectionEnd::Idle;
                    }
                }
            }
        }
    }

    /// How it ends when it is dropped: one that is being written to has a client that takes nothing.
    fn dropped(&self) -> ConnectionEnd {
        match self.peer.phase.get() {
            Phase::Writing => ConnectionEnd::WriteFailed,
            _ => ConnectionEnd::Dropped,
        }
    }

    /// Whether nothing was begun that has no answer, and nothing has come that could be begun.
    fn is_idle(&self) -> bool {
        self.unanswered.get() == 0 && !self.next_request_started.get() && !unread(&self.stream)
    }

    /// Reads more; false at the end.
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

    /// Waits for something while it sees to it that the client is still there; none: it has closed.
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

    /// Completes when the client has closed, with what it has sent before left unread.
    async fn closed_behind_unread(&self) {
        loop {
            match self.stream.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(CLOSED_POLL).await,
                _ => return,
            }
        }
    }

    /// Completes when the client has closed. What it sends before is thrown away.
    async fn client_closed(&self) {
        let mut buffer = BytesMut::new();
        while self.read_more(&mut buffer).await {
            buffer.clear();
        }
    }

    /// Says that nothing more comes, and waits until the client has closed, or has sent a request that crosses this. That
    /// is left unread, so that it certainly was not begun; the reset that follows tells its client at once.
    async fn close_without_reading(&self) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        let _ = timeout(CLOSE_TIMEOUT, self.stream.readable()).await;
        if unread(&self.stream) {
            self.front.connection_ends.record_crossing();
        }
    }

    /// Says that nothing more comes, and waits for the client's end.
    async fn close_gracefully(&self) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        let _ = timeout(CLOSE_TIMEOUT, self.client_closed()).await;
    }
}
