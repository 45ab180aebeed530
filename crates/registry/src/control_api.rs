//! The outside calls of the core: servers, operators, and clients that ask where to go. `docs/api/control.yaml` comes
//! first; this follows it.

use crate::directory;
use crate::heartbeat;
use crate::operator_command::{Order, Refusal};
use crate::quorum_client::Council;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use miniserde::json::{Array, Number, Object, Value};
use oatbank_cluster_state::messages::LONGEST_CONFIG;
use oatbank_cluster_state::replication::Knowledge;
use oatbank_cluster_state::state::server_state;
use oatbank_config_model::Proposal;
use oatbank_config_model::{parse, Call};
use oatbank_node_runtime::error_kind::Kind;
use oatbank_node_runtime::log::{self, Few};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Longest body of a server's word, and of an order.
const LONGEST_BEAT: usize = 64 * 1024;
const LONGEST_ORDER: usize = LONGEST_CONFIG;
/// A longer one is read so far before it is refused.
const DISCARDED: usize = 64 * 1024 * 1024;
/// A body comes on within this.
const BODY_WITHIN: Duration = Duration::from_millis(4000);
/// A connection that says nothing for this long is closed.
const IDLE: Duration = Duration::from_secs(20);
/// A server that leaves is acknowledged once a majority of the core knows of it: waited for so long. Its second is for
/// us.
const SHARED_WITHIN: Duration = Duration::from_millis(650);
/// An order without a number is begun once its caller has stayed for so long: what lay in a socket while this machine
/// stood still or was cut off comes together with the end of its connection, and may have been taken back since.
const STAYS: Duration = Duration::from_millis(100);
/// Limiters are waited for so long before an order is acknowledged: as a rule all act by it sooner.
const ACTS_WITHIN: Duration = Duration::from_millis(400);
/// Connections at once.
const MOST_CALLERS: usize = 1500;
/// Clients keep an answer of the directory for so long, s.
const VALID: f64 = 2.0;

/// Answers outside calls.
pub struct Outside {
    known: Rc<Knowledge>,
    council: Rc<Council>,
    zones: Vec<String>,
    valid: f64,
    open: Cell<usize>,
    stopping: Cell<bool>,
    stops: Notify,
    few: Few,
}

/// What a call is answered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body, JSON.
    pub body: String,
}

fn object(fields: Vec<(&str, Value)>) -> Value {
    let mut object = Object::new();
    for (name, value) in fields {
        object.insert(name.to_owned(), value);
    }
    Value::Object(object)
}

fn answer(status: u16, body: String) -> Answer {
    Answer { status, body }
}

fn json(value: &Value) -> Answer {
    answer(200, miniserde::json::to_string(value))
}

fn refuse(kind: Kind, problem: impl Into<String>) -> Answer {
    let body =
        object(vec![("problem", Value::String(problem.into())), ("kind", Value::String(kind.word().into()))]);
    answer(kind.status(), miniserde::json::to_string(&body))
}

fn response(answer: Answer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Takes one off a count whichever way its holder ends.
struct Held<'a>(&'a Cell<usize>);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Outside {
    /// Answers by this knowledge.
    pub fn new(known: Rc<Knowledge>, council: Rc<Council>, zones: Vec<String>, ttl_max_s: f64) -> Rc<Self> {
        let (open, stopping, stops, few) = (Cell::new(0), Cell::new(false), Notify::new(), Few::default());
        let valid = if ttl_max_s > 0.0 { VALID.min(ttl_max_s) } else { VALID };
        Rc::new(Outside { known, council, zones, valid, open, stopping, stops, few })
    }

    /// Answers calls that come in here, for the life of the process.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open.get() < MOST_CALLERS => {
                    tokio::task::spawn_local(self.clone().connection(stream));
                }
                Ok(_) => {
                    if let Some(left_out) = self.few.may() {
                        log::warn!(
                            "calls: {} connections are open, one more closed ({} lines left out)",
                            MOST_CALLERS,
                            left_out
                        );
                    }
                }
                Err(e) => {
                    log::warn!("calls: accept: {}", e);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// From now on calls are answered and their connections closed; ends once none is open, or the time is up.
    pub async fn stop(&self, within: Duration) {
        self.stopping.set(true);
        self.stops.notify_waiters();
        let until = tokio::time::Instant::now() + within;
        while self.open.get() > 0 && tokio::time::Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        self.open.set(self.open.get() + 1);
        let _held = Held(&self.open);
        let _ = stream.set_nodelay(true);
        let heard = Rc::new(Notify::new());
        let service = service_fn(|request| {
            heard.notify_one();
            let outside = self.clone();
            async move {
                let mut answer = response(outside.answer(request).await);
                if outside.stopping.get() {
                    answer.headers_mut().insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(64 * 1024);
        let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                () = self.stops.notified() => connection.as_mut().graceful_shutdown(),
                idle = tokio::time::timeout(IDLE, heard.notified()) => {
                    if idle.is_err() {
                        connection.as_mut().graceful_shutdown();
                        let _ = tokio::time::timeout(Duration::from_secs(2), connection.as_mut()).await;
                        return;
                    }
                }
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let Some(call) = parse(head.method.as_str(), path) else {
            return refuse(Kind::Unknown, format!("no such call: {} {}", head.method, head.uri.path()));
        };
        let body = match call {
            Call::Beat(_) => collect(body, LONGEST_BEAT).await,
            Call::Replace | Call::Change => collect(body, LONGEST_ORDER).await,
            _ => Ok(Bytes::new()),
        };
        match body {
            Ok(body) => self.carry_out(call, &body).await,
            Err(e) => e,
        }
    }

    /// Carries a call out, its body read whole.
    pub async fn carry_out(&self, call: Call, body: &[u8]) -> Answer {
        match call {
            Call::Beat(id) => self.beat(&id, body).await,
            Call::Leave(id) => self.leave(&id).await,
            Call::Replace => self.settings(body, Proposal::replace).await,
            Call::Change => self.settings(body, Proposal::change).await,
            Call::Read => self.read().await,
            Call::EmptyBegin(zone) => self.empty(zone, true).await,
            Call::EmptyEnd(zone) => self.empty(zone, false).await,
            Call::Lookup { region, zone, .. } => self.lookup(&zone, &region),
            Call::Ready => answer(200, "{}".into()),
        }
    }

    // ---- Servers ------------------------------------------------------------------------------

    async fn beat(&self, id: &str, body: &[u8]) -> Answer {
        let row = match heartbeat::read(id, body) {
            Ok(row) => row,
            Err(problem) => return refuse(Kind::Invalid, problem),
        };
        let leaves = row.state != server_state::READY;
        if !self.known.is_settled() && !leaves {
            // Nothing says when it was sent: a server that has ended since would be taken for one that lives.
            return refuse(Kind::Starting, "this core machine stood still");
        }
        // Also out of touch: limiters that reach nobody else act by it.
        self.known.server(&row);
        if !self.council.is_alone() && !self.known.in_touch() {
            // What is told here reaches nobody, and its silence elsewhere would be taken for its end.
            return refuse(Kind::Starting, "this core machine is in touch with no majority");
        }
        if leaves && !self.shared(id).await {
            return refuse(Kind::Busy, "no majority of the core has taken it in");
        }
        answer(200, "{}".into())
    }

    async fn leave(&self, id: &str) -> Answer {
        self.known.change(|book, now| book.leaves(now, id));
        if self.shared(id).await {
            answer(200, "{}".into())
        } else {
            refuse(Kind::Busy, "no majority of the core has taken it in")
        }
    }

    /// Whether a majority of the core knows what this server said last: what is acknowledged must not end with this
    /// machine, nor stay on the smaller side of a cut. Such words are never taken back, so no clock is asked.
    async fn shared(&self, id: &str) -> bool {
        let since = self.known.with(|book, _| book.changed_at(id));
        self.known.wait_for(SHARED_WITHIN, |seen| self.council.is_shared(seen, since)).await
    }

    // ---- Operators ----------------------------------------------------------------------------

    async fn settings(
        &self,
        body: &[u8],
        read: fn(&[u8]) -> Result<Proposal, oatbank_config_model::Invalid>,
    ) -> Answer {
        match read(body) {
            Ok(proposal) => self.order(Order::Settings(proposal)).await,
            Err(e) => {
                log::info!("order: refused, {}", e);
                refuse(Kind::Invalid, e.to_string())
            }
        }
    }

    async fn empty(&self, zone: String, begin: bool) -> Answer {
        if !self.zones.contains(&zone) {
            return refuse(
                Kind::Unknown,
                format!("no such zone: {zone}; there are {}", self.zones.join(", ")),
            );
        }
        // Where the connection ends, this is dropped.
        tokio::time::sleep(STAYS).await;
        self.order(Order::Empty { zone, begin }).await
    }

    async fn order(&self, order: Order) -> Answer {
        let what = match &order {
            Order::Settings(proposal) => format!("r{}", proposal.version()),
            Order::Empty { zone, begin } => {
                format!("zone {zone} {}", if *begin { "empty" } else { "taken back" })
            }
        };
        match self.council.order(&order).await {
            Ok(edition) => {
                let behind = self.known.acts(ACTS_WITHIN, edition).await;
                match behind.first() {
                    None => log::info!("order: {} in force, edition {}, all limiters act by it", what, edition),
                    Some(one) => log::info!(
                        "order: {} in force, edition {}; {} limiters are not known to act by it yet, {} among them",
                        what,
                        edition,
                        behind.len(),
                        one
                    ),
                }
                answer(200, "{}".into())
            }
            Err(Refusal { kind, problem }) => {
                log::info!("order: {} not taken, {}: {}", what, kind.word(), problem);
                refuse(kind, problem)
            }
        }
    }

    async fn read(&self) -> Answer {
        match self.council.newest().await {
            Ok(decided) if decided.config.is_empty() => {
                refuse(Kind::Unknown, "there is no configuration yet")
            }
            Ok(decided) => answer(200, decided.config.clone()),
            Err(Refusal { kind, problem }) => refuse(kind, problem),
        }
    }

    // ---- Clients ------------------------------------------------------------------------------

    fn lookup(&self, zone: &str, region: &str) -> Answer {
        let fronts = self.known.with(|book, now| directory::fronts(book.members(now), zone, region));
        if fronts.is_empty() {
            return refuse(Kind::Starting, "no limiter is ready, as far as is known here");
        }
        let mut addresses = Array::new();
        fronts.into_iter().for_each(|front| addresses.push(Value::String(front)));
        let valid = Value::Number(Number::F64(self.valid));
        json(&object(vec![("addresses", Value::Array(addresses)), ("validS", valid)]))
    }
}

/// Reads a body whole. One that is too long is read to its end all the same, up to a bound: who is still sending when
/// the connection ends never hears why.
async fn collect(mut body: Incoming, most: usize) -> Result<Bytes, Answer> {
    let reading = async {
        let (mut held, mut length) = (Vec::new(), 0);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| refuse(Kind::Invalid, "the body is not whole"))?;
            let Some(data) = frame.data_ref() else { continue };
            length += data.len();
            match length {
                0.. if length <= most => held.extend_from_slice(data),
                0..DISCARDED => held = Vec::new(),
                _ => break,
            }
        }
        if length > most {
            return Err(refuse(Kind::TooLong, format!("the body is longer than {most} bytes")));
        }
        Ok(held.into())
    };
    let late = |_| refuse(Kind::TooSlow, "the body does not get on");
    tokio::time::timeout(BODY_WITHIN, reading).await.map_err(late)?
}
