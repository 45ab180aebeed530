//! Connects the engine's HTTP front to the [`RequestHandler`].

use crate::request_handler::{IncomingRequest, RequestHandler, RoutedRequest, TRY_ID};
use http::header::HeaderName;
use http::request::Parts;
use http::{Method, Response};
use oatbank_cluster_state::state::Millis;
use oatbank_engine::body::{Body, BodyPermit, Upload};
use oatbank_engine::classify::{self, Rejection};
use oatbank_engine::front::request_progress::RequestProgress;
use oatbank_engine::front::{HeadDecision, HttpHandler};
use std::rc::Rc;

/// Hands requests from the front to the handler.
pub struct FrontAdapter(pub Rc<RequestHandler>);

impl HttpHandler for FrontAdapter {
    type Ticket = RoutedRequest;

    fn now(&self) -> Millis {
        self.0.now()
    }

    fn request_id_header(&self) -> HeaderName {
        TRY_ID
    }

    fn supports_pipelining(&self) -> bool {
        true
    }

    fn may_pipeline(&self, head: &Parts) -> bool {
        let is_plain = matches!(head.method, Method::GET | Method::HEAD);
        // Before the first edition every request is rejected and none is executed.
        is_plain && !self.0.is_at_most_once(head).unwrap_or(false)
    }

    fn check_head(&self, head: &Parts) -> Result<HeadDecision<RoutedRequest>, Rejection> {
        if classify::single(&head.headers, &TRY_ID)?.is_none_or(str::is_empty) {
            return Err(Rejection::bad("Try-Id is missing\n"));
        }
        Ok(match self.0.route(head) {
            Ok(routed) => HeadDecision::Accept(routed),
            Err(rejection) => HeadDecision::Respond(rejection.response()),
        })
    }

    async fn serve(
        &self,
        routed: RoutedRequest,
        head: Parts,
        body: Upload,
        room: Option<BodyPermit>,
        progress: RequestProgress,
    ) -> Result<Response<Body>, Rejection> {
        Ok(self.0.handle(routed, IncomingRequest { head, body, room, progress }).await)
    }
}
