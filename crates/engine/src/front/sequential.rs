//! Connections that serve one request at a time, by way of the HTTP library, for handlers without pipelining.

use super::heads::{self, KEEP_ALIVE};
use super::monitored_stream::MonitoredStream;
use super::peer::EndRequest;
use super::request_progress::RequestProgress;
use super::{closing, receive, unread, Front, HeadDecision, HttpHandler, Peer, Phase};
use super::{BODY_PERMIT_TIMEOUT, CONNECT_UNSUPPORTED, NO_BODY_MEMORY};
use crate::body::{Body, BodyError, BodyPermit, Upload};
use crate::classify::{self, Rejection};
use crate::respond;
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

/// Serves a connection to its end, with a parser that has a buffer of this many bytes.
pub(super) async fn serve<D: HttpHandler>(
    front: Rc<Front<D>>,
    stream: Rc<TcpStream>,
    peer: Rc<Peer>,
    buffer_bytes: usize,
) {
    let watched =
        MonitoredStream { stream: stream.clone(), peer: peer.clone(), handler: front.handler.clone() };
    let service = service_fn(|request| {
        let connection = Connection { front: front.clone(), peer: peer.clone() };
        async move { Ok::<_, Infallible>(connection.serve_request(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(buffer_bytes);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(watched), service));
    loop {
        tokio::select! {
            _ = connection.as_mut() => {
                if peer.response_cut.get() {
                    // Resets the connection, or the answer would look complete.
                    let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                }
                return;
            }
            () = peer.close_requested.notified() => {
                match peer.take_end_request(&stream) {
                    EndRequest::Drop => return,
                    EndRequest::Outdated => continue,
                    EndRequest::CloseIfIdle => {}
                }
                // A request that has begun to arrive is read and answered first.
                let begun = peer.phase.get() == Phase::Reading && peer.has_sent.get();
                if !(begun || unread(&stream)) {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

struct Connection<D> {
    front: Rc<Front<D>>,
    peer: Rc<Peer>,
}

impl<D: HttpHandler> Connection<D> {
    fn now(&self) -> f64 {
        self.front.handler.now()
    }

    async fn serve_request(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let is_http10 = request.version() == Version::HTTP_10;
        let is_last = is_http10 || heads::connection_has(request.headers(), "close");
        let mut answer = self.answer(request).await;
        if !is_last && !heads::connection_has(answer.headers(), "close") {
            self.state_idle_time(answer.headers_mut());
        }
        self.peer.enter(Phase::Writing, self.now());
        answer.map(|body| ResponseBody::new(body, is_http10, self.peer))
    }

    /// States how long the connection stays open, so that the client sends nothing that crosses its close.
    fn state_idle_time(&self, headers: &mut HeaderMap) {
        headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
        let timeout = format!("timeout={}", self.front.limits.stated_idle_s());
        if let Ok(value) = HeaderValue::try_from(timeout) {
            headers.insert(KEEP_ALIVE, value);
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let mut response = match self.handle(request).await {
            Ok(response) => response,
            // The bytes after an unusable request cannot be interpreted.
            Err(bad) => {
                tracing::debug!(status = bad.status.as_u16(), "rejected: {}", bad.why.trim_end());
                closing(respond::rejected(bad))
            }
        };
        // If no connection can be evicted, keeping this one open would lock out waiting clients.
        if self.front.stopping.get() || self.front.saturated.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers one request. The error is the answer to a request that is rejected before it is handled.
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Rejection> {
        let (mut head, body) = request.into_parts();
        check_framing(&head.headers, &*self.front.handler, &self.peer)?;
        let ticket = match self.front.decide_head(&mut head)? {
            HeadDecision::Respond(answer) => {
                self.peer.enter(Phase::Busy, self.now());
                return Ok(answer);
            }
            HeadDecision::Accept(ticket) => ticket,
        };
        if head.method == Method::CONNECT {
            return Err(CONNECT_UNSUPPORTED);
        }
        let (body, permit) = self.receive(body).await?;
        self.peer.enter(if body.is_stream() { Phase::Passing } else { Phase::Busy }, self.now());
        self.front.handler.serve(ticket, head, body, permit, RequestProgress::default()).await
    }

    async fn receive(&self, body: Incoming) -> Result<(Upload, Option<BodyPermit>), Rejection> {
        let (front, peer) = (&self.front, &self.peer);
        peer.enter(Phase::Uploading, self.now());
        peer.uploading.set(true);
        let length = if body.is_end_stream() { Some(0) } else { body.size_hint().exact() };
        let permit = tokio::time::timeout(
            BODY_PERMIT_TIMEOUT,
            front.body_budget.acquire_buffered(length, front.limits.max_buffered_bytes),
        )
        .await;
        let permit = permit.map_err(|_| {
            peer.uploading.set(false);
            NO_BODY_MEMORY
        })?;
        let (handler, uploading) = (front.handler.clone(), peer.clone());
        let upload =
            receive::receive(body, front.limits, move || uploading.on_upload_end(handler.now())).await;
        // A rejected body is answered and its connection is closed.
        upload.map(|upload| (upload, permit)).inspect_err(|_| peer.uploading.set(false))
    }
}

/// Body of an answer that is being written to a client.
struct ResponseBody {
    body: Body,
    /// Whether its end may be marked by the end of the connection.
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

/// Rejects ambiguous framing, which may hide a second request (request smuggling): a length together with a transfer
/// coding, or a coding other than `chunked`.
fn check_framing<D: HttpHandler>(headers: &HeaderMap, handler: &D, peer: &Peer) -> Result<(), Rejection> {
    if headers.contains_key(TRANSFER_ENCODING) {
        let coding = classify::single(headers, &TRANSFER_ENCODING)?.unwrap_or_default();
        if !coding.trim().eq_ignore_ascii_case("chunked") {
            return Err(Rejection {
                status: StatusCode::NOT_IMPLEMENTED,
                why: "no other coding than chunked\n",
            });
        }
        // The parser hides a length that follows the coding, so the received bytes are searched. The request's id
        // locates its head.
        let id = classify::single(headers, &handler.request_id_header())?.unwrap_or_default();
        if headers.contains_key(CONTENT_LENGTH) || !peer.recent_bytes.borrow().has_no_length(id.as_bytes()) {
            return Err(Rejection::bad("Content-Length beside Transfer-Encoding\n"));
        }
    }
    classify::single(headers, &HOST).map(|_| ())
}
