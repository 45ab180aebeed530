//! Connections to servers: opening them, keeping idle ones, and the limit on open ones.

use super::{Connections, Forward};
use crate::body::UploadBody;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use oatbank_limiter_core::interface::{Millis, ServerId};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Buffer size of a server connection, bytes; bounds the response head.
const BUFFER_BYTES: usize = 16 * 1024;
/// Share of the servers' idle timeout after which an idle connection is closed here: well before the server closes it,
/// as a request sent while the server closes is lost.
const IDLE_SHARE: f64 = 0.6;

/// Idle connections of a server that takes no new requests are kept this long, ms, in case it returns: a member whose
/// session flaps is the same process, and a restarted process has closed them.
const PARKED_IDLE_TIMEOUT: Millis = 1000.0;

/// A stream that records whether any byte of the current request was written. From the first byte on the request may
/// have run, as small messages are sent in one piece.
///
/// Before the first byte it checks that no unread data is left: stray bytes, such as a duplicate response, would be taken
/// for the response to this request. Bytes that arrived before the previous response was complete are in the parser,
/// which closes the connection for them. Later bytes are in the socket, and the runtime may not have polled them yet, so
/// the socket itself is peeked.
pub(super) struct WriteTracker {
    pub(super) stream: TcpStream,
    pub(super) wrote: Rc<Cell<bool>>,
}

impl AsyncRead for WriteTracker {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTracker {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.check()?;
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(&done);
        done
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(&done);
        done
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl WriteTracker {
    fn check(&self) -> io::Result<()> {
        if self.wrote.get() {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(e) => Err(e),
            Ok(_) => {
                Err(io::Error::new(io::ErrorKind::InvalidData, "closed, or bytes that no request asked for"))
            }
        }
    }

    fn note(&self, done: &Poll<io::Result<usize>>) {
        if matches!(done, Poll::Ready(Ok(n)) if *n > 0) {
            self.wrote.set(true);
        }
    }
}

/// A connection to a server. Dropping it closes it at once, even with a request in flight.
pub(super) struct Connection {
    pub(super) sender: SendRequest<UploadBody<Forward>>,
    /// Whether any byte of the current request was written.
    pub(super) wrote: Rc<Cell<bool>>,
    task: AbortHandle,
    address: SocketAddr,
    idle_since: Millis,
    /// Longest idle time after which it is used again, ms.
    keeps: Millis,
    /// Counts the connection as open until it is dropped.
    _slot: Slot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One of the limited number of open connections; dropping it frees the slot.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Pool of idle connections, and the limit on open ones.
pub(super) struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<Connection>>>,
    /// Servers with idle connections that take no new requests, with the time since when.
    parked: RefCell<HashMap<ServerId, Millis>>,
    open: Rc<Cell<usize>>,
    /// Largest number of open connections.
    pub(super) most: Cell<usize>,
    longest_idle: Millis,
    connect_timeout: Duration,
    unconfirmed: Option<Duration>,
}

impl Pool {
    /// Creates an empty pool that opens at most `connections.most` connections.
    pub(super) fn new(connections: Connections, unconfirmed: Option<Duration>) -> Self {
        Pool {
            idle: RefCell::default(),
            parked: RefCell::default(),
            open: Rc::default(),
            most: Cell::new(connections.most),
            longest_idle: connections.idle * IDLE_SHARE,
            connect_timeout: Duration::from_secs_f64(connections.connect_timeout / 1000.0),
            unconfirmed,
        }
    }

    /// Takes the most recently used idle connection that is still open and not idle for too long.
    pub(super) fn take(&self, server: ServerId, address: SocketAddr, now: Millis) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(&server)?;
        while let Some(c) = waiting.pop() {
            if c.address == address && !c.sender.is_closed() && now - c.idle_since < c.keeps {
                return Some(c);
            }
        }
        None
    }

    /// Returns an open connection to the pool. `keeps` is the server's idle timeout, ms, if it stated one.
    pub(super) fn put(
        &self,
        server: ServerId,
        mut connection: Connection,
        keeps: Option<Millis>,
        now: Millis,
    ) {
        if !connection.sender.is_closed() {
            connection.idle_since = now;
            connection.keeps = keeps.map_or(self.longest_idle, |k| (k * IDLE_SHARE).min(self.longest_idle));
            self.idle.borrow_mut().entry(server).or_default().push(connection);
        }
    }

    /// Drops connections that are over the limit, idle for too long, closed by the server, or parked for
    /// [`PARKED_IDLE_TIMEOUT`].
    pub(super) fn sweep(&self, now: Millis) {
        while self.open.get() > self.most.get() && self.retire() {}
        let mut parked = self.parked.borrow_mut();
        self.idle.borrow_mut().retain(|server, waiting| {
            if parked.get(server).is_some_and(|since| now - since >= PARKED_IDLE_TIMEOUT) {
                return false;
            }
            waiting.retain(|c| !c.sender.is_closed() && now - c.idle_since < c.keeps);
            !waiting.is_empty()
        });
        let idle = self.idle.borrow();
        parked.retain(|server, _| idle.contains_key(server));
    }

    /// Records which servers take no new requests. Their idle connections are dropped after [`PARKED_IDLE_TIMEOUT`] unless the
    /// server returns; until then no request uses them, as none is sent to such a server.
    pub(super) fn keep_only(&self, ready: &dyn Fn(ServerId) -> bool, now: Millis) {
        let mut parked = self.parked.borrow_mut();
        for server in self.idle.borrow().keys() {
            if ready(*server) {
                parked.remove(server);
            } else {
                parked.entry(*server).or_insert(now);
            }
        }
    }

    /// Closes the connection that has been idle for the longest; returns whether there was one.
    fn retire(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.values_mut().filter(|w| !w.is_empty());
        let oldest = waiting.min_by(|a, b| a[0].idle_since.total_cmp(&b[0].idle_since));
        oldest.map(|waiting| drop(waiting.remove(0))).is_some()
    }

    /// Reserves a slot for a connection. At the limit the longest idle connection is closed; `None` if none is idle.
    fn slot(&self) -> Option<Slot> {
        if self.open.get() >= self.most.get() && !self.retire() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(self.open.clone()))
    }

    pub(super) async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let slot = self.slot()?;
        let up = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let stream = up.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        if self.unconfirmed.is_some() {
            SockRef::from(&stream).set_tcp_user_timeout(self.unconfirmed).ok()?;
        }
        let wrote = Rc::new(Cell::new(false));
        let io = TokioIo::new(WriteTracker { stream, wrote: wrote.clone() });
        let (sender, connection) =
            http1::Builder::new().max_buf_size(BUFFER_BYTES).handshake(io).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // The attempt in flight on the connection reports its error.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        Some(Connection { sender, wrote, task, address, idle_since: 0.0, keeps: 0.0, _slot: slot })
    }
}
