//! Clients: accepts their connections, reads requests whole and writes each one answer.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::header::{CONNECTION, HOST, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oatbank_engine::classify::{self, Rejection};
use oatbank_engine::engine::{Answer, Engine};
use oatbank_engine::open_ids::OpenIds;
use oatbank_engine::respond::{self, plain, ComeBack};
use oatbank_engine::upstreams::http1::{Forward, Http1};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use topazwind::interface::{Millis, RequestId};

/// Longest body of a request.
const MOST_BODY: usize = 64 * 1024;
/// Buffer of a client's connection: room for the longest head that is read.
const BUFFER: usize = 16 * 1024;
/// Pause after a failed accept: without descriptors it would fail again at once, and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A request that is not whole this long after it began, or after its connection came, is given up; so is a
/// connection that says nothing, and an answer that is not taken. A bad client is owed an end within 3 s; the
/// rest is for the look round that finds it.
const WHOLE_WITHIN: Millis = 2000.0;
/// A connection between two requests is closed after this: some clients ask once and never close.
const KEEP_IDLE: Millis = 10_000.0;
/// How often connections are looked at for that.
const LOOK: Duration = Duration::from_millis(250);
/// A new connection's first words are waited for this long, ms, before it may have to give way.
const FIRST_WORDS: Millis = 100.0;

/// Where a client's connection stands.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// A request is due or half read.
    Reading,
    /// A whole request is in hand.
    Busy,
    /// Its answer is being written.
    Writing,
    /// Between two requests.
    Idle,
}

/// What is known of one client connection.
struct Peer {
    phase: Cell<Phase>,
    since: Cell<Millis>,
    /// Something came while the request before was in hand: the next one has begun.
    ahead: Cell<bool>,
    leave: Notify,
    /// It has been asked to leave, and has said nothing since.
    asked: Cell<bool>,
    /// Its time is up: it is dropped, whatever it has sent so far.
    over: Cell<bool>,
}

impl Peer {
    fn enter(&self, phase: Phase, now: Millis) {
        self.phase.set(phase);
        self.since.set(now);
    }

    /// Bytes have come.
    fn heard(&self, now: Millis) {
        self.asked.set(false);
        match self.phase.get() {
            Phase::Idle => self.enter(Phase::Reading, now),
            Phase::Busy | Phase::Writing => self.ahead.set(true),
            Phase::Reading => {}
        }
    }

    /// All that was written has gone out.
    fn flushed(&self, now: Millis) {
        if self.phase.get() == Phase::Writing {
            let next = if self.ahead.take() { Phase::Reading } else { Phase::Idle };
            self.enter(next, now);
        }
    }

    fn limit(&self) -> Millis {
        match self.phase.get() {
            Phase::Reading | Phase::Writing => WHOLE_WITHIN,
            // The engine sees to it that a request is answered in its time.
            Phase::Busy => f64::INFINITY,
            Phase::Idle => KEEP_IDLE,
        }
    }

    /// Asks it to leave between two requests.
    fn ask_to_leave(&self) {
        self.asked.set(true);
        self.leave.notify_one();
    }

    fn drop_now(&self) {
        self.over.set(true);
        self.leave.notify_one();
    }

    /// How readily it gives way to a new connection, or none if it may not: first those that began nothing
    /// or do not get on, then those between two requests, each by age.
    fn gives_way(&self, now: Millis) -> Option<(u8, Millis)> {
        let since = self.since.get();
        match self.phase.get() {
            _ if self.asked.get() => None,
            Phase::Busy | Phase::Writing => None,
            Phase::Reading if now - since > FIRST_WORDS => Some((0, since)),
            Phase::Idle => Some((1, since)),
            Phase::Reading => Some((2, since)),
        }
    }
}

/// A client's stream, which notes when its peer is heard and has been told all.
struct Watched {
    /// Looked at from outside too, for what has come unread.
    stream: Rc<TcpStream>,
    peer: Rc<Peer>,
    engine: Rc<Engine<Http1>>,
}

impl AsyncRead for Watched {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {
                    self.peer.heard(self.engine.now());
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for Watched {
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
        self.peer.flushed(self.engine.now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

impl Watched {
    fn write(
        &self,
        cx: &mut Context<'_>,
        how: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match how(&self.stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
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
pub struct Front {
    engine: Rc<Engine<Http1>>,
    come_back: ComeBack,
    peers: RefCell<HashMap<u64, Rc<Peer>>>,
    ids: OpenIds,
    most: Cell<usize>,
    /// What `most` is while this process is the whole limiter.
    whole: usize,
    next: Cell<u64>,
    stopping: Cell<bool>,
    /// New connections are taken.
    taking: Cell<bool>,
    /// Told when that changes.
    turned: Notify,
    /// All connections have a request in hand and another waits to be accepted.
    crowded: Cell<bool>,
    left: Notify,
}

impl Front {
    /// A front that holds `most` connections at most.
    pub fn new(engine: Rc<Engine<Http1>>, most: usize, come_back: ComeBack) -> Rc<Self> {
        Rc::new(Front {
            engine,
            come_back,
            peers: RefCell::default(),
            ids: OpenIds::default(),
            most: Cell::new(most),
            whole: most,
            next: Cell::new(0),
            stopping: Cell::new(false),
            taking: Cell::new(true),
            turned: Notify::new(),
            crowded: Cell::new(false),
            left: Notify::new(),
        })
    }

    /// Accepts connections until it is called off.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            if !self.taking.get() {
                self.turned.notified().await;
                continue;
            }
            while self.peers.borrow().len() >= self.most.get() {
                self.crowded.set(!self.make_room());
                // One that was asked to leave may have come by a request; then another is asked.
                let _ = tokio::time::timeout(ACCEPT_PAUSE, self.left.notified()).await;
            }
            self.crowded.set(false);
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Nothing has been accepted then.
                () = self.turned.notified() => continue,
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
    fn make_room(&self) -> bool {
        let (peers, now) = (self.peers.borrow(), self.engine.now());
        let able = peers.values().filter(|p| !p.over.get()).filter_map(|p| Some((p.gives_way(now)?, p)));
        let least = able.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        match least {
            // Between two requests it is asked, so that one which has just come in is not lost.
            Some(((1, _), peer)) => peer.ask_to_leave(),
            Some((_, peer)) => peer.drop_now(),
            None => return false,
        }
        true
    }

    /// Ends what does not get on, for the life of the process.
    pub async fn look_round(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let now = self.engine.now();
            for peer in self.peers.borrow().values().filter(|p| now - p.since.get() > p.limit()) {
                match peer.phase.get() {
                    Phase::Idle => peer.ask_to_leave(),
                    _ => peer.drop_now(),
                }
            }
        }
    }

    /// Whether new connections are taken. While none are, another process takes them: answers end their
    /// connections, so that clients move on to it.
    pub fn take_clients(&self, taking: bool) {
        self.taking.set(taking);
        self.stopping.set(!taking);
        self.turned.notify_one();
    }

    /// Connections stay within this part of the limits; those over it give way, from the idlest on.
    pub fn use_part(&self, part: f64) {
        self.most.set(((self.whole as f64 * part) as usize).max(1));
        for _ in self.most.get()..self.peers.borrow().len() {
            self.make_room();
        }
    }

    /// From now on answers end their connection, so that clients move on.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Closes connections as soon as they owe nothing.
    pub fn close_idle(&self) {
        self.peers.borrow().values().for_each(|peer| peer.ask_to_leave());
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.peers.borrow().len()
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, number: u64) {
        // An answer is one small write, and is wanted now.
        let _ = stream.set_nodelay(true);
        let peer = Rc::new(Peer {
            phase: Cell::new(Phase::Reading),
            since: Cell::new(self.engine.now()),
            ahead: Cell::new(false),
            leave: Notify::new(),
            asked: Cell::new(false),
            over: Cell::new(false),
        });
        let _listed = Listed::new(self.clone(), number, peer.clone());
        let service = service_fn(|request| {
            let (front, peer) = (self.clone(), peer.clone());
            async move {
                let answer = front.answer(request, &peer).await;
                peer.enter(Phase::Writing, front.engine.now());
                Ok::<_, Infallible>(answer)
            }
        });
        let stream = Rc::new(stream);
        let watched = Watched { stream: stream.clone(), peer: peer.clone(), engine: self.engine.clone() };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(watched), service));
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                () = peer.leave.notified() => {
                    if peer.over.get() {
                        return;
                    }
                    // A request that has arrived is read and answered first.
                    if !unread(&stream) {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>, peer: &Peer) -> Response<Full<Bytes>> {
        let mut response = match self.handle(request, peer).await {
            Ok(response) => response,
            // What stands behind a request that cannot be used may be anything.
            Err(bad) => closing(respond::rejected(bad)),
        };
        // Where none can give way, a connection that is kept would lock out the clients that wait for one.
        if self.stopping.get() || self.crowded.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers one request; the error is an answer too, to what is none of the limiter's work.
    async fn handle(
        &self,
        request: Request<Incoming>,
        peer: &Peer,
    ) -> Result<Response<Full<Bytes>>, Rejection> {
        let (mut head, body) = request.into_parts();
        framing(&head.headers)?;
        // Judged before its body is read: nothing is kept for what is turned away.
        if head.uri.path() == "/healthz" {
            peer.enter(Phase::Busy, self.engine.now());
            let ready = self.engine.is_ready();
            return Ok(if ready {
                plain(StatusCode::OK, "ok\n")
            } else {
                plain(StatusCode::SERVICE_UNAVAILABLE, "starting\n")
            });
        }
        let revision = self.engine.revision();
        let mut request = classify::by_path(&head, revision.names(), revision.settings())?;
        // Its body may take seconds, and the settings may change meanwhile.
        request.rules = revision.rules(request.class);
        let headers = classify::headers_on(&head.headers);
        let body = read_body(body).await?;
        if head.method == Method::GET && !body.is_empty() {
            return Err(Rejection::bad("no body is wanted\n"));
        }
        // A server is asked by path and query, however the client put it.
        if let (Some(_), Some(path)) = (head.uri.scheme(), head.uri.path_and_query()) {
            head.uri = path.clone().into();
        }
        let id = classify::single(&headers, &classify::CORRELATION)?.unwrap_or_default();
        let _held = self.ids.hold(id)?;
        let forward = Forward { method: head.method, uri: head.uri, headers: headers.clone(), body };
        peer.enter(Phase::Busy, self.engine.now());
        let (sender, receiver) = oneshot::channel();
        // A client that has just left needs no answer.
        let reply = Box::new(move |answer| drop(sender.send(answer)));
        let (begun, account) = (self.engine.now(), request.customer.0);
        let span = tracing::debug_span!("request", id = head_id(&forward), account);
        let id = span.in_scope(|| self.engine.arrive(request, forward, reply));
        let mut watch = Watch { engine: &self.engine, id, answered: false };
        // The sender is only lost with the request's entry, and that is a defect: it has then failed.
        let answer = receiver.await.unwrap_or(Answer::Failed);
        watch.answered = true;
        let ms = self.engine.now() - begun;
        span.in_scope(|| tracing::debug!(ms, outcome = answer.name(), "answered"));
        Ok(respond::answered(answer, self.come_back, |body| Response::new(Full::new(body))))
    }
}

/// The client's name for a request, for the log.
fn head_id(forward: &Forward) -> &str {
    forward.headers.get(&classify::CORRELATION).and_then(|id| id.to_str().ok()).unwrap_or_default()
}

/// Takes a connection off the list whichever way it ends.
struct Listed {
    front: Rc<Front>,
    number: u64,
}

impl Listed {
    fn new(front: Rc<Front>, number: u64, peer: Rc<Peer>) -> Self {
        front.peers.borrow_mut().insert(number, peer);
        Listed { front, number }
    }
}

impl Drop for Listed {
    fn drop(&mut self) {
        self.front.peers.borrow_mut().remove(&self.number);
        self.front.left.notify_one();
    }
}

/// Tells the engine when the client leaves before its answer: its connection's task is dropped then.
struct Watch<'a> {
    engine: &'a Rc<Engine<Http1>>,
    id: RequestId,
    answered: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.engine.gone(self.id);
        }
    }
}

/// Turns away what can be read in two ways: a length beside a coding may hide a second request, and the
/// parser keeps the coding only. A length is all that is taken.
fn framing(headers: &HeaderMap) -> Result<(), Rejection> {
    if headers.contains_key(TRANSFER_ENCODING) {
        let why = "Content-Length is wanted, and no Transfer-Encoding\n";
        return Err(Rejection { status: StatusCode::LENGTH_REQUIRED, why });
    }
    classify::single(headers, &HOST).map(|_| ())
}

/// Reads a body whole; a refusal then never meets a client that is still sending.
async fn read_body(body: Incoming) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_long = Rejection { status: StatusCode::PAYLOAD_TOO_LARGE, why: "over 64 KiB\n" };
    if body.size_hint().lower() > MOST_BODY as u64 {
        return Err(too_long);
    }
    let span = Duration::from_secs_f64(WHOLE_WITHIN / 1000.0);
    match tokio::time::timeout(span, Limited::new(body, MOST_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_long),
        Ok(Err(_)) => Err(Rejection::bad("the body is not whole\n")),
        Err(_) => Err(Rejection { status: StatusCode::REQUEST_TIMEOUT, why: "the body takes too long\n" }),
    }
}

fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
