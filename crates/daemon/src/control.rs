//! The second address, where operators call: HTTP/1.1, one call to a connection.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/readyz` | 200 if this process is ready to serve, else 503 |
//! | `POST /v1/servers/ID/suspend` | 200 once nothing new goes to that server; 404 for one that was never listed |
//! | `POST /v1/servers/ID/resume` | 200 once that server is used again; 404 likewise |

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

/// Connections that may be open; of more, the one that has said nothing whole for the longest gives way. What the
/// limits of descriptors are to spare for this address.
pub const MOST_CALLERS: usize = 32;
/// A caller that has not made its call by then is let go.
const PATIENCE: Duration = Duration::from_secs(5);
/// And one whose call concerns the fleet, after this.
const LONGEST_CALL: Duration = Duration::from_secs(65);
/// Buffer of a caller's connection.
const BUFFER: usize = 8 * 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A caller that has made no whole call yet.
struct Caller {
    /// Its call is being answered: it gives way to nobody.
    heard: Cell<bool>,
    leave: Notify,
}

/// The second address.
pub struct Control {
    engine: Rc<Engine<Http1>>,
    upgrade: OnceCell<Rc<Upgrade>>,
    fleet: OnceCell<Rc<Fleet>>,
    callers: RefCell<VecDeque<Rc<Caller>>>,
}

impl Control {
    /// Listens at `address` from now on.
    ///
    /// # Errors
    /// When the address cannot be had; names the key.
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

    /// From now on what is said here holds at other processes too, before a caller is told so.
    pub fn tell_others(&self, upgrade: Rc<Upgrade>) {
        let _ = self.upgrade.set(upgrade);
    }

    /// From now on calls about the fleet are answered.
    pub fn answer_for(&self, fleet: Rc<Fleet>) {
        let _ = self.fleet.set(fleet);
    }

    async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.make_room();
                    let caller = Rc::new(Caller { heard: Cell::new(false), leave: Notify::new() });
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

    /// Lets go of the oldest caller that has said nothing whole, if there are too many.
    fn make_room(&self) {
        let mut callers = self.callers.borrow_mut();
        if callers.len() >= MOST_CALLERS {
            let silent = callers.iter().position(|c| !c.heard.get());
            if let Some(caller) = silent.and_then(|i| callers.remove(i)) {
                caller.leave.notify_one();
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, caller: Rc<Caller>) {
        // An answer is one small write, and is wanted now.
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            caller.heard.set(true);
            let control = self.clone();
            async move { Ok::<_, Infallible>(control.answer(request).await) }
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(BUFFER);
        {
            let connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
            tokio::select! {
                _ = connection => {}
                () = caller.leave.notified() => {}
                () = self.patience(&caller) => {}
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
            return told(status, text);
        }
        match parts.as_slice() {
            ["v1", "readyz"] => match *request.method() {
                Method::GET | Method::HEAD => self.ready(),
                _ => not_allowed("GET, HEAD"),
            },
            ["v1", "servers", id, call @ ("suspend" | "resume")] => match *request.method() {
                Method::POST => self.operate(id, *call == "suspend").await,
                _ => not_allowed("POST"),
            },
            _ => told(StatusCode::NOT_FOUND, "no such call\n".into()),
        }
    }

    /// How long a caller is waited for. One whose call is heard, where calls may take their time, is not let go: each of
    /// these ends by itself.
    async fn patience(&self, caller: &Caller) {
        tokio::time::sleep(PATIENCE).await;
        if self.fleet.get().is_some() && caller.heard.get() {
            tokio::time::sleep(LONGEST_CALL).await;
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if self.engine.is_ready() {
            told(StatusCode::OK, "ready\n".into())
        } else {
            told(StatusCode::SERVICE_UNAVAILABLE, "starting\n".into())
        }
    }

    async fn operate(&self, id: &str, out: bool) -> Response<Full<Bytes>> {
        let Ok(id) = percent_decode_str(id).decode_utf8() else {
            return told(StatusCode::BAD_REQUEST, "the id is no UTF-8\n".into());
        };
        let (call, state) = if out { ("suspend", "out") } else { ("resume", "in") };
        match self.engine.set_suspended(&id, out) {
            Ok(()) => {
                tracing::info!(server = %id, call, "control: {call} {id}");
                if let Some(upgrade) = self.upgrade.get() {
                    upgrade.publish().await;
                }
                told(StatusCode::OK, format!("{id} is {state}\n"))
            }
            Err(e) => {
                tracing::warn!(server = %id, call, "control: {call} {id}: {e}");
                told(StatusCode::NOT_FOUND, format!("{id}: {e}\n"))
            }
        }
    }
}

fn told(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

fn not_allowed(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = told(StatusCode::METHOD_NOT_ALLOWED, format!("allowed: {allowed}\n"));
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}
