//! HTTP API for operators on the control address: HTTP/1.1, one call per connection.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /v1/readyz` | 200 if this process is ready to serve, else 503 |
//! | `POST /v1/servers/ID/suspend` | 200 once the server gets no new requests; 404 if it was never listed |
//! | `POST /v1/servers/ID/resume` | 200 once the server is used again; 404 if it was never listed |

use crate::fleet::Fleet;
use crate::upgrade::Upgrade;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oatbank_engine::engine::Engine;
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::Http1;
use percent_encoding::percent_decode_str;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Maximum number of open connections, for which file descriptors are reserved. Beyond it the oldest connection without
/// a complete request is closed.
pub const MAX_CALLERS: usize = 32;
/// A connection without a response after this time is closed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Additional time for calls about the fleet, whose longest proposal takes 60 s.
const FLEET_CALL_TIMEOUT: Duration = Duration::from_secs(65);
/// Maximum size of a connection's buffer, bytes.
const MAX_BUFFER_BYTES: usize = 8 * 1024;
/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Open connection of an operator.
struct Caller {
    /// Whether its request is complete and being answered, so that it is not closed for another connection.
    has_request: Cell<bool>,
    close: Notify,
}

/// Server of the control address.
pub struct Control {
    engine: Rc<Engine<Http1>>,
    upgrade: OnceCell<Rc<Upgrade>>,
    fleet: OnceCell<Rc<Fleet>>,
    callers: RefCell<VecDeque<Rc<Caller>>>,
}

impl Control {
    /// Listens at `address` and starts to accept calls.
    ///
    /// # Errors
    /// If the address cannot be bound; the message names the key.
    pub fn start(address: SocketAddr, engine: Rc<Engine<Http1>>) -> std::io::Result<Rc<Self>> {
        let named = |e: std::io::Error| std::io::Error::new(e.kind(), format!("control {address}: {e}"));
        let listener = Rc::new(crate::serve::bind(address).map_err(named)?);
        tracing::info!("operators call at {}", listener.local_addr()?);
        let control = Rc::new(Control {
            engine,
            upgrade: OnceCell::new(),
            fleet: OnceCell::new(),
            callers: RefCell::default(),
        });
        let accepting = control.clone();
        keep_running("control", move || accepting.clone().accept(listener.clone()));
        Ok(control)
    }

    /// Sends suspend and resume calls to the other processes of an upgrade before they are answered.
    pub fn set_upgrade(&self, upgrade: Rc<Upgrade>) {
        let _ = self.upgrade.set(upgrade);
    }

    /// Enables calls about the fleet.
    pub fn set_fleet(&self, fleet: Rc<Fleet>) {
        let _ = self.fleet.set(fleet);
    }

    async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.close_oldest_idle_caller();
                    let caller = Rc::new(Caller { has_request: Cell::new(false), close: Notify::new() });
                    self.callers.borrow_mut().push_back(caller.clone());
                    tokio::task::spawn_local(self.clone().serve(stream, caller));
                }
                Err(e) => {
                    tracing::warn!("control: accept: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Closes the oldest connection without a complete request if there are too many.
    fn close_oldest_idle_caller(&self) {
        let mut callers = self.callers.borrow_mut();
        if callers.len() >= MAX_CALLERS {
            let silent = callers.iter().position(|c| !c.has_request.get());
            if let Some(caller) = silent.and_then(|i| callers.remove(i)) {
                caller.close.notify_one();
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, caller: Rc<Caller>) {
        // A response is one small write and must not be delayed.
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            caller.has_request.set(true);
            let control = self.clone();
            async move { Ok::<_, Infallible>(control.answer(request).await) }
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(MAX_BUFFER_BYTES);
        {
            let connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
            tokio::select! {
                _ = connection => {}
                () = caller.close.notified() => {}
                () = self.call_timeout(&caller) => {}
            }
        }
        self.callers.borrow_mut().retain(|c| !Rc::ptr_eq(c, &caller));
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        if let (["v1", "fleet", call @ ..], Some(fleet)) = (parts.as_slice(), self.fleet.get()) {
            let answer = fleet.answer(request, call).await;
            let (status, text) = answer.unwrap_or((StatusCode::NOT_FOUND, "no such call\n".into()));
            return text_response(status, text);
        }
        match parts.as_slice() {
            ["v1", "readyz"] => match *request.method() {
                Method::GET | Method::HEAD => self.ready(),
                _ => not_allowed("GET, HEAD"),
            },
            ["v1", "servers", id, call @ ("suspend" | "resume")] => match *request.method() {
                Method::POST => self.set_suspended_state(id, *call == "suspend").await,
                _ => not_allowed("POST"),
            },
            _ => text_response(StatusCode::NOT_FOUND, "no such call\n".into()),
        }
    }

    /// Completes when the connection has to be closed. Calls of a fleet limiter get [`FLEET_CALL_TIMEOUT`] more once their
    /// request is complete, as each of them has a timeout of its own.
    async fn call_timeout(&self, caller: &Caller) {
        tokio::time::sleep(CALL_TIMEOUT).await;
        if self.fleet.get().is_some() && caller.has_request.get() {
            tokio::time::sleep(FLEET_CALL_TIMEOUT).await;
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if self.engine.is_ready() {
            text_response(StatusCode::OK, "ready\n".into())
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "starting\n".into())
        }
    }

    async fn set_suspended_state(&self, id: &str, out: bool) -> Response<Full<Bytes>> {
        let Ok(id) = percent_decode_str(id).decode_utf8() else {
            return text_response(StatusCode::BAD_REQUEST, "the id is not UTF-8\n".into());
        };
        let (call, state) = if out { ("suspend", "out") } else { ("resume", "in") };
        match self.engine.set_suspended(&id, out) {
            Ok(()) => {
                tracing::info!(server = %id, call, "control: {call} {id}");
                if let Some(upgrade) = self.upgrade.get() {
                    upgrade.publish().await;
                }
                text_response(StatusCode::OK, format!("{id} is {state}\n"))
            }
            Err(e) => {
                tracing::warn!(server = %id, call, "control: {call} {id}: {e}");
                text_response(StatusCode::NOT_FOUND, format!("{id}: {e}\n"))
            }
        }
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

fn not_allowed(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, format!("allowed: {allowed}\n"));
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}
