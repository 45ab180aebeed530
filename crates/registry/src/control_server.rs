//! Serves [`ControlApi`] over HTTP/1: connections, request bodies and the shutdown.

use crate::api_answer::ApiAnswer;
use crate::control_api::ControlApi;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oatbank_cluster_state::messages::MAX_CONFIG_BYTES;
use oatbank_config_model::{parse_call, ApiCall};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_node_runtime::log::{self, RateLimitedLog};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Maximum length of a heartbeat's body, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;
/// Maximum length of a command's body, in bytes.
const MAX_COMMAND_BYTES: usize = MAX_CONFIG_BYTES;
/// A body that is too long is read and discarded up to this many bytes, because a caller that is still sending would not
/// see the error.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_millis(4000);
/// A connection is closed after this time without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for closing an idle connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1500;
/// Delay after a failed accept, and interval between checks during a shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The HTTP server of the API.
pub struct ControlServer {
    api: Rc<ControlApi>,
    open_connections: Cell<usize>,
    is_shutting_down: Cell<bool>,
    shutdown: Notify,
    log_limit: RateLimitedLog,
}

/// Guard that counts an open connection, and stops counting it when dropped.
struct OpenConnection<'a>(&'a Cell<usize>);

impl<'a> OpenConnection<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        OpenConnection(count)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ControlServer {
    /// Creates a server of `api` without connections.
    pub fn new(api: Rc<ControlApi>) -> Rc<Self> {
        Rc::new(ControlServer {
            api,
            open_connections: Cell::new(0),
            is_shutting_down: Cell::new(false),
            shutdown: Notify::new(),
            log_limit: RateLimitedLog::default(),
        })
    }

    /// Accepts and serves connections for the life of the process. Connections above the limit are closed at once.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open_connections.get() < MAX_CONNECTIONS => {
                    tokio::task::spawn_local(self.clone().serve_connection(stream));
                }
                Ok(_) => {
                    if let Some(suppressed) = self.log_limit.allow() {
                        log::warn!(
                            "api: limit of {} open connections reached, closed a new one ({} lines suppressed)",
                            MAX_CONNECTIONS,
                            suppressed
                        );
                    }
                }
                Err(error) => {
                    log::warn!("api: accept: {}", error);
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Closes each connection after its current call. Returns once none is open, at the latest after `within`.
    pub async fn shut_down(&self, within: Duration) {
        self.is_shutting_down.set(true);
        self.shutdown.notify_waiters();
        let until = tokio::time::Instant::now() + within;
        while self.open_connections.get() > 0 && tokio::time::Instant::now() < until {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _open = OpenConnection::new(&self.open_connections);
        let _ = stream.set_nodelay(true);
        let requested = Rc::new(Notify::new());
        let service = service_fn(|request| {
            requested.notify_one();
            let server = self.clone();
            async move {
                let mut response = into_response(server.answer(request).await);
                if server.is_shutting_down.get() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
        loop {
            tokio::select! {
                _ = connection.as_mut() => return,
                () = self.shutdown.notified() => connection.as_mut().graceful_shutdown(),
                idle = tokio::time::timeout(IDLE_TIMEOUT, requested.notified()) => {
                    if idle.is_err() {
                        connection.as_mut().graceful_shutdown();
                        let _ = tokio::time::timeout(CLOSE_TIMEOUT, connection.as_mut()).await;
                        return;
                    }
                }
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> ApiAnswer {
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let Some(call) = parse_call(head.method.as_str(), path) else {
            let problem = format!("no such call: {} {}", head.method, head.uri.path());
            return ApiAnswer::error(ErrorKind::NotFound, problem);
        };
        let body = match call {
            ApiCall::Heartbeat(_) => read_body(body, MAX_HEARTBEAT_BYTES).await,
            ApiCall::Replace | ApiCall::Change => read_body(body, MAX_COMMAND_BYTES).await,
            _ => Ok(Bytes::new()),
        };
        match body {
            Ok(body) => self.api.carry_out(call, &body).await,
            Err(answer) => answer,
        }
    }
}

fn into_response(answer: ApiAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Reads a complete body. One longer than `max_bytes` is read to its end and discarded, up to [`MAX_DISCARDED_BYTES`], because
/// a caller that is still sending when the connection closes does not see the error.
async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, ApiAnswer> {
    let reading = async {
        let (mut bytes, mut length) = (Vec::new(), 0);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ApiAnswer::error(ErrorKind::Invalid, "the body is incomplete"))?;
            let Some(data) = frame.data_ref() else { continue };
            length += data.len();
            if length <= max_bytes {
                bytes.extend_from_slice(data);
            } else if length < MAX_DISCARDED_BYTES {
                bytes = Vec::new();
            } else {
                break;
            }
        }
        if length > max_bytes {
            let problem = format!("the body is longer than {max_bytes} bytes");
            return Err(ApiAnswer::error(ErrorKind::TooLong, problem));
        }
        Ok(bytes.into())
    };
    let too_slow = |_| ApiAnswer::error(ErrorKind::TooSlow, "the body was not received in time");
    tokio::time::timeout(BODY_TIMEOUT, reading).await.map_err(too_slow)?
}
