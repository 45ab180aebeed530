//! Handling of HTTP requests with the platform's headers.

use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use oatbank_engine::body::{Body, BodyPermit, Upload};
use oatbank_engine::classify::{self, Rejection};
use oatbank_engine::engine::{Answer, Engine};
use oatbank_engine::front::request_progress::RequestProgress;
use oatbank_engine::front::{self, HeadDecision, HttpHandler};
use oatbank_engine::open_ids::OpenIds;
use oatbank_engine::respond::{self, plain, RetryAfterFormat};
use oatbank_engine::upstreams::http1::{Forward, Http1};
use oatbank_limiter_core::interface::{Millis, Request};
use std::rc::Rc;

/// Front end with all client connections.
pub type Front = front::Front<PlatformDesk>;

/// Handler that classifies requests by the platform's headers and submits them to one engine.
pub struct PlatformDesk {
    engine: Rc<Engine<Http1>>,
    come_back: RetryAfterFormat,
    ids: OpenIds,
}

impl PlatformDesk {
    /// Creates a handler without open requests.
    pub fn new(engine: Rc<Engine<Http1>>, come_back: RetryAfterFormat) -> Self {
        PlatformDesk { engine, come_back, ids: OpenIds::default() }
    }
}

/// Classified request and the headers to forward.
pub struct Ticket {
    request: Request,
    /// Headers that are forwarded to the server.
    headers: HeaderMap,
}

impl HttpHandler for PlatformDesk {
    type Ticket = Ticket;

    fn now(&self) -> Millis {
        self.engine.now()
    }

    fn request_id_header(&self) -> HeaderName {
        classify::CORRELATION
    }

    fn check_head(&self, head: &Parts) -> Result<HeadDecision<Ticket>, Rejection> {
        if head.uri.path() == "/healthz" {
            return Ok(HeadDecision::Respond(if self.engine.is_ready() {
                plain(StatusCode::OK, "ok\n")
            } else {
                plain(StatusCode::SERVICE_UNAVAILABLE, "starting\n")
            }));
        }
        if let Some(wait) = self.engine.check_guard() {
            let refused = respond::answered(Answer::Refused(wait), self.come_back, Response::new);
            return Ok(HeadDecision::Respond(refused));
        }
        let revision = self.engine.revision();
        let mut request = classify::by_path(head, revision.names(), revision.settings())?;
        // The rules are fixed now, as the settings may change during the seconds that the body may take.
        request.rules = revision.rules(request.class);
        Ok(HeadDecision::Accept(Ticket { request, headers: classify::headers_on(&head.headers) }))
    }

    async fn serve(
        &self,
        ticket: Ticket,
        head: Parts,
        body: Upload,
        room: Option<BodyPermit>,
        _progress: RequestProgress,
    ) -> Result<Response<Body>, Rejection> {
        let Ticket { mut request, headers } = ticket;
        if head.method == Method::GET && !matches!(&body, Upload::Whole(bytes) if bytes.is_empty()) {
            return Err(Rejection::bad("no body is wanted\n"));
        }
        request.uploading = body.is_stream();
        let id = classify::single(&head.headers, &classify::CORRELATION)?.unwrap_or_default();
        let _held = self.ids.hold(id)?;
        let forward = Forward { method: head.method, uri: head.uri, headers, body, permit: room };
        let (begun, account) = (self.engine.now(), request.customer.0);
        let span = tracing::debug_span!("request", id, account);
        let answer = span.in_scope(|| self.engine.submit_and_wait(request, forward)).await;
        let ms = self.engine.now() - begun;
        span.in_scope(|| tracing::debug!(ms, outcome = answer.name(), "answered"));
        Ok(respond::answered(answer, self.come_back, Response::new))
    }
}
