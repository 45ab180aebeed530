//! The HTTP front: accepts client connections, reads requests and writes one answer to each.
//!
//! Requests are handled by an [`HttpHandler`]. The front rejects ambiguous requests, closes slow or silent connections
//! so that they block no others, and ends a connection whose answer breaks off.

pub mod connection_ends;
mod heads;
mod pipelined;
mod receive;
mod recent_bytes;
pub mod request_progress;

use crate::body::{Body, BodyBudget, BodyError, BodyPermit, Upload, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::classify::{self, Rejection};
use crate::respond;
use bytes::Bytes;
use connection_ends::ConnectionEnds;
use http::request::Parts;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::TokioIo;
use oatbank_limiter_core::interface::Millis;
use oatbank_operations::budget::Budget;
use recent_bytes::RecentBytes;
use request_progress::RequestProgress;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Pause after a failed accept: without free file descriptors it would fail again at once and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A streamed answer without write progress for this long is abandoned, ms. A stalled server would have been detected
/// before, so it is the client that does not read.
const STREAM_STALL: Millis = 15_000.0;
/// How long a request waits for a body permit.
const BODY_PERMIT_TIMEOUT: Duration = Duration::from_millis(1000);
const CONNECT_UNSUPPORTED: Rejection = Rejection { status: StatusCode::NOT_IMPLEMENTED, why: "no tunnels\n" };
const NO_BODY_MEMORY: Rejection =
    Rejection { status: StatusCode::SERVICE_UNAVAILABLE, why: "too many long bodies at once\n" };
/// Interval between checks for stalled connections.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit of a connection's first head starts with its first byte, at most this long after the accept, ms.
const MAX_HEAD_START_DELAY: Millis = 300.0;
/// Factor by which the silence of a connection that never sent anything counts more in the eviction score.
const SILENT_PEER_WEIGHT: f64 = 10.0;
/// A new connection is not evicted before this time, ms, unless there is no other candidate.
const FIRST_BYTE_GRACE: Millis = 100.0;

/// Smallest buffer that the parser accepts, bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Limits for clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrontLimits {
    /// Time limit, ms, for a head from its start or from the accept, for a connection that sends nothing, and for a
    /// short answer that the client does not read. Clients may take 2 s for a head, and a bad client has to be closed
    /// within 3 s; the difference covers the interval of the check.
    pub head_timeout: Millis,
    /// Idle time between requests after which a connection is closed, ms: some clients send one request and never
    /// close.
    pub idle_timeout: Millis,
    /// Buffer of a connection and limit for the length of a head, bytes; at least 8 KiB are used.
    pub max_head_bytes: usize,
    /// Largest accepted body, bytes.
    pub max_body_bytes: u64,
    /// Largest body that is buffered completely, bytes, so that it can be sent again.
    pub max_buffered_bytes: usize,
    /// A client that sends nothing of an awaited body for this long is closed; bounded, like the head's time limit, by
    /// the 3 s within which a bad client has to be closed.
    pub body_read_timeout: Duration,
}

impl Default for FrontLimits {
    fn default() -> Self {
        FrontLimits {
            head_timeout: 2500.0,
            idle_timeout: 10_000.0,
            max_head_bytes: 16 * 1024,
            max_body_bytes: MAX_BODY_BYTES,
            max_buffered_bytes: MAX_BUFFERED_BYTES,
            body_read_timeout: Duration::from_millis(2000),
        }
    }
}

/// Decision made from a request's head alone.
#[derive(Debug)]
pub enum HeadDecision<T> {
    /// Answer immediately; the request's body is not kept.
    Respond(Response<Body>),
    /// Read the body and continue with this ticket.
    Accept(T),
}

/// Handles the requests of a front.
///
/// A [`Rejection`] returned by either step is sent as the answer, and the connection is closed: the bytes after an
/// unusable request cannot be interpreted.
pub trait HttpHandler: 'static {
    /// State of a request from its head until its body is available.
    type Ticket;

    /// Current time of the engine's clock, ms.
    fn now(&self) -> Millis;

    /// Header whose value identifies a request's head among the bytes received on its connection. It may occur only
    /// once in a request with a transfer coding.
    fn request_id_header(&self) -> HeaderName;

    /// Whether several requests of a connection may be open at once; answers keep the order of the requests.
    fn supports_pipelining(&self) -> bool {
        false
    }

    /// Whether a request without a body may start before the requests ahead of it on its connection are answered. An
    /// answer that ends the connection makes later requests count as unread, so at-most-once requests may not.
    fn may_pipeline(&self, head: &Parts) -> bool {
        matches!(head.method, Method::GET | Method::HEAD)
    }

    /// Decides on a request's head before its body is read. An absolute-form URI is unchanged, with its host in `Host`.
    ///
    /// # Errors
    /// The answer to a rejected request.
    fn check_head(&self, head: &Parts) -> Result<HeadDecision<Self::Ticket>, Rejection>;

    /// Answers a request whose body is complete or has begun to arrive; the URI is path and query. The future is dropped
    /// if the client disconnects. `progress` is told how far the request has come.
    ///
    /// # Errors
    /// The answer to a rejected request.
    fn serve(
        &self,
        ticket: Self::Ticket,
        head: Parts,
        body: Upload,
        permit: Option<BodyPermit>,
        progress: RequestProgress,
    ) -> impl Future<Output = Result<Response<Body>, Rejection>>;
}

/// State of a client connection.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
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

/// Bookkeeping of a client connection.
struct Peer {
    limits: FrontLimits,
    phase: Cell<Phase>,
    phase_since: Cell<Millis>,
    /// When the connection was accepted.
    accepted_at: Millis,
    /// Bytes of the next request arrived while one was open.
    next_request_started: Cell<bool>,
    close_requested: Notify,
    /// A graceful close was requested, and nothing has been received since.
    asked_to_close: Cell<bool>,
    /// The connection is to be dropped whatever it has sent.
    aborted: Cell<bool>,
    /// A request body is arriving.
    uploading: Cell<bool>,
    /// A streamed answer is being written.
    streaming: Cell<bool>,
    /// The answer broke off, and the client could mistake the end of the connection for the end of the answer.
    response_cut: Cell<bool>,
    /// Time of the last received bytes, or of the accept.
    last_read_at: Cell<Millis>,
    /// Whether anything was received.
    has_sent: Cell<bool>,
    /// Bytes received last.
    recent_bytes: RefCell<RecentBytes>,
}

impl Peer {
    fn enter(&self, phase: Phase, now: Millis) {
        self.phase.set(phase);
        self.phase_since.set(now);
    }

    /// Records received bytes.
    fn on_read(&self, now: Millis, bytes: &[u8]) {
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
    fn on_upload_end(&self, now: Millis) {
        self.uploading.set(false);
        match self.phase.get() {
            Phase::Uploading | Phase::Passing => self.enter(Phase::Busy, now),
            Phase::Draining => self.enter(Phase::Idle, now),
            _ => {}
        }
    }

    /// Records write progress of an answer.
    fn on_write(&self, now: Millis) {
        if self.phase.get() == Phase::Writing {
            self.phase_since.set(now);
        }
    }

    /// Records that everything was written to the socket.
    fn on_flush(&self, now: Millis) {
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

    fn time_limit(&self) -> Millis {
        match self.phase.get() {
            Phase::Writing if self.streaming.get() => STREAM_STALL,
            Phase::Reading | Phase::Writing => self.limits.head_timeout,
            // The engine answers every request within its deadline.
            Phase::Busy | Phase::Uploading | Phase::Passing | Phase::Draining => f64::INFINITY,
            Phase::Idle => self.limits.idle_timeout,
        }
    }

    /// Requests a graceful close between two requests.
    fn request_close(&self) {
        self.asked_to_close.set(true);
        self.close_requested.notify_one();
    }

    fn abort(&self) {
        self.aborted.set(true);
        self.close_requested.notify_one();
    }

    /// Score for eviction in favour of a new connection, from the time of silence; `None` if it must not be evicted. A
    /// slow but progressing connection scores low, one that stopped half way or stays idle scores high, and one that
    /// never sent anything scores highest. A new connection is evicted only if there is no other candidate.
    fn eviction_score(&self, now: Millis) -> Option<f64> {
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

/// A client's stream that records reads and writes in its [`Peer`].
struct MonitoredStream<D> {
    /// Shared, to check for unread bytes from outside.
    stream: Rc<TcpStream>,
    peer: Rc<Peer>,
    handler: Rc<D>,
}

impl<D: HttpHandler> AsyncRead for MonitoredStream<D> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {
                    self.peer.on_read(self.handler.now(), &buf.filled()[before..]);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl<D: HttpHandler> AsyncWrite for MonitoredStream<D> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket has no user-space buffer to flush.
        self.peer.on_flush(self.handler.now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

impl<D: HttpHandler> MonitoredStream<D> {
    fn write(
        &self,
        cx: &mut Context<'_>,
        how: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match how(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    self.peer.on_write(self.handler.now());
                    return Poll::Ready(done);
                }
            }
        }
    }
}

/// Whether the socket has unread bytes, also if the runtime has not been notified of them yet.
fn unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|n| n > 0)
}

/// Accepts and serves all client connections.
pub struct Front<D> {
    handler: Rc<D>,
    limits: FrontLimits,
    peers: RefCell<HashMap<u64, Rc<Peer>>>,
    max_connections: Cell<usize>,
    /// Memory budget for request bodies.
    body_budget: BodyBudget,
    next: Cell<u64>,
    stopping: Cell<bool>,
    /// Whether new connections are accepted.
    accepting: Cell<bool>,
    /// Notified when `accepting` changes.
    accepting_changed: Notify,
    /// No connection can be evicted while another waits to be accepted.
    saturated: Cell<bool>,
    connection_closed: Notify,
    connection_ends: ConnectionEnds,
}

impl<D: HttpHandler> Front<D> {
    /// Creates a front that stays within its parts of the budget.
    pub fn new(handler: D, budget: Budget, limits: FrontLimits) -> Rc<Self> {
        Rc::new(Front {
            handler: Rc::new(handler),
            limits,
            peers: RefCell::default(),
            max_connections: Cell::new(budget.clients),
            body_budget: BodyBudget::new(budget.uploads_kib),
            next: Cell::new(0),
            stopping: Cell::new(false),
            accepting: Cell::new(true),
            accepting_changed: Notify::new(),
            saturated: Cell::new(false),
            connection_closed: Notify::new(),
            connection_ends: ConnectionEnds::default(),
        })
    }

    /// Accepts connections until it is cancelled.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            if !self.accepting.get() {
                self.accepting_changed.notified().await;
                continue;
            }
            while self.peers.borrow().len() >= self.max_connections.get() {
                self.saturated.set(!self.evict_one());
                // A connection asked to close may have received a request; then another one is chosen.
                let _ = tokio::time::timeout(ACCEPT_PAUSE, self.connection_closed.notified()).await;
            }
            self.saturated.set(false);
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // No connection has been accepted in this case.
                () = self.accepting_changed.notified() => continue,
            };
            match accepted {
                Ok((stream, _)) => {
                    self.next.set(self.next.get() + 1);
                    tokio::task::spawn_local(self.clone().serve(stream, self.next.get()));
                }
                Err(e) => {
                    tracing::warn!(reason = %e, "accept: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Evicts one connection. Returns false if none can be evicted, so that the new connection has to wait.
    fn evict_one(&self) -> bool {
        let (peers, now) = (self.peers.borrow(), self.handler.now());
        let candidates =
            peers.values().filter(|p| !p.aborted.get()).filter_map(|p| Some((p.eviction_score(now)?, p)));
        match candidates.max_by(|(a, _), (b, _)| a.total_cmp(b)) {
            // An idle connection is closed gracefully, so that a request that has just arrived is not lost.
            Some((_, peer)) if peer.phase.get() == Phase::Idle => peer.request_close(),
            Some((_, peer)) => peer.abort(),
            None => return false,
        }
        true
    }

    /// Closes connections that make no progress, for the life of the process.
    pub async fn close_stalled_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
            let now = self.handler.now();
            for peer in self.peers.borrow().values().filter(|p| now - p.phase_since.get() > p.time_limit()) {
                match peer.phase.get() {
                    Phase::Idle => peer.request_close(),
                    _ => peer.abort(),
                }
            }
        }
    }

    /// Sets whether new connections are accepted. While they are not, another process accepts them, and each answer ends
    /// its connection so that clients move to that process.
    pub fn set_accepting(&self, taking: bool) {
        self.accepting.set(taking);
        self.stopping.set(!taking);
        self.accepting_changed.notify_one();
    }

    /// Applies a new budget. Connections above it are evicted, idlest first.
    pub fn apply_budget(&self, budget: Budget) {
        self.max_connections.set(budget.clients);
        self.body_budget.resize(budget.uploads_kib);
        for _ in self.max_connections.get()..self.peers.borrow().len() {
            self.evict_one();
        }
    }

    /// Makes each answer end its connection, so that clients reconnect elsewhere.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Closes connections as soon as they have no open request.
    pub fn close_idle(&self) {
        self.peers.borrow().values().for_each(|peer| peer.request_close());
    }

    /// Handler of the requests.
    pub fn handler(&self) -> &Rc<D> {
        &self.handler
    }

    /// Counts of how pipelined connections ended.
    pub fn ends(&self) -> &ConnectionEnds {
        &self.connection_ends
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.peers.borrow().len()
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, number: u64) {
        // Answers are small writes that should not be delayed.
        let _ = stream.set_nodelay(true);
        let buffer = self.limits.max_head_bytes.max(MIN_BUFFER_BYTES);
        let peer = Rc::new(Peer {
            limits: self.limits,
            phase: Cell::new(Phase::Reading),
            phase_since: Cell::new(self.handler.now()),
            accepted_at: self.handler.now(),
            next_request_started: Cell::new(false),
            close_requested: Notify::new(),
            asked_to_close: Cell::new(false),
            uploading: Cell::new(false),
            streaming: Cell::new(false),
            response_cut: Cell::new(false),
            last_read_at: Cell::new(self.handler.now()),
            has_sent: Cell::new(false),
            recent_bytes: RefCell::new(RecentBytes::new(buffer)),
            aborted: Cell::new(false),
        });
        let _listed = ConnectionEntry::new(self.clone(), number, peer.clone());
        let service = service_fn(|request| {
            let (front, peer) = (self.clone(), peer.clone());
            async move {
                let closes = request.version() == Version::HTTP_10;
                let answer = front.answer(request, &peer).await;
                peer.enter(Phase::Writing, front.handler.now());
                Ok::<_, Infallible>(answer.map(|body| ResponseBody::new(body, closes, peer)))
            }
        });
        let stream = Rc::new(stream);
        if self.handler.supports_pipelining() {
            return pipelined::serve(self.clone(), stream, peer).await;
        }
        let watched =
            MonitoredStream { stream: stream.clone(), peer: peer.clone(), handler: self.handler.clone() };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(buffer);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(watched), service));
        loop {
            tokio::select! {
                _ = connection.as_mut() => {
                    if peer.response_cut.get() {
                        // Resets the connection, or the answer would look complete.
                        let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                    }
                    return;
                }
                () = peer.close_requested.notified() => {
                    if peer.aborted.get() {
                        return;
                    }
                    // A request that has begun to arrive is read and answered first.
                    let begun = peer.phase.get() == Phase::Reading && peer.has_sent.get();
                    if !(begun || unread(&stream)) {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>, peer: &Rc<Peer>) -> Response<Body> {
        let mut response = match self.handle(request, peer).await {
            Ok(response) => response,
            // The bytes after an unusable request cannot be interpreted.
            Err(bad) => {
                tracing::debug!(status = bad.status.as_u16(), "rejected: {}", bad.why.trim_end());
                closing(respond::rejected(bad))
            }
        };
        // If no connection can be evicted, keeping this one open would lock out waiting clients.
        if self.stopping.get() || self.saturated.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers one request. The error is the answer to a request that is rejected before it is handled.
    async fn handle(&self, request: Request<Incoming>, peer: &Rc<Peer>) -> Result<Response<Body>, Rejection> {
        let (mut head, body) = request.into_parts();
        check_framing(&head.headers, &*self.handler, peer)?;
        let ticket = match self.decide_head(&mut head)? {
            HeadDecision::Respond(answer) => {
                peer.enter(Phase::Busy, self.handler.now());
                return Ok(answer);
            }
            HeadDecision::Accept(ticket) => ticket,
        };
        if head.method == Method::CONNECT {
            return Err(CONNECT_UNSUPPORTED);
        }
        let (body, permit) = self.receive(body, peer).await?;
        peer.enter(if body.is_stream() { Phase::Passing } else { Phase::Busy }, self.handler.now());
        self.handler.serve(ticket, head, body, permit, RequestProgress::default()).await
    }

    /// Decides on a head before its body is read, so that nothing is buffered for rejected requests.
    fn decide_head(&self, head: &mut Parts) -> Result<HeadDecision<D::Ticket>, Rejection> {
        // The host of an absolute-form URI overrides `Host` (RFC 9112, 3.2.2).
        if let (Some(_), Some(host)) = (head.uri.scheme(), host_of(&head.uri)) {
            head.headers.insert(HOST, host);
        }
        let judged = self.handler.check_head(head)?;
        // Requests are forwarded in origin form.
        if let (Some(_), Some(path)) = (head.uri.scheme(), head.uri.path_and_query()) {
            head.uri = path.clone().into();
        }
        Ok(judged)
    }

    async fn receive(
        &self,
        body: Incoming,
        peer: &Rc<Peer>,
    ) -> Result<(Upload, Option<BodyPermit>), Rejection> {
        peer.enter(Phase::Uploading, self.handler.now());
        peer.uploading.set(true);
        let length = if body.is_end_stream() { Some(0) } else { body.size_hint().exact() };
        let permit = tokio::time::timeout(
            BODY_PERMIT_TIMEOUT,
            self.body_budget.acquire_buffered(length, self.limits.max_buffered_bytes),
        )
        .await;
        let permit = permit.map_err(|_| {
            peer.uploading.set(false);
            NO_BODY_MEMORY
        })?;
        let (handler, uploading) = (self.handler.clone(), peer.clone());
        let upload =
            receive::receive(body, self.limits, move || uploading.on_upload_end(handler.now())).await;
        // A rejected body is answered and its connection is closed.
        upload.map(|upload| (upload, permit)).inspect_err(|_| peer.uploading.set(false))
    }
}

/// Body of an answer that is being written to a client.
struct ResponseBody {
    body: Body,
    /// Whether its end may be marked by the end of the connection.
    closes: bool,
    peer: Rc<Peer>,
}

impl ResponseBody {
    fn new(body: Body, closes: bool, peer: Rc<Peer>) -> Self {
        peer.streaming.set(matches!(body, Body::Stream { .. }));
        ResponseBody { body, closes, peer }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.peer.streaming.set(false);
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if self.closes && matches!(frame, Some(Err(_))) {
            self.peer.response_cut.set(true);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Entry of a connection in the list of peers; removed on drop.
struct ConnectionEntry<D> {
    front: Rc<Front<D>>,
    number: u64,
}

impl<D> ConnectionEntry<D> {
    fn new(front: Rc<Front<D>>, number: u64, peer: Rc<Peer>) -> Self {
        front.peers.borrow_mut().insert(number, peer);
        ConnectionEntry { front, number }
    }
}

impl<D> Drop for ConnectionEntry<D> {
    fn drop(&mut self) {
        self.front.peers.borrow_mut().remove(&self.number);
        self.front.connection_closed.notify_one();
    }
}

/// Rejects ambiguous framing, which may hide a second request (request smuggling): a length together with a transfer
/// coding, or a coding other than `chunked`.
fn check_framing<D: HttpHandler>(headers: &HeaderMap, handler: &D, peer: &Peer) -> Result<(), Rejection> {
    if headers.contains_key(TRANSFER_ENCODING) {
        let coding = classify::single(headers, &TRANSFER_ENCODING)?.unwrap_or_default();
        if !coding.trim().eq_ignore_ascii_case("chunked") {
            return Err(Rejection {
                status: StatusCode::NOT_IMPLEMENTED,
                why: "no other coding than chunked\n",
            });
        }
        // The parser hides a length that follows the coding, so the received bytes are searched. The request's id
        // locates its head.
        let id = classify::single(headers, &handler.request_id_header())?.unwrap_or_default();
        if headers.contains_key(CONTENT_LENGTH) || !peer.recent_bytes.borrow().has_no_length(id.as_bytes()) {
            return Err(Rejection::bad("Content-Length beside Transfer-Encoding\n"));
        }
    }
    classify::single(headers, &HOST).map(|_| ())
}

/// The host of a URI, in the form of the `Host` header.
fn host_of(uri: &Uri) -> Option<HeaderValue> {
    let authority = uri.authority()?.as_str();
    // User information is not part of the host.
    HeaderValue::try_from(authority.rsplit('@').next()?).ok()
}

fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
