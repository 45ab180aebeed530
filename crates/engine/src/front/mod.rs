//! The HTTP front: accepts client connections, reads requests and writes one answer to each.
//!
//! Requests are handled by an [`HttpHandler`]. The front rejects ambiguous requests, closes slow or silent connections
//! so that they block no others, and ends a connection whose answer breaks off.

pub mod connection_ends;
mod heads;
mod monitored_stream;
mod peer;
mod pipelined;
mod receive;
mod recent_bytes;
pub mod request_progress;
mod sequential;

use crate::body::{Body, BodyBudget, BodyPermit, Upload, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::classify::Rejection;
use connection_ends::ConnectionEnds;
use http::request::Parts;
use http::{Method, Response, StatusCode, Uri};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, HOST};
use oatbank_limiter_core::interface::Millis;
use oatbank_operations::budget::Budget;
use peer::{Peer, Phase};
use request_progress::RequestProgress;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Pause after a failed accept: without free file descriptors it would fail again at once and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a request waits for a body permit.
const BODY_PERMIT_TIMEOUT: Duration = Duration::from_millis(1000);
const CONNECT_UNSUPPORTED: Rejection = Rejection { status: StatusCode::NOT_IMPLEMENTED, why: "no tunnels\n" };
const NO_BODY_MEMORY: Rejection =
    Rejection { status: StatusCode::SERVICE_UNAVAILABLE, why: "too many long bodies at once\n" };
/// How much longer than stated an idle connection stays open, ms: an answer and the next request are on the way in it.
const IDLE_MARGIN: Millis = 3000.0;
/// Shortest idle time that clients are told, ms.
const MIN_STATED_IDLE: Millis = 1000.0;
/// Interval between checks for stalled connections.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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

impl FrontLimits {
    /// Idle time in whole seconds that clients are told a connection stays open: less than it does, so that a request
    /// sent within it does not cross the close.
    pub(crate) fn stated_idle_s(&self) -> u64 {
        ((self.idle_timeout - IDLE_MARGIN).max(MIN_STATED_IDLE) / 1000.0) as u64
    }
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
        let candidates = peers
            .values()
            .filter(|p| !p.is_drop_requested())
            .filter_map(|p| Some((p.eviction_score(now)?, p)));
        match candidates.max_by(|(a, _), (b, _)| a.total_cmp(b)) {
            // An idle connection is closed gracefully, so that a request that has just arrived is not lost.
            Some((_, peer)) if peer.phase.get() == Phase::Idle => peer.request_close(),
            Some((_, peer)) => peer.request_drop(),
            None => return false,
        }
        true
    }

    /// Closes connections that make no progress, for the life of the process.
    pub async fn close_stalled_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(STALL_CHECK_INTERVAL).await;
            self.close_stalled();
        }
    }

    /// Closes the connections that make no progress now.
    pub fn close_stalled(&self) {
        let now = self.handler.now();
        for peer in self.peers.borrow().values().filter(|p| now - p.phase_since.get() > p.time_limit()) {
            match peer.phase.get() {
                Phase::Idle => peer.request_close(),
                _ => peer.request_drop(),
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
        let peer = Rc::new(Peer::new(self.limits, self.handler.now(), buffer));
        let _listed = ConnectionEntry::new(self.clone(), number, peer.clone());
        let stream = Rc::new(stream);
        if self.handler.supports_pipelining() {
            pipelined::serve(self.clone(), stream, peer).await;
        } else {
            sequential::serve(self.clone(), stream, peer, buffer).await;
        }
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
