//! Clients: accepts their connections, reads requests and writes each one answer.
//!
//! What comes of a request is its [`HttpHandler`]'s. Here it is seen to that what is read can be read in one way only, that who
//! is slow or silent holds up nobody, and that an answer which breaks off ends its connection.

pub mod connection_ends;
mod heads;
mod pipelined;
mod receive;
mod recent_bytes;

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

/// Pause after a failed accept: without descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A streamed answer of which nothing is written for this long is given up: its server has been by then, so it is the
/// client that takes nothing.
const STREAM_STALL: Millis = 15_000.0;
/// BodyPermit for a body is waited for this long.
const BODY_PERMIT_TIMEOUT: Duration = Duration::from_millis(1000);
const CONNECT_UNSUPPORTED: Rejection = Rejection { status: StatusCode::NOT_IMPLEMENTED, why: "no tunnels\n" };
const NO_BODY_MEMORY: Rejection =
    Rejection { status: StatusCode::SERVICE_UNAVAILABLE, why: "too many long bodies at once\n" };
/// How often connections are looked at for that.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A first head's time counts from its first byte, but from no later than this after the connection came, ms.
const MAX_HEAD_START_DELAY: Millis = 300.0;
/// A connection that never said anything counts as silent for this many times as long.
const SILENT_PEER_WEIGHT: f64 = 10.0;
/// A new connection's first words are waited for this long, ms, before it may have to give way.
const FIRST_BYTE_GRACE: Millis = 100.0;

/// The least buffer that the parser works with.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// What clients may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrontLimits {
    /// A head that is not whole this long, ms, after it began, or after its connection came, is given up; so is a
    /// connection that says nothing, and a short answer that is not taken. Clients may take 2 s for a head, and a bad one
    /// is owed an end within 3 s; the rest is for the look round that finds it.
    pub whole_within: Millis,
    /// A connection between two requests is closed after this, ms: some clients ask once and never close.
    pub keep_idle: Millis,
    /// Buffer of a client's connection: room for the longest head that is read; 8 KiB at least.
    pub head_bytes: usize,
    /// The longest body that is taken, bytes.
    pub body_bytes: u64,
    /// A body up to this many bytes is held whole, so that it can be sent again.
    pub held: usize,
    /// A client of whose body nothing comes for this long, while something is waited for, is given up; with the time for
    /// its head it is so within the 3 s that a bad client is owed an end in.
    pub silence: Duration,
}

impl Default for FrontLimits {
    fn default() -> Self {
        FrontLimits {
            whole_within: 2500.0,
            keep_idle: 10_000.0,
            head_bytes: 16 * 1024,
            body_bytes: MAX_BODY_BYTES,
            held: MAX_BUFFERED_BYTES,
            silence: Duration::from_millis(2000),
        }
    }
}

/// What a head alone decides.
#[derive(Debug)]
pub enum HeadDecision<T> {
    /// The answer, whatever its body; that is not kept.
    Respond(Response<Body>),
    /// Its body is wanted, and goes on with this.
    Accept(T),
}

/// Where requests are handed in: decides what comes of each.
///
/// The error of either step is an answer too, after which the connection is closed: what stands behind a request that
/// cannot be used may be anything.
pub trait HttpHandler: 'static {
    /// What is known of a request from its head, while its body comes.
    type Ticket;

    /// The time, ms, by the clock of the engine.
    fn now(&self) -> Millis;

    /// The header by whose value a request's head can be told from what else has come on its connection. Of a request
    /// with a coded body it may stand once only.
    fn request_id_header(&self) -> HeaderName;

    /// Whether several requests of one connection may be in hand at once; answers keep their order.
    fn supports_pipelining(&self) -> bool {
        false
    }

    /// Whether a request without a body may be begun while others before it on its connection wait for their answers: one
    /// that ends the connection makes all behind it count as not read, so what runs once may not.
    fn may_pipeline(&self, head: &Parts) -> bool {
        matches!(head.method, Method::GET | Method::HEAD)
    }

    /// Judges a head before its body is read. A URI in absolute form stands as it came, with its host in `Host`.
    ///
    /// # Errors
    /// The answer to what is turned away.
    fn check_head(&self, head: &Parts) -> Result<HeadDecision<Self::Ticket>, Rejection>;

    /// Answers a request whose body is there, or has begun to come; the URI is path and query. Dropped before its end:
    /// the client has left.
    ///
    /// # Errors
    /// The answer to what is turned away.
    fn serve(
        &self,
        ticket: Self::Ticket,
        head: Parts,
        body: Upload,
        room: Option<BodyPermit>,
    ) -> impl Future<Output = Result<Response<Body>, Rejection>>;
}

/// Where a client's connection stands.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// A request is due or its head half read.
    Reading,
    /// Its body is coming, and nothing has gone on yet. That it gets on is seen to where it is read.
    Uploading,
    /// Its body is coming and goes on.
    Passing,
    /// It has its answer, and the rest of its body is still coming.
    Draining,
    /// A whole request is in hand.
    Busy,
    /// Its answer is being written.
    Writing,
    /// Between two requests.
    Idle,
}

/// What is known of one client connection.
struct Peer {
    limits: FrontLimits,
    phase: Cell<Phase>,
    phase_since: Cell<Millis>,
    /// Something came while the request before was in hand: the next one has begun.
    next_request_started: Cell<bool>,
    close_requested: Notify,
    /// It has been asked to leave, and has said nothing since.
    asked_to_close: Cell<bool>,
    /// Its time is up: it is dropped, whatever it has sent so far.
    aborted: Cell<bool>,
    /// A body is coming.
    uploading: Cell<bool>,
    /// An answer is on its way that comes piece by piece.
    streaming: Cell<bool>,
    /// Its answer broke off and it could take the end of its connection for that of the answer.
    response_cut: Cell<bool>,
    /// When it last said something, or came; whether it has said anything.
    last_read_at: Cell<Millis>,
    has_sent: Cell<bool>,
    /// What it said.
    recent_bytes: RefCell<RecentBytes>,
}

impl Peer {
    fn enter(&self, phase: Phase, now: Millis) {
        self.phase.set(phase);
        self.phase_since.set(now);
    }

    /// Bytes have come.
    fn on_read(&self, now: Millis, bytes: &[u8]) {
        self.asked_to_close.set(false);
        // A client may take its time before it begins; but an end is owed within 3 s of its coming.
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

    /// The body that was coming is whole, or will never be.
    fn on_upload_end(&self, now: Millis) {
        self.uploading.set(false);
        match self.phase.get() {
            Phase::Uploading | Phase::Passing => self.enter(Phase::Busy, now),
            Phase::Draining => self.enter(Phase::Idle, now),
            _ => {}
        }
    }

    /// Some of an answer has been taken.
    fn on_write(&self, now: Millis) {
        if self.phase.get() == Phase::Writing {
            self.phase_since.set(now);
        }
    }

    /// All that was written has gone out.
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
            Phase::Reading | Phase::Writing => self.limits.whole_within,
            // The engine sees to it that a request is answered in its time.
            Phase::Busy | Phase::Uploading | Phase::Passing | Phase::Draining => f64::INFINITY,
            Phase::Idle => self.limits.keep_idle,
        }
    }

    /// Asks it to leave between two requests.
    fn request_close(&self) {
        self.asked_to_close.set(true);
        self.close_requested.notify_one();
    }

    fn abort(&self) {
        self.aborted.set(true);
        self.close_requested.notify_one();
    }

    /// How readily it gives way to a new connection, by how long it has been silent; none if it may not. One that writes
    /// slowly gets on, one that stopped half way or asked once and stayed does not, and one that never said anything is
    /// worth the least. A newcomer's first words are waited for, if anything else can go.
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

/// A client's stream, which notes when its peer is heard and has been told all.
struct MonitoredStream<D> {
    /// Looked at from outside too, for what has come unread.
    stream: Rc<TcpStream>,
    peer: Rc<Peer>,
    desk: Rc<D>,
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
                    self.peer.on_read(self.desk.now(), &buf.filled()[before..]);
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
        // A socket keeps nothing back.
        self.peer.on_flush(self.desk.now());
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
                    self.peer.on_write(self.desk.now());
                    return Poll::Ready(done);
                }
            }
        }
    }
}

/// Whether something has come that nobody has read yet. The runtime need not have heard of it.
fn unread(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|n| n > 0)
}

/// All client connections.
pub struct Front<D> {
    desk: Rc<D>,
    limits: FrontLimits,
    peers: RefCell<HashMap<u64, Rc<Peer>>>,
    max_connections: Cell<usize>,
    /// For the bodies of requests.
    body_budget: BodyBudget,
    next: Cell<u64>,
    stopping: Cell<bool>,
    /// New connections are taken.
    accepting: Cell<bool>,
    /// MembershipSink when that changes.
    accepting_changed: Notify,
    /// All connections have a request in hand and another waits to be accepted.
    saturated: Cell<bool>,
    connection_closed: Notify,
    connection_ends: ConnectionEnds,
}

impl<D: HttpHandler> Front<D> {
    /// A front that stays within its parts of the budget.
    pub fn new(desk: D, budget: Budget, limits: FrontLimits) -> Rc<Self> {
        Rc::new(Front {
            desk: Rc::new(desk),
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

    /// Accepts connections until it is called off.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            if !self.accepting.get() {
                self.accepting_changed.notified().await;
                continue;
            }
            while self.peers.borrow().len() >= self.max_connections.get() {
                self.saturated.set(!self.evict_one());
                // One that was asked to leave may have come by a request; then another is asked.
                let _ = tokio::time::timeout(ACCEPT_PAUSE, self.connection_closed.notified()).await;
            }
            self.saturated.set(false);
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Nothing has been accepted then.
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

    /// Makes one connection give way; false where all have a request in hand, and the newcomer has to wait.
    fn evict_one(&self) -> bool {
        let (peers, now) = (self.peers.borrow(), self.desk.now());
        let able =
            peers.values().filter(|p| !p.aborted.get()).filter_map(|p| Some((p.eviction_score(now)?, p)));
        match able.max_by(|(a, _), (b, _)| a.total_cmp(b)) {
            // Between two requests it is asked, so that one which has just come in is not lost.
            Some((_, peer)) if peer.phase.get() == Phase::Idle => peer.request_close(),
            Some((_, peer)) => peer.abort(),
            None => return false,
        }
        true
    }

    /// Ends what does not get on, for the life of the process.
    pub async fn close_stalled_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
            let now = self.desk.now();
            for peer in self.peers.borrow().values().filter(|p| now - p.phase_since.get() > p.time_limit()) {
                match peer.phase.get() {
                    Phase::Idle => peer.request_close(),
                    _ => peer.abort(),
                }
            }
        }
    }

    /// Whether new connections are taken. While none are, another process takes them: answers end their
    /// connections, so that clients move on to it.
    pub fn set_accepting(&self, taking: bool) {
        self.accepting.set(taking);
        self.stopping.set(!taking);
        self.accepting_changed.notify_one();
    }

    /// From now on stays within its parts of this budget; connections over it give way, from the idlest on.
    pub fn apply_budget(&self, budget: Budget) {
        self.max_connections.set(budget.clients);
        self.body_budget.resize(budget.uploads_kib);
        for _ in self.max_connections.get()..self.peers.borrow().len() {
            self.evict_one();
        }
    }

    /// From now on answers end their connection, so that clients move on.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Closes connections as soon as they owe nothing.
    pub fn close_idle(&self) {
        self.peers.borrow().values().for_each(|peer| peer.request_close());
    }

    /// Where its requests are handed in.
    pub fn desk(&self) -> &Rc<D> {
        &self.desk
    }

    /// How connections have ended on which several requests may be in hand at once.
    pub fn ends(&self) -> &ConnectionEnds {
        &self.connection_ends
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.peers.borrow().len()
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, number: u64) {
        // An answer is one small write, and is wanted now.
        let _ = stream.set_nodelay(true);
        let buffer = self.limits.head_bytes.max(MIN_BUFFER_BYTES);
        let peer = Rc::new(Peer {
            limits: self.limits,
            phase: Cell::new(Phase::Reading),
            phase_since: Cell::new(self.desk.now()),
            next_request_started: Cell::new(false),
            close_requested: Notify::new(),
            asked_to_close: Cell::new(false),
            uploading: Cell::new(false),
            streaming: Cell::new(false),
            response_cut: Cell::new(false),
            last_read_at: Cell::new(self.desk.now()),
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
                peer.enter(Phase::Writing, front.desk.now());
                Ok::<_, Infallible>(answer.map(|body| ResponseBody::new(body, closes, peer)))
            }
        });
        let stream = Rc::new(stream);
        if self.desk.supports_pipelining() {
            return pipelined::serve(self.clone(), stream, peer).await;
        }
        let watched = MonitoredStream { stream: stream.clone(), peer: peer.clone(), desk: self.desk.clone() };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(buffer);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(watched), service));
        loop {
            tokio::select! {
                _ = connection.as_mut() => {
                    if peer.response_cut.get() {
                        // Reset, or it would look whole.
                        let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                    }
                    return;
                }
                () = peer.close_requested.notified() => {
                    if peer.aborted.get() {
                        return;
                    }
                    // A request that has arrived, or has begun to, is read and answered first.
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
            // What stands behind a request that cannot be used may be anything.
            Err(bad) => {
                tracing::debug!(status = bad.status.as_u16(), "turned away: {}", bad.why.trim_end());
                closing(respond::rejected(bad))
            }
        };
        // Where none can give way, a connection that is kept would lock out the clients that wait for one.
        if self.stopping.get() || self.saturated.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers one request; the error is an answer too, to what is none of the limiter's work.
    async fn handle(&self, request: Request<Incoming>, peer: &Rc<Peer>) -> Result<Response<Body>, Rejection> {
        let (mut head, body) = request.into_parts();
        check_framing(&head.headers, &*self.desk, peer)?;
        let ticket = match self.decide_head(&mut head)? {
            HeadDecision::Respond(answer) => {
                peer.enter(Phase::Busy, self.desk.now());
                return Ok(answer);
            }
            HeadDecision::Accept(ticket) => ticket,
        };
        if head.method == Method::CONNECT {
            return Err(CONNECT_UNSUPPORTED);
        }
        let (body, room) = self.receive(body, peer).await?;
        peer.enter(if body.is_stream() { Phase::Passing } else { Phase::Busy }, self.desk.now());
        self.desk.serve(ticket, head, body, room).await
    }

    /// Judges a head before its body is read: nothing is kept for what is turned away.
    fn decide_head(&self, head: &mut Parts) -> Result<HeadDecision<D::Ticket>, Rejection> {
        // The host of an absolute form counts, whatever `Host` says (RFC 9112, 3.2.2).
        if let (Some(_), Some(host)) = (head.uri.scheme(), host_of(&head.uri)) {
            head.headers.insert(HOST, host);
        }
        let judged = self.desk.check_head(head)?;
        // A server is asked by path and query, however the client put it.
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
        peer.enter(Phase::Uploading, self.desk.now());
        peer.uploading.set(true);
        let length = if body.is_end_stream() { Some(0) } else { body.size_hint().exact() };
        let room = tokio::time::timeout(
            BODY_PERMIT_TIMEOUT,
            self.body_budget.acquire_buffered(length, self.limits.held),
        )
        .await;
        let room = room.map_err(|_| {
            peer.uploading.set(false);
            NO_BODY_MEMORY
        })?;
        let (desk, uploading) = (self.desk.clone(), peer.clone());
        let upload = receive::receive(body, self.limits, move || uploading.on_upload_end(desk.now())).await;
        // What could not be taken is answered, and its connection closed.
        upload.map(|upload| (upload, room)).inspect_err(|_| peer.uploading.set(false))
    }
}

/// An answer on its way to a client.
struct ResponseBody {
    body: Body,
    /// It may end with its connection.
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

/// Takes a connection off the list whichever way it ends.
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

/// Turns away what can be read in two ways, and may so hide a second request: a length beside a coding, or a coding
/// beside `chunked`.
fn check_framing<D: HttpHandler>(headers: &HeaderMap, desk: &D, peer: &Peer) -> Result<(), Rejection> {
    if headers.contains_key(TRANSFER_ENCODING) {
        let coding = classify::single(headers, &TRANSFER_ENCODING)?.unwrap_or_default();
        if !coding.trim().eq_ignore_ascii_case("chunked") {
            return Err(Rejection {
                status: StatusCode::NOT_IMPLEMENTED,
                why: "no other coding than chunked\n",
            });
        }
        // The parser does not show a length that stands behind the coding, so the bytes are looked at. The name of a
        // request is its own.
        let id = classify::single(headers, &desk.request_id_header())?.unwrap_or_default();
        if headers.contains_key(CONTENT_LENGTH) || !peer.recent_bytes.borrow().has_no_length(id.as_bytes()) {
            return Err(Rejection::bad("Content-Length beside Transfer-Encoding\n"));
        }
    }
    classify::single(headers, &HOST).map(|_| ())
}

/// The host of a URI as `Host` puts it.
fn host_of(uri: &Uri) -> Option<HeaderValue> {
    let authority = uri.authority()?.as_str();
    // Who somebody is on that host is none of its name.
    HeaderValue::try_from(authority.rsplit('@').next()?).ok()
}

fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
