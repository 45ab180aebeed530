//! Servers that are met over HTTP/1.1, and the connections kept to them.
//!
//! Connections are kept here and not in a pooling client: such a client sends again by itself, and does not
//! tell whether a request went out. What heads say is a [`Dialect`]'s.

use crate::body::{
    self, Body, BodyBudget, BodyError, BodyPermit, BodyPrefix, BodySender, SendState, Upload, UploadBody,
    MAX_BODY_BYTES, MAX_BUFFERED_BYTES,
};
use crate::ports::clock::Clock;
use crate::ports::upstream::{AttemptJob, End, Upstream};
use crate::ports::LocalFuture;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode, Uri, Version};
use hyper_util::rt::TokioIo;
use oatbank_limiter_core::interface::*;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error;
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

/// An answer that has begun and of which nothing comes for this long is given up; so is one that its client takes
/// nothing of.
const STALL: Duration = Duration::from_secs(10);
/// Buffer of a server's connection: room for the longest head that is read.
const BUFFER: usize = 16 * 1024;
/// Largest figure of a load report that is believed: far above what any server holds.
const MOST_LOAD: f64 = 10_000.0;
/// Share of the servers' idle time after which a connection is retired here: well before they close it, as
/// a request that crosses with the close is lost.
const IDLE_SHARE: f64 = 0.6;

/// Idle connections of a server that left the list are kept this long, ms, should it be back at once: a member whose
/// session flaps is the same process, and one that did restart has closed them.
const KEEP_OVER_FLAP: Millis = 1000.0;

/// What the heads of requests and answers say, and how much of an answer is held.
///
/// It decides on what was read of an answer; that nothing was written, that a body is whole and that a connection is
/// free is seen to here.
pub trait Dialect: 'static {
    /// What an answer becomes.
    type Answer: 'static;

    /// Sets what a server is told beside what goes on from the client.
    fn address(&self, job: &AttemptJob<Forward>, headers: &mut HeaderMap);

    /// What an answer's head means.
    fn judge(&self, job: &AttemptJob<Forward>, head: &Parts) -> Verdict;

    /// Makes the answer that goes to the client.
    fn answer(&self, head: Parts, body: Body) -> Self::Answer;

    /// The values of the server's load report, in the order of the settings; none without one.
    fn load(&self, _headers: &HeaderMap) -> Vec<f64> {
        Vec::new()
    }

    /// An answer up to this many bytes is read whole before it counts; a longer one is passed on as it comes.
    fn held(&self) -> usize {
        MAX_BUFFERED_BYTES
    }

    /// The longest answer that is passed on, bytes.
    fn longest(&self) -> u64 {
        MAX_BODY_BYTES
    }

    /// A connection on which a server confirms nothing for this long is broken; none: the system decides.
    fn unconfirmed(&self) -> Option<Duration> {
        None
    }
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// How the attempt has ended, once the answer is whole.
    pub outcome: Outcome,
    /// Nothing more is read of it and its connection is closed.
    pub spoilt: bool,
    /// It may be given to a client. With [`Outcome::Error`] that is where nothing better comes.
    pub given: bool,
    /// It has no body by its kind, whatever lengths it tells.
    pub bodiless: bool,
    /// How long its server keeps the connection when idle, ms, where it tells that.
    pub keeps: Option<Millis>,
}

impl Verdict {
    /// An answer with a body of which the outcome is this; given to the client if that is [`Outcome::Ok`].
    pub fn new(outcome: Outcome) -> Self {
        Verdict { outcome, spoilt: false, given: outcome == Outcome::Ok, bodiless: false, keeps: None }
    }

    /// An answer that cannot be used.
    pub fn spoilt(outcome: Outcome) -> Self {
        Verdict { spoilt: true, given: false, ..Verdict::new(outcome) }
    }
}

/// The platform's servers.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Names of the values in a load report, in the order of the settings.
    pub report: Vec<String>,
}

impl Dialect for Platform {
    type Answer = Body;

    fn address(&self, job: &AttemptJob<Forward>, headers: &mut HeaderMap) {
        if let Ok(host) = HeaderValue::try_from(job.address.to_string()) {
            headers.insert(HOST, host);
        }
        if let Ok(left) = HeaderValue::try_from(format!("{:.3}", job.span / 1000.0)) {
            headers.insert(TIME_LEFT, left);
        }
    }

    fn judge(&self, _: &AttemptJob<Forward>, head: &Parts) -> Verdict {
        let not_run = head.headers.get(NOT_RUN).is_some_and(|v| v.as_bytes() == b"1");
        Verdict::new(match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
            _ => Outcome::Error,
        })
    }

    fn answer(&self, _: Parts, body: Body) -> Body {
        body
    }

    fn load(&self, headers: &HeaderMap) -> Vec<f64> {
        load_report(headers, &self.report)
    }
}

const LOAD: HeaderName = HeaderName::from_static("x-backend-load");
const NOT_RUN: HeaderName = HeaderName::from_static("x-unprocessed");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// What goes on to a server, unchanged.
pub struct Forward {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The headers that go on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Upload,
    /// The body's room.
    pub permit: Option<BodyPermit>,
}

/// A stream that notes whether anything of the present request has been written. In doubt a request may
/// have run, so the first byte counts: small messages go out in one piece.
///
/// Before that first byte it makes sure that nothing is left to be read: bytes that belong to no answer (a
/// second copy, noise) would be taken for the answer to this request. What came before the answer was
/// taken whole, the parser holds and gives its connection up for; what came later stands in the socket, and
/// the runtime need not have heard of it yet, so the socket itself is asked.
struct Noted {
    stream: TcpStream,
    wrote: Rc<Cell<bool>>,
}

impl AsyncRead for Noted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Noted {
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

impl Noted {
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

/// A connection to a server. Dropped, it closes at once, whatever is out on it.
struct Connection {
    sender: SendRequest<UploadBody<Forward>>,
    wrote: Rc<Cell<bool>>,
    task: AbortHandle,
    address: SocketAddr,
    idle_since: Millis,
    /// It is used again within this, ms.
    keeps: Millis,
    /// Counts among the open ones while it lives.
    _slot: Slot,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A place among the connections that may be open.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The connections that wait for a request.
struct Pool {
    idle: RefCell<HashMap<ServerId, Vec<Connection>>>,
    /// Since when servers with idle connections have taken nothing new.
    parked: RefCell<HashMap<ServerId, Millis>>,
    open: Rc<Cell<usize>>,
    most: Cell<usize>,
    longest_idle: Millis,
    connect_timeout: Duration,
    unconfirmed: Option<Duration>,
}

impl Pool {
    /// An empty pool that opens `most` connections at most.
    fn new(connections: Connections, unconfirmed: Option<Duration>) -> Self {
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

    /// The most recently used connection that still stands.
    fn take(&self, server: ServerId, address: SocketAddr, now: Millis) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.get_mut(&server)?;
        while let Some(c) = waiting.pop() {
            if c.address == address && !c.sender.is_closed() && now - c.idle_since < c.keeps {
                return Some(c);
            }
        }
        None
    }

    /// Keeps a connection for its server's next request, of which the server says that it keeps it so long.
    fn put(&self, server: ServerId, mut connection: Connection, keeps: Option<Millis>, now: Millis) {
        if !connection.sender.is_closed() {
            connection.idle_since = now;
            connection.keeps = keeps.map_or(self.longest_idle, |k| (k * IDLE_SHARE).min(self.longest_idle));
            self.idle.borrow_mut().entry(server).or_default().push(connection);
        }
    }

    /// Retires what has stood idle too long or was closed from the other side, and what is over the limit.
    fn sweep(&self, now: Millis) {
        while self.open.get() > self.most.get() && self.retire() {}
        let mut parked = self.parked.borrow_mut();
        self.idle.borrow_mut().retain(|server, waiting| {
            if parked.get(server).is_some_and(|since| now - since >= KEEP_OVER_FLAP) {
                return false;
            }
            waiting.retain(|c| !c.sender.is_closed() && now - c.idle_since < c.keeps);
            !waiting.is_empty()
        });
        let idle = self.idle.borrow();
        parked.retain(|server, _| idle.contains_key(server));
    }

    /// Notes which servers take nothing new: their idle connections go soon, unless they are back before. Until then
    /// no request meets them, as none is sent to such a server.
    fn keep_only(&self, ready: &dyn Fn(ServerId) -> bool, now: Millis) {
        let mut parked = self.parked.borrow_mut();
        for server in self.idle.borrow().keys() {
            if ready(*server) {
                parked.remove(server);
            } else {
                parked.entry(*server).or_insert(now);
            }
        }
    }

    /// Closes the connection that has been idle for the longest, if there is one.
    fn retire(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let waiting = idle.values_mut().filter(|w| !w.is_empty());
        let oldest = waiting.min_by(|a, b| a[0].idle_since.total_cmp(&b[0].idle_since));
        oldest.map(|waiting| drop(waiting.remove(0))).is_some()
    }

    /// A place for one more connection; at the limit the longest idle one gives way.
    fn slot(&self) -> Option<Slot> {
        if self.open.get() >= self.most.get() && !self.retire() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(self.open.clone()))
    }

    async fn connect(&self, address: SocketAddr) -> Option<Connection> {
        let slot = self.slot()?;
        let up = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let stream = up.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        if self.unconfirmed.is_some() {
            SockRef::from(&stream).set_tcp_user_timeout(self.unconfirmed).ok()?;
        }
        let wrote = Rc::new(Cell::new(false));
        let io = TokioIo::new(Noted { stream, wrote: wrote.clone() });
        let (sender, connection) = http1::Builder::new().max_buf_size(BUFFER).handshake(io).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // How it ends is seen by the attempt that is out on it.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        Some(Connection { sender, wrote, task, address, idle_since: 0.0, keeps: 0.0, _slot: slot })
    }
}

/// What the attempts share.
struct Shared<D> {
    clock: Rc<dyn Clock>,
    pool: Pool,
    dialect: D,
    /// For the bodies of answers.
    rooms: BodyBudget,
}

/// Servers over HTTP/1.1.
pub struct Http1<D: Dialect = Platform> {
    shared: Rc<Shared<D>>,
}

/// How connections to servers are kept.
#[derive(Clone, Copy, Debug)]
pub struct Connections {
    /// A server closes a connection that stood idle this long, ms.
    pub idle: Millis,
    /// A connection that is not up within this, ms, has failed.
    pub connect_timeout: Millis,
    /// So many are open at most.
    pub most: usize,
    /// The bodies of answers take so many KiB together.
    pub bodies_kib: usize,
}

impl Http1 {
    /// The platform's servers; no connections yet.
    pub fn new(clock: Rc<dyn Clock>, connections: Connections, report: Vec<String>) -> Self {
        Http1::with_dialect(Platform { report }, clock, connections)
    }
}

impl<D: Dialect> Http1<D> {
    /// Servers of this dialect; no connections yet.
    pub fn with_dialect(dialect: D, clock: Rc<dyn Clock>, connections: Connections) -> Self {
        let pool = Pool::new(connections, dialect.unconfirmed());
        let rooms = BodyBudget::new(connections.bodies_kib);
        Http1 { shared: Rc::new(Shared { clock, pool, dialect, rooms }) }
    }
}

impl<D: Dialect> Upstream for Http1<D> {
    type Request = Forward;
    type Answer = D::Answer;

    fn attempt(&self, job: AttemptJob<Forward>) -> LocalFuture<End<D::Answer>> {
        let shared = self.shared.clone();
        Box::pin(async move { run(&shared, &job).await })
    }

    fn keep_only(&self, ready: &dyn Fn(ServerId) -> bool) {
        self.shared.pool.keep_only(ready, self.shared.clock.now());
    }

    fn set_limits(&self, connections: usize, bodies_kib: usize) {
        self.shared.pool.most.set(connections);
        self.shared.rooms.resize(bodies_kib);
    }

    fn upkeep(&self, now: Millis) {
        self.shared.pool.sweep(now);
    }
}

async fn run<D: Dialect>(shared: &Rc<Shared<D>>, job: &AttemptJob<Forward>) -> End<D::Answer> {
    let gone = Rc::new(SendState::default());
    loop {
        let kept = shared.pool.take(job.server, job.address, shared.clock.now());
        let fresh = kept.is_none();
        let connection = match kept {
            Some(connection) => Some(connection),
            None => shared.pool.connect(job.address).await,
        };
        let Some(mut connection) = connection else {
            return End::without_answer(Outcome::ConnectFailed);
        };
        if connection.sender.ready().await.is_err() {
            if fresh {
                return End::without_answer(Outcome::ConnectFailed);
            }
            continue;
        }
        if !(job.may_send)() {
            // Told of a drain while the connection came up.
            return End::without_answer(Outcome::ConnectFailed);
        }
        connection.wrote.set(false);
        match connection.sender.try_send_request(request(&shared.dialect, job, &gone)).await {
            Ok(answer) => {
                // A body that is held whole goes out with its head, and an empty one is never asked for.
                let sent = !job.request.body.is_stream() || gone.sent.get();
                return receive(shared, job, connection, answer, sent).await;
            }
            // It was the client that broke off, or nothing is held any more: no server's fault.
            Err(_) if gone.failed.get() => return End::without_answer(Outcome::NotSent),
            // Part of a stream is no request: it has not run before its last byte was written.
            Err(_) if job.request.body.is_stream() && !gone.sent.get() && connection.wrote.get() => {
                return End::without_answer(Outcome::ConnectFailed)
            }
            Err(e) if connection.wrote.get() => return End::without_answer(broken(e.error())),
            // A kept connection that had been closed before the first byte: nothing was sent on it.
            Err(_) if !fresh => {}
            Err(_) => return End::without_answer(Outcome::ConnectFailed),
        }
    }
}

fn request<D: Dialect>(
    dialect: &D,
    job: &AttemptJob<Forward>,
    gone: &Rc<SendState>,
) -> hyper::Request<UploadBody<Forward>> {
    let forward = &job.request;
    let body = UploadBody::new(forward.clone(), |f| &f.body, job.progress.clone(), gone.clone());
    let mut request = hyper::Request::new(body);
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.headers_mut() = forward.headers.clone();
    dialect.address(job, request.headers_mut());
    request
}

/// How an attempt has ended that may have run and has no answer. An answer that cannot be used is an error of
/// the server's, which can be reached: taken for a reset it would count against a server as if it had gone,
/// though any server may spoil one.
fn broken(e: &(dyn Error + 'static)) -> Outcome {
    match e.downcast_ref::<hyper::Error>() {
        Some(e) if !e.is_parse() && !e.is_parse_too_large() => Outcome::Reset,
        _ => Outcome::Error,
    }
}

/// The head's lengths agree with each other and with the most that is taken. Without any the body ends with its
/// connection, and the head has to say that this ends: else nobody knows whether more is to come.
fn framed(head: &Parts, body: &Incoming, bodiless: bool, longest: u64) -> bool {
    let many = |name| head.headers.get_all(name).iter().count();
    let plain = match many(CONTENT_LENGTH) + many(TRANSFER_ENCODING) {
        0 => bodiless || closes(head),
        lengths => lengths == 1,
    };
    plain && !head.status.is_informational() && body.size_hint().lower() <= longest
}

/// The connection ends with this answer.
fn closes(head: &Parts) -> bool {
    let values = head.headers.get_all(CONNECTION).iter();
    let mut options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    let mut said = |what: &[u8]| options.any(|option| option.trim_ascii().eq_ignore_ascii_case(what));
    match head.version {
        Version::HTTP_10 => !said(b"keep-alive"),
        _ => said(b"close"),
    }
}

/// Reads an answer whole where it is short: only then is it known to be one, and its connection free. One that is
/// spoilt ends its connection at once, however much is still to come. A long one is passed on as it comes.
async fn receive<D: Dialect>(
    shared: &Rc<Shared<D>>,
    job: &AttemptJob<Forward>,
    connection: Connection,
    answer: Response<Incoming>,
    sent: bool,
) -> End<D::Answer> {
    let (head, mut body) = answer.into_parts();
    let dialect = &shared.dialect;
    let verdict = dialect.judge(job, &head);
    if verdict.spoilt {
        return End::without_answer(verdict.outcome);
    }
    if !framed(&head, &body, verdict.bodiless, dialect.longest()) {
        return End::without_answer(Outcome::Error);
    }
    let load = dialect.load(&head.headers);
    let most = dialect.held();
    let permit = shared.rooms.acquire_buffered(body.size_hint().exact(), most).await;
    let held = match hold(&mut body, most).await {
        Ok(held) => held,
        Err(e) => return End { outcome: broken(&e), answer: None, load },
    };

    // One whose request was answered before it was whole has the rest of it on the way.
    let kept = (!closes(&head) && sent).then(|| Kept {
        shared: shared.clone(),
        server: job.server,
        may_send: job.may_send.clone(),
        keeps: verdict.keeps,
    });
    let begun = Begun { connection, kept };
    let body = match held {
        Held::Whole(bytes) => {
            begun.over();
            Body::held(bytes, permit)
        }
        Held::Start(_) if verdict.outcome != Outcome::Ok => {
            return End { outcome: Outcome::Error, answer: None, load }
        }
        Held::Start(held) => {
            let length = body.size_hint().exact().map(|left| left + held.len() as u64);
            let (feed, rest) = body::body_channel();
            tokio::task::spawn_local(pass_on(body, held.len() as u64, dialect.longest(), feed, begun));
            Body::Stream { held, length, rest, permit }
        }
    };
    let answer = verdict.given.then(|| dialect.answer(head, body));
    End { outcome: verdict.outcome, answer, load }
}

/// What there is of an answer once it is known to be short or long.
enum Held {
    Whole(Bytes),
    Start(Bytes),
}

/// Reads an answer until it is whole or longer than what is held; of one that says so itself, nothing.
async fn hold(body: &mut Incoming, most: usize) -> Result<Held, hyper::Error> {
    if body.size_hint().lower() > most as u64 {
        return Ok(Held::Start(Bytes::new()));
    }
    let mut start = BodyPrefix::default();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        start.push(piece);
        if start.is_longer_than(most) {
            return Ok(Held::Start(start.finish()));
        }
    }
    Ok(Held::Whole(start.finish()))
}

/// Where a connection goes when its answer is whole: to the idle ones of this server, if that is still in use.
struct Kept<D> {
    shared: Rc<Shared<D>>,
    server: ServerId,
    may_send: Rc<dyn Fn() -> bool>,
    keeps: Option<Millis>,
}

/// A connection whose answer has begun, and where it goes once that is whole; dropped before, it closes.
struct Begun<D> {
    connection: Connection,
    kept: Option<Kept<D>>,
}

impl<D> Begun<D> {
    /// The answer is whole.
    fn over(self) {
        if let Some(kept) = self.kept.filter(|kept| (kept.may_send)()) {
            let now = kept.shared.clock.now();
            kept.shared.pool.put(kept.server, self.connection, kept.keeps, now);
        }
    }
}

/// Passes a long answer on as it comes, no faster than it is taken. When whoever takes it leaves, it ends.
async fn pass_on<D: Dialect>(
    mut body: Incoming,
    mut passed: u64,
    longest: u64,
    feed: BodySender,
    begun: Begun<D>,
) {
    let why = loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(STALL, body.frame()) => frame,
            () = feed.closed() => return,
        };
        let piece = match frame {
            Err(_) => break BodyError::Stalled,
            Ok(None) => {
                begun.over();
                return feed.finish();
            }
            Ok(Some(Err(_))) => break BodyError::Left,
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(piece) => piece,
                // Trailers are not passed on.
                Err(_) => continue,
            },
        };
        passed += piece.len() as u64;
        if passed > longest {
            break BodyError::TooLong;
        }
        match tokio::time::timeout(STALL, feed.send(Ok(piece))).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => break BodyError::Stalled,
        }
    };
    drop(begun);
    // Who takes it is told that it is not whole, unless it has left.
    let _ = feed.send(Err(why)).await;
}

/// The values of a load report in the order of the settings; none if one is missing or makes no sense.
fn load_report(headers: &HeaderMap, columns: &[String]) -> Vec<f64> {
    let Some(text) = headers.get(LOAD).and_then(|v| v.to_str().ok()) else { return Vec::new() };
    let value = |column: &String| {
        let mut fields = text.split(',').filter_map(|f| f.split_once('='));
        let (_, value) = fields.find(|(name, _)| name.trim() == column)?;
        value.trim().parse::<f64>().ok().filter(|v| (0.0..=MOST_LOAD).contains(v))
    };
    columns.iter().map(value).collect::<Option<Vec<f64>>>().unwrap_or_default()
}

#[cfg(test)]
mod tests;
