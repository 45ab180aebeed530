//! Connects the engine's HTTP front to the [`RequestHandler`].

use crate::request_handler::{IncomingRequest, RequestHandler, RoutedRequest, TRY_ID};
use http::header::HeaderName;
use http::request::Parts;
use http::{Method, Response};
use oatbank_cluster_state::state::Millis;
use oatbank_engine::body::{Body, Room, Upload};
use oatbank_engine::classify::{self, Rejection};
use oatbank_engine::front::{Desk, Judged};
use std::rc::Rc;

/// Hands requests from the front to the handler.
pub struct FrontAdapter(pub Rc<RequestHandler>);

impl Desk for FrontAdapter {
    type Ticket = RoutedRequest;

    fn now(&self) -> Millis {
        self.0.now()
    }

    fn names_requests_by(&self) -> HeaderName {
        TRY_ID
    }

    fn several_at_once(&self) -> bool {
        true
    }

    fn may_overtake(&self, head: &Parts) -> bool {
        let is_plain = matches!(head.method, Method::GET | Method::HEAD);
        // Before the first edition every request is rejected and none is executed.
        is_plain && !self.0.is_at_most_once(head).unwrap_or(false)
    }

    fn judge(&self, head: &Parts) -> Result<Judged<RoutedRequest>, Rejection> {
        if classify::single(&head.headers, &TRY_ID)?.is_none_or(str::is_empty) {
            return Err(Rejection::bad("Try-Id is missing\n"));
        }
        Ok(match self.0.route(head) {
            Ok(routed) => Judged::Taken(routed),
            Err(rejection) => Judged::Answer(rejection.response()),
        })
    }

    async fn serve(
        &self,
        routed: RoutedRequest,
        head: Parts,
        body: Upload,
        room: Option<Room>,
    ) -> Result<Response<Body>, Rejection> {
        Ok(self.0.handle(routed, IncomingRequest { head, body, room }).await)
    }
}
