//! Layer for applications that serve requests themselves: their handler is the only server.

use crate::extract::{Extract, PlatformHeaders};
use crate::start::{Builder, Place, StartError};
use http::{Request, Response, StatusCode};
use oatbank_engine::config::Config;
use oatbank_engine::direct::{Admission, Direct, Permit};
use oatbank_engine::engine::Answer;
use oatbank_engine::handle::CallResult;
use oatbank_engine::respond;
use oatbank_limiter_core::interface::Outcome;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::{pin, Pin};
use std::task::{Context, Poll};
use tower::{Layer, Service, ServiceExt};

/// LimitLayer decides which requests reach the application's handler, and how many run at once.
///
/// | the handler | counts as | the client gets |
/// | --- | --- | --- |
/// | answers, status under 500 | served | that answer |
/// | answers 503 with `X-Unprocessed: 1` | refused without running | that answer |
/// | answers any other status from 500 on | an error that may have run | that answer |
/// | returns an error, or panics | an error that may have run | the error; 502 |
/// | gives no answer in time (by the aim, where a late answer is worthless) | timed out; its future is dropped | 504, or 429 if the class is safe |
///
/// A client that disconnects drops the handler's future, which counts as one that may have run. The handler runs on
/// the application's runtime: if it blocks, no answer is given before it returns.
#[derive(Clone, Debug)]
pub struct LimitLayer<E = PlatformHeaders> {
    limiter: Direct,
    extract: E,
}

impl LimitLayer {
    /// Starts a limiter that classifies requests by the platform's headers. The configured servers are not used.
    ///
    /// # Errors
    /// Fails if the settings are invalid or no thread can be started.
    pub fn start(config: Config) -> Result<Self, StartError> {
        LimitLayer::build(Builder::new(config), PlatformHeaders)
    }
}

impl<E: Extract> LimitLayer<E> {
    /// Starts a limiter from a builder, with its own classification.
    ///
    /// # Errors
    /// Fails if the settings are invalid or no thread can be started.
    pub fn build(builder: Builder, extract: E) -> Result<Self, StartError> {
        Ok(LimitLayer { limiter: builder.layer(Place::Thread)?, extract })
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
        Ok(LimitLayer { limiter: builder.layer(Place::Here)?, extract })
    }

    /// Refuses new requests, answers the accepted ones and ends; see [`Direct::shutdown`].
    pub async fn shutdown(&self) {
        self.limiter.shutdown().await;
    }
}

impl<S, E: Clone> Layer<S> for LimitLayer<E> {
    type Service = Limit<S, E>;

    fn layer(&self, inner: S) -> Limit<S, E> {
        Limit { inner, limiter: self.limiter.clone(), extract: self.extract.clone() }
    }
}

/// Limit is a handler behind a [`LimitLayer`].
#[derive(Clone, Debug)]
pub struct Limit<S, E = PlatformHeaders> {
    inner: S,
    limiter: Direct,
    extract: E,
}

type Boxed<T> = Pin<Box<dyn Future<Output = T> + Send>>;

impl<S, E, B, R> Service<Request<B>> for Limit<S, E>
where
    S: Service<Request<B>, Response = Response<R>> + Clone + Send + 'static,
    S::Future: Send,
    S::Error: Send,
    E: Extract,
    B: Send + 'static,
    R: From<&'static str> + Send + 'static,
{
    type Response = Response<R>;
    type Error = S::Error;
    type Future = Boxed<Result<Response<R>, S::Error>>;

    /// Always ready: an admitted request waits for the handler's readiness within its deadline.
    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let (head, body) = request.into_parts();
        let told = match self.extract.extract(&head, self.limiter.setup()) {
            Ok(told) => told,
            Err(rejection) => return Box::pin(async move { Ok(respond::rejected(rejection)) }),
        };
        let inner = self.inner.clone();
        let (pending, permit) = self.limiter.call(told);
        Box::pin(async move {
            let mut pending = pin!(pending);
            let permit = match admitted(pending.as_mut(), permit).await {
                Ok(permit) => permit,
                Err(ended) => return Ok(respond::ended(ended, |()| unserved())),
            };
            run(inner, Request::from_parts(head, body), pending, permit).await
        })
    }
}

/// Waits for the permit to run the handler; returns the final result if the request ends without one.
async fn admitted(
    mut pending: Pin<&mut Admission>,
    permit: tokio::sync::oneshot::Receiver<Permit>,
) -> Result<Permit, CallResult<()>> {
    tokio::select! {
        biased;
        Ok(permit) = permit => Ok(permit),
        ended = pending.as_mut() => Err(ended),
    }
}

/// Runs the handler until it ends or its deadline passes, and reports the outcome to the limiter.
async fn run<S, B, R>(
    inner: S,
    request: Request<B>,
    pending: Pin<&mut Admission>,
    permit: Permit,
) -> Result<Response<R>, S::Error>
where
    S: Service<Request<B>, Response = Response<R>>,
    R: From<&'static str>,
{
    let handled = tokio::select! {
        biased;
        handled = unpanicked(inner, request) => handled,
        // Before the handler ends, the engine answers only when the deadline has passed or the engine shuts down.
        ended = pending => return Ok(respond::ended(ended, |()| unserved())),
    };
    match handled {
        Some(Ok(response)) => {
            permit.ended(outcome(&response));
            Ok(response)
        }
        Some(Err(e)) => {
            permit.ended(Outcome::Error);
            Err(e)
        }
        None => {
            permit.ended(Outcome::Error);
            Ok(respond::ended(CallResult::Answered(Answer::<()>::Failed), |()| unserved()))
        }
    }
}

/// Returns the handler's result, or `None` if its call or its future panicked.
async fn unpanicked<S, B, R>(inner: S, request: Request<B>) -> Option<Result<Response<R>, S::Error>>
where
    S: Service<Request<B>, Response = Response<R>>,
{
    let mut handling = pin!(inner.oneshot(request));
    // Unwind-safe: after a panic the future is dropped and never polled again.
    poll_fn(|cx| match catch_unwind(AssertUnwindSafe(|| handling.as_mut().poll(cx))) {
        Ok(poll) => poll.map(Some),
        Err(_) => {
            tracing::error!("the handler panicked");
            Poll::Ready(None)
        }
    })
    .await
}

fn outcome<R>(response: &Response<R>) -> Outcome {
    let status = response.status();
    let not_run = response.headers().get("x-unprocessed").is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE if not_run => Outcome::Full,
        _ if status.is_server_error() => Outcome::Error,
        _ => Outcome::Ok,
    }
}

/// Response for a call that the engine reports as served although the handler was not: a defect. The handler may
/// have run.
fn unserved<R: From<&'static str>>() -> Response<R> {
    respond::ended(CallResult::Answered(Answer::<()>::Failed), |()| Response::new(R::from("")))
}
