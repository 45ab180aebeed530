//! Limiter inside a client application: a service that calls the servers.

use crate::extract::{Extract, PlatformPath};
use crate::start::{Builder, Place, StartError};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use oatbank_engine::body::{Body, MAX_BODY_BYTES};
use oatbank_engine::classify::{self, Rejection};
use oatbank_engine::config::Config;
use oatbank_engine::handle::{Handle, Pending};
use oatbank_engine::open_ids::{Held, OpenIds};
use oatbank_engine::ports::membership::News;
use oatbank_engine::respond;
use oatbank_engine::upstreams::http1::Forward;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tower::Service;

/// Client is a limiter as a [`tower::Service`]: each request gets one response, the same as from the daemon. The
/// service is always ready: requests over the limit are refused at once with a `Retry-After` header.
///
/// Dropping the response future cancels the request. Dropping the last clone ends the limiter.
#[derive(Clone)]
pub struct Client<E = PlatformPath> {
    handle: Handle<Forward, Body>,
    extract: E,
    open: OpenIds,
}

impl Client {
    /// Starts a limiter that classifies requests by the platform's headers and path.
    ///
    /// # Errors
    /// Fails if the settings are invalid or no thread can be started.
    pub fn start(config: Config) -> Result<Self, StartError> {
        Client::build(Builder::new(config), PlatformPath)
    }
}

impl<E: Extract> Client<E> {
    /// Starts a limiter from a builder, with its own classification.
    ///
    /// # Errors
    /// Fails if the settings are invalid or no thread can be started.
    pub fn build(builder: Builder, extract: E) -> Result<Self, StartError> {
        Ok(Client { handle: builder.client(Place::Thread)?, extract, open: OpenIds::default() })
    }

    /// Starts a limiter as a task of the caller's [`tokio::task::LocalSet`], for applications on a current-thread
    /// runtime and for tests with paused time. It ends with the set.
    ///
    /// # Errors
    /// Fails if the settings are invalid.
    ///
    /// # Panics
    /// Panics outside of a local set.
    pub fn build_here(builder: Builder, extract: E) -> Result<Self, StartError> {
        Ok(Client { handle: builder.client(Place::Here)?, extract, open: OpenIds::default() })
    }

    /// Updates the limiter's list of servers.
    pub fn tell(&self, news: News) {
        self.handle.update_members(news);
    }

    /// Refuses new requests, answers the accepted ones and ends; see [`Handle::shutdown`].
    pub async fn shutdown(&self) {
        self.handle.shutdown().await;
    }

    fn take(&self, request: Request<Bytes>) -> Result<(Pending<Forward, Body>, Held), Rejection> {
        let (head, body) = request.into_parts();
        let request = self.extract.extract(&head, self.handle.setup())?;
        if body.len() as u64 > MAX_BODY_BYTES {
            return Err(Rejection { status: StatusCode::PAYLOAD_TOO_LARGE, why: "over 64 MiB\n" });
        }
        let id = classify::single(&head.headers, &classify::CORRELATION)?.unwrap_or_default();
        let held = self.open.hold(id)?;
        let headers = classify::headers_on(&head.headers);
        let path = head.uri.path_and_query().cloned();
        let uri = path.map_or_else(|| head.uri.clone(), http::Uri::from);
        Ok((
            self.handle.call(
                request,
                Forward { method: head.method, uri, headers, body: body.into(), permit: None },
            ),
            held,
        ))
    }
}

impl<E: Extract> Service<Request<Bytes>> for Client<E> {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = ClientFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Bytes>) -> ClientFuture {
        ClientFuture(match self.take(request) {
            Ok((pending, held)) => State::Taken(pending, held),
            Err(rejection) => State::Rejected(rejection),
        })
    }
}

enum State {
    Taken(
        Pending<Forward, Body>,
        #[allow(dead_code, reason = "keeps the id reserved until the answer")] Held,
    ),
    Rejected(Rejection),
}

/// ClientFuture resolves to the response of one request.
#[must_use = "dropping the future cancels the request"]
pub struct ClientFuture(State);

impl Future for ClientFuture {
    type Output = Result<Response<Body>, Infallible>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Poll::Ready(Ok(match &mut self.0 {
            State::Rejected(rejection) => respond::rejected(*rejection),
            State::Taken(pending, _) => respond::ended(ready!(Pin::new(pending).poll(cx)), Response::new),
        }))
    }
}
