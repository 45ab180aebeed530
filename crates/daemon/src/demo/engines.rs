//! Engine of the demo: an HTTP server on loopback.

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Processing time of a request.
const WORK: Duration = Duration::from_millis(8);

/// Engine and its request counts.
pub struct SmallEngine {
    pub name: String,
    pub address: SocketAddr,
    pub failing: Cell<bool>,
    pub seen: Cell<u32>,
    pub failed: Cell<u32>,
    /// Time of the last request.
    pub last: Cell<Option<Instant>>,
}

impl SmallEngine {
    /// Starts an engine on a free port, as a task of the local set.
    ///
    /// # Errors
    /// If no loopback port can be bound.
    pub async fn start(name: String) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Rc::new(SmallEngine {
            name,
            address: listener.local_addr()?,
            failing: Cell::new(false),
            seen: Cell::new(0),
            failed: Cell::new(0),
            last: Cell::new(None),
        });
        let serving = engine.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = serving.clone();
                tokio::task::spawn_local(async move {
                    let service = service_fn(|_| async { Ok::<_, Infallible>(engine.quote().await) });
                    // Connection errors are handled by the limiter.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(engine)
    }

    async fn quote(&self) -> Response<Full<Bytes>> {
        self.seen.set(self.seen.get() + 1);
        self.last.set(Some(Instant::now()));
        tokio::time::sleep(WORK).await;
        let mut response = Response::new(Full::new(Bytes::from_static(b"{\"price\": 42}")));
        if self.failing.get() {
            self.failed.set(self.failed.get() + 1);
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        response
    }
}
