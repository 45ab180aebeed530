//! Upstream servers over HTTP/1.1, with a connection pool.
//!
//! The pool is implemented here because a pooling client retries by itself and does not report whether a request was
//! sent. A [`Dialect`] sets and interprets the headers.

mod pool;

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
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode, Uri, Version};
use oatbank_limiter_core::interface::*;
use pool::{Connection, Pool};
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

/// A streamed response is aborted after this time without data from the server, or without the client reading any.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest valid value in a load report: far above any server's queue or utilization.
const MAX_LOAD: f64 = 10_000.0;

/// Sets the headers of requests, interprets the heads of responses and limits their bodies.
///
/// A dialect judges only a response head that was read. [`Http1`] itself detects unsent requests, incomplete bodies and
/// connections that are free again.
pub trait Dialect: 'static {
    /// Type of the answer that is passed to the client.
    type Answer: 'static;

    /// Adds the headers for the server to those forwarded from the client.
    fn address(&self, job: &AttemptJob<Forward>, headers: &mut HeaderMap);

    /// Classifies a response by its head.
    fn classify(&self, job: &AttemptJob<Forward>, head: &Parts) -> Verdict;

    /// Builds the answer for the client.
    fn answer(&self, head: Parts, body: Body) -> Self::Answer;

    /// Returns the values of the server's load report in the order of the settings; empty if there is none.
    fn load(&self, _headers: &HeaderMap) -> Vec<f64> {
        Vec::new()
    }

    /// Largest body, bytes, that is buffered completely before the attempt ends; a longer one is streamed.
    fn held(&self) -> usize {
        MAX_BUFFERED_BYTES
    }

    /// Largest body that is streamed, bytes.
    fn longest(&self) -> u64 {
        MAX_BODY_BYTES
    }

    /// Whether a response without a length is valid if its head does not announce the close of the connection. It is
    /// complete when the connection ends in order, and truncated when it is reset.
    fn allows_unannounced_end(&self) -> bool {
        false
    }

    /// TCP user timeout: a connection whose sent data is not acknowledged for this long is broken. `None` leaves the
    /// system's default.
    fn unconfirmed(&self) -> Option<Duration> {
        None
    }
}

/// Classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Outcome of the attempt once the response is complete.
    pub outcome: Outcome,
    /// Whether the response is unusable: its body is not read and its connection is closed.
    pub unusable: bool,
    /// Whether the response may be passed to the client. With [`Outcome::Error`] it is used only if no attempt gives a
    /// better one.
    pub given: bool,
    /// Whether clients take the status as an assertion that the request has not run and never will.
    pub asserts_not_run: bool,
    /// Whether the response has no body by its method or status, whatever its length headers say.
    pub bodiless: bool,
    /// The server's idle timeout, ms, if it states one.
    pub keeps: Option<Millis>,
}

impl Verdict {
    /// A usable response with a body, passed to the client if `outcome` is [`Outcome::Ok`].
    pub fn new(outcome: Outcome) -> Self {
        Verdict {
            outcome,
            unusable: false,
            given: outcome == Outcome::Ok,
            asserts_not_run: false,
            bodiless: false,
            keeps: None,
        }
    }

    /// An unusable response.
    pub fn unusable(outcome: Outcome) -> Self {
        Verdict { unusable: true, given: false, ..Verdict::new(outcome) }
    }
}

/// Dialect of the platform's servers.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// Names of the values in a load report, in the order of the settings.
    pub report: Vec<String>,
    /// Whether the servers are any HTTP/1.1 servers, whose responses may end with their connection unannounced. On the
    /// platform a connection stays open unless its server announces the close.
    pub allows_unannounced_end: bool,
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

    fn classify(&self, _: &AttemptJob<Forward>, head: &Parts) -> Verdict {
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

    fn allows_unannounced_end(&self) -> bool {
        self.allows_unannounced_end
    }
}

const LOAD: HeaderName = HeaderName::from_static("x-backend-load");
const NOT_RUN: HeaderName = HeaderName::from_static("x-unprocessed");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// The request that is forwarded to a server.
pub struct Forward {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The forwarded headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Upload,
    /// The body's share of the memory budget.
    pub permit: Option<BodyPermit>,
}

/// State shared by all attempts.
struct Shared<D> {
    clock: Rc<dyn Clock>,
    pool: Pool,
    dialect: D,
    /// Memory budget of response bodies.
    body_budget: BodyBudget,
}

/// Upstream that reaches servers over HTTP/1.1.
pub struct Http1<D: Dialect = Platform> {
    shared: Rc<Shared<D>>,
}

/// Limits and timeouts of server connections.
#[derive(Clone, Copy, Debug)]
pub struct Connections {
    /// Idle timeout of the servers, ms.
    pub idle: Millis,
    /// Timeout of a connection attempt, ms.
    pub connect_timeout: Millis,
    /// Largest number of open connections.
    pub most: usize,
    /// Memory budget of all response bodies, KiB.
    pub bodies_kib: usize,
}

impl Http1 {
    /// Creates an upstream for the platform's servers, without connections. `report` names the values of a load report.
    pub fn new(clock: Rc<dyn Clock>, connections: Connections, report: Vec<String>) -> Self {
        let dialect = Platform { report, allows_unannounced_end: false };
        Http1::with_dialect(dialect, clock, connections)
    }
}

impl<D: Dialect> Http1<D> {
    /// Creates an upstream for servers of `dialect`, without connections.
    pub fn with_dialect(dialect: D, clock: Rc<dyn Clock>, connections: Connections) -> Self {
        let pool = Pool::new(connections, dialect.unconfirmed());
        let body_budget = BodyBudget::new(connections.bodies_kib);
        Http1 { shared: Rc::new(Shared { clock, pool, dialect, body_budget }) }
    }
}

impl<D: Dialect> Upstream for Http1<D> {
    type Request = Forward;
    type Answer = D::Answer;

    fn attempt(&self, job: AttemptJob<Forward>) -> LocalFuture<End<D::Answer>> {
        let shared = self.shared.clone();
        Box::pin(async move { run_attempt(&shared, &job).await })
    }

    fn keep_only(&self, ready: &dyn Fn(ServerId) -> bool) {
        self.shared.pool.keep_only(ready, self.shared.clock.now());
    }

    fn set_limits(&self, connections: usize, bodies_kib: usize) {
        self.shared.pool.most.set(connections);
        self.shared.body_budget.resize(bodies_kib);
    }

    fn upkeep(&self, now: Millis) {
        self.shared.pool.sweep(now);
    }
}

async fn run_attempt<D: Dialect>(shared: &Rc<Shared<D>>, job: &AttemptJob<Forward>) -> End<D::Answer> {
    let send_state = Rc::new(SendState::default());
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
            // The server began to drain while the connection was being opened.
            return End::without_answer(Outcome::ConnectFailed);
        }
        connection.wrote.set(false);
        match connection.sender.try_send_request(request(&shared.dialect, job, &send_state)).await {
            Ok(answer) => {
                // A buffered body is sent with its head, and an empty one is never polled.
                let sent = !job.request.body.is_stream() || send_state.sent.get();
                return receive(shared, job, connection, answer, sent).await;
            }
            Err(e) => {
                let wrote = connection.wrote.get();
                if !wrote && !fresh && !send_state.failed.get() {
                    // A pooled connection that closed before the first byte: nothing was sent, so another is tried.
                    continue;
                }
                return End::without_answer(send_failure(job, &send_state, wrote, e.error()));
            }
        }
    }
}

/// Returns the outcome of an attempt whose request could not be sent, or whose connection failed before a response.
/// `wrote` is set if any byte was written. From the first byte on a server that starts early may run the request; another
/// one runs it only if it has received it whole.
fn send_failure(
    job: &AttemptJob<Forward>,
    send_state: &SendState,
    wrote: bool,
    error: &hyper::Error,
) -> Outcome {
    let is_incomplete = job.request.body.is_stream() && !send_state.sent.get();
    let may_have_run = wrote && (job.starts_early || !is_incomplete);
    match (send_state.failed.get(), may_have_run) {
        // The client's body failed or its buffer was dropped, which is no fault of the server.
        (true, true) => Outcome::Cancelled,
        (true, false) => Outcome::NotSent,
        (false, true) => error_outcome(error),
        (false, false) => Outcome::ConnectFailed,
    }
}

fn request<D: Dialect>(
    dialect: &D,
    job: &AttemptJob<Forward>,
    send_state: &Rc<SendState>,
) -> hyper::Request<UploadBody<Forward>> {
    let forward = &job.request;
    let body = UploadBody::new(forward.clone(), |f| &f.body, job.progress.clone(), send_state.clone());
    let mut request = hyper::Request::new(body);
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    *request.headers_mut() = forward.headers.clone();
    dialect.address(job, request.headers_mut());
    request
}

/// Returns the outcome of an attempt that may have run and has no usable response. An unparsable response is an error of
/// a reachable server; as a reset it would count against the server as if it were gone.
fn error_outcome(e: &(dyn Error + 'static)) -> Outcome {
    match e.downcast_ref::<hyper::Error>() {
        Some(e) if !e.is_parse() && !e.is_parse_too_large() => Outcome::Reset,
        _ => Outcome::Error,
    }
}

/// Where a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseEnd {
    /// Where its head, its length or its coding says; the connection may be used again.
    Framed,
    /// With its connection.
    WithConnection,
}

/// Returns where the response ends, or `None` if that is unclear or it is longer than `longest` bytes. A response without a
/// length ends with its connection (RFC 9112, 6.3). Its head has to announce the close unless `allows_unannounced_end`.
fn response_end(
    head: &Parts,
    body: &Incoming,
    bodiless: bool,
    longest: u64,
    allows_unannounced_end: bool,
) -> Option<ResponseEnd> {
    if head.status.is_informational() || body.size_hint().lower() > longest {
        return None;
    }
    let count = |name| head.headers.get_all(name).iter().count();
    match count(CONTENT_LENGTH) + count(TRANSFER_ENCODING) {
        0 if bodiless => Some(ResponseEnd::Framed),
        0 if allows_unannounced_end || closes_connection(head) => Some(ResponseEnd::WithConnection),
        1 => Some(ResponseEnd::Framed),
        _ => None,
    }
}

/// Whether the connection closes after this response.
fn closes_connection(head: &Parts) -> bool {
    let values = head.headers.get_all(CONNECTION).iter();
    let mut options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    let mut said = |what: &[u8]| options.any(|option| option.trim_ascii().eq_ignore_ascii_case(what));
    match head.version {
        Version::HTTP_10 => !said(b"keep-alive"),
        _ => said(b"close"),
    }
}

/// Reads a response. A short one is buffered completely, as only then is it known to be complete and its connection
/// free. An unusable one closes its connection at once. A long one is streamed.
async fn receive<D: Dialect>(
    shared: &Rc<Shared<D>>,
    job: &AttemptJob<Forward>,
    connection: Connection,
    answer: Response<Incoming>,
    sent: bool,
) -> End<D::Answer> {
    let (head, mut body) = answer.into_parts();
    let dialect = &shared.dialect;
    let verdict = dialect.classify(job, &head);
    if verdict.unusable {
        return End::without_answer(verdict.outcome);
    }
    let allows_unannounced_end = dialect.allows_unannounced_end();
    let Some(end) = response_end(&head, &body, verdict.bodiless, dialect.longest(), allows_unannounced_end)
    else {
        return End::without_answer(Outcome::Error);
    };
    let load = dialect.load(&head.headers);
    let most = dialect.held();
    let permit = shared.body_budget.acquire_buffered(body.size_hint().exact(), most).await;
    let held = match buffer_body(&mut body, most).await {
        Ok(held) => held,
        Err(e) => return End { load, ..End::without_answer(error_outcome(&e)) },
    };

    // If the response came before the request was sent completely, the rest of the request still follows, so the
    // connection cannot be reused.
    let is_reusable = end == ResponseEnd::Framed && !closes_connection(&head) && sent;
    let kept = is_reusable.then(|| PoolReturn {
        shared: shared.clone(),
        server: job.server,
        may_send: job.may_send.clone(),
        keeps: verdict.keeps,
    });
    let response = ActiveResponse { connection, kept };
    let body = match held {
        BufferedBody::Whole(bytes) => {
            response.complete();
            Body::held(bytes, permit)
        }
        BufferedBody::Start(_) if verdict.outcome != Outcome::Ok => {
            return End { load, ..End::without_answer(Outcome::Error) }
        }
        BufferedBody::Start(held) => {
            let length = body.size_hint().exact().map(|left| left + held.len() as u64);
            let (feed, rest) = body::body_channel();
            tokio::task::spawn_local(stream_body(body, held.len() as u64, dialect.longest(), feed, response));
            Body::Stream { held, length, rest, permit }
        }
    };
    let answer = verdict.given.then(|| dialect.answer(head, body));
    End { outcome: verdict.outcome, answer, asserts_not_run: verdict.asserts_not_run, load }
}

/// The buffered part of a response body: all of a short one, or the start of a long one.
enum BufferedBody {
    Whole(Bytes),
    Start(Bytes),
}

/// Reads a body until it is complete or longer than `most` bytes. If its stated length is longer, nothing is read.
///
/// # Errors
/// The connection failed or sent an invalid body.
async fn buffer_body(body: &mut Incoming, most: usize) -> Result<BufferedBody, hyper::Error> {
    if body.size_hint().lower() > most as u64 {
        return Ok(BufferedBody::Start(Bytes::new()));
    }
    let mut start = BodyPrefix::default();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        start.push(piece);
        if start.is_longer_than(most) {
            return Ok(BufferedBody::Start(start.finish()));
        }
    }
    Ok(BufferedBody::Whole(start.finish()))
}

/// Returns a connection to the pool once its response is complete, if its server still takes requests.
struct PoolReturn<D> {
    shared: Rc<Shared<D>>,
    server: ServerId,
    may_send: Rc<dyn Fn() -> bool>,
    keeps: Option<Millis>,
}

/// A connection whose response has begun. Dropping it before the response is complete closes the connection.
struct ActiveResponse<D> {
    connection: Connection,
    kept: Option<PoolReturn<D>>,
}

impl<D> ActiveResponse<D> {
    /// Ends a complete response: pools the connection or closes it.
    fn complete(self) {
        if let Some(kept) = self.kept.filter(|kept| (kept.may_send)()) {
            let now = kept.shared.clock.now();
            kept.shared.pool.put(kept.server, self.connection, kept.keeps, now);
        }
    }
}

/// Streams a long body to `feed` with backpressure. Ends when the body is complete, the receiver is dropped, or an error
/// ([`BodyError`]) is sent in place of the rest.
async fn stream_body<D: Dialect>(
    mut body: Incoming,
    mut passed: u64,
    longest: u64,
    feed: BodySender,
    response: ActiveResponse<D>,
) {
    let why = loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(STALL_TIMEOUT, body.frame()) => frame,
            () = feed.closed() => return,
        };
        let piece = match frame {
            Err(_) => break BodyError::Stalled,
            Ok(None) => {
                response.complete();
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
        match tokio::time::timeout(STALL_TIMEOUT, feed.send(Ok(piece))).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => break BodyError::Stalled,
        }
    };
    drop(response);
    // Reports the truncation to the receiver, unless it was dropped.
    let _ = feed.send(Err(why)).await;
}

/// Returns the values of a load report in the order of the settings; empty if one is missing or out of range.
fn load_report(headers: &HeaderMap, columns: &[String]) -> Vec<f64> {
    let Some(text) = headers.get(LOAD).and_then(|v| v.to_str().ok()) else { return Vec::new() };
    let value = |column: &String| {
        let mut fields = text.split(',').filter_map(|f| f.split_once('='));
        let (_, value) = fields.find(|(name, _)| name.trim() == column)?;
        value.trim().parse::<f64>().ok().filter(|v| (0.0..=MAX_LOAD).contains(v))
    };
    columns.iter().map(value).collect::<Option<Vec<f64>>>().unwrap_or_default()
}

#[cfg(test)]
mod tests;
