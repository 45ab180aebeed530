//! Client of the platform's discovery agent: a watch over HTTP that resumes from the last known version.

use crate::ports::membership::{Member, MembershipSink, News};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oatbank_limiter_core::interface::{ServerState, Standing};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::Value;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Longest line or list that is accepted, bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Timeout of a connection attempt, of a response head and of the body of a complete list.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch that has sent nothing for this long, not even its keep-alive line (every 2 s), is reopened: the connection
/// may be dead while the agent is up, and a change that the agent has counts as delivered. While discovery itself is
/// down, the extra request does no harm.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2300);
/// First and longest delay before a retry; it doubles with each failure.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// First and longest delay before a retry where an agent that caches all lists gave no response: it timed out, or
/// refused or broke the connection. A list that it gets on its return counts as delivered at once, and the drain rule
/// leaves 250 ms from then; one and a half times the longest delay is less than half of that. The retries put no load
/// on an agent that is down.
const UNREACHABLE_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(80));
/// One of this many consecutive failures of an unreachable agent is logged: about one a second.
const UNREACHABLE_LOG_INTERVAL: u32 = 16;
/// First and longest delay after status 503 or 429: discovery is overloaded. When a hundred limiters start at once,
/// retries of each within a second keep all of them from being served.
const OVERLOAD_DELAYS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

type Failure = Box<dyn Error + Send + Sync>;

/// A complete list of servers, or the changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList {
    /// The list's version.
    #[serde(default)]
    pub revision: u64,
    /// Whether the entries are all servers rather than the changed ones.
    #[serde(default)]
    pub complete: bool,
    /// The entries, parsed one by one so that an invalid entry does not discard the others.
    #[serde(default)]
    members: Vec<Value>,
}

/// Wire format of one server.
#[derive(Deserialize)]
struct Line {
    id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    cell: u16,
    phase: String,
    #[serde(default = "usual_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn usual_size() -> f64 {
    1.0
}

impl Line {
    /// Converts the entry; `None` if its phase is unknown, as only a known phase says whether the server takes requests.
    fn member(self) -> Option<Member> {
        let state = match self.phase.as_str() {
            "Ready" => ServerState::Ready,
            "Terminating" => ServerState::Draining,
            "Gone" => ServerState::Gone,
            other => {
                tracing::warn!("discovery: {} is in unknown phase {other:?}", self.id);
                return None;
            }
        };
        Some(Member {
            id: self.id,
            address: self.host_port.parse().ok(),
            zone: self.locality,
            cell: self.cell,
            weight: self.size,
            started: self.up_since_ms,
            state,
            standing: Standing::Well,
        })
    }
}

impl ServerList {
    /// Returns the valid entries; logs a warning for each invalid one.
    pub fn members(&self) -> Vec<Member> {
        let read = self.members.iter().filter_map(|m| match Line::deserialize(m) {
            Ok(line) => Some(line),
            Err(e) => {
                tracing::warn!("discovery: invalid entry: {e}");
                None
            }
        });
        read.filter_map(Line::member).collect()
    }

    fn news(&self) -> News {
        match self.complete {
            true => News::Complete(self.members()),
            false => News::Changes(self.members()),
        }
    }
}

/// Address and kind of a discovery agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether the agent fetches each list from a service that all limiters share. A call to such an agent is queued
    /// there, so it is not repeated before it has failed.
    pub on_request: bool,
}

/// Follows discovery for the life of the process, from version `known`; without one, the complete list is read first.
///
/// While an agent that caches all lists is silent, one call stays open and a second one is renewed every 25 to 120 ms.
/// Whichever the agent answers on its return, the limiter learns of a drain well within the drain rule's time.
///
/// Delays are randomized from `seed`, so that followers that failed together do not retry together.
pub async fn follow(sink: MembershipSink, agent: Agent, known: Option<u64>, seed: u64) {
    follow_on(sink, agent, async || TcpStream::connect(agent.address).await, known, seed).await;
}

/// Implements [`follow`] over connections that `dial` opens.
async fn follow_on<S: Stream>(
    sink: MembershipSink,
    agent: Agent,
    dial: impl Dial<S>,
    known: Option<u64>,
    seed: u64,
) {
    let has_cache = !agent.on_request;
    let host = agent.address.to_string();
    let mut state = Follower { sink, host, dial, has_cache, since: known, backoff: Backoff::new(seed) };
    loop {
        let Err(e) = state.watch().await;
        let why = if e.is::<Busy>() {
            // An overloaded agent serves other callers too, whatever the settings say.
            state.has_cache = false;
            RetryCause::Busy
        } else if e.is::<NoAnswer>() && state.has_cache {
            RetryCause::Unreachable
        } else {
            RetryCause::Failed
        };
        let pause = state.backoff.next(why);
        if why != RetryCause::Unreachable || state.backoff.failures % UNREACHABLE_LOG_INTERVAL == 1 {
            tracing::warn!("discovery: {e}; retry in {} ms", pause.as_millis());
        }
        sleep(pause).await;
    }
}

/// Byte stream that carries a call.
trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {}
impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Stream for S {}

/// Opens a connection to the agent.
trait Dial<S>: AsyncFn() -> std::io::Result<S> {}
impl<S, D: AsyncFn() -> std::io::Result<S>> Dial<S> for D {}

/// The agent gave no response.
#[derive(Debug)]
enum NoAnswer {
    /// No response within [`REQUEST_TIMEOUT`].
    Silent,
    /// The connection was refused or broken off.
    Broken(String),
}

impl std::fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            NoAnswer::Silent => write!(f, "no answer in {} ms", REQUEST_TIMEOUT.as_millis()),
            NoAnswer::Broken(why) => f.write_str(why),
        }
    }
}

impl Error for NoAnswer {}

/// Waits for `answer` for at most [`REQUEST_TIMEOUT`].
///
/// # Errors
/// [`NoAnswer::Silent`] after that time, [`NoAnswer::Broken`] if `answer` failed.
async fn with_request_timeout<T, E: std::fmt::Display>(
    answer: impl Future<Output = Result<T, E>>,
) -> Result<T, NoAnswer> {
    let answer = timeout(REQUEST_TIMEOUT, answer).await.map_err(|_| NoAnswer::Silent)?;
    answer.map_err(|e| NoAnswer::Broken(e.to_string()))
}

/// The agent answered that it is overloaded (503 or 429).
#[derive(Debug)]
struct Busy(StatusCode);

impl std::fmt::Display for Busy {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "answered {}", self.0)
    }
}

impl Error for Busy {}

/// Cause of a retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryCause {
    /// No response from an agent that caches all lists.
    Unreachable,
    /// Any other failure.
    Failed,
    /// The agent is overloaded.
    Busy,
}

/// Exponential backoff with jitter; reads no clock.
struct Backoff {
    rng: Pcg64Mcg,
    failures: u32,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Backoff { rng: Pcg64Mcg::seed_from_u64(seed), failures: 0 }
    }

    /// Returns the delay after one more failure: doubled each time, times a random factor of 0.5 to 1.5.
    fn next(&mut self, why: RetryCause) -> Duration {
        let (first, longest) = match why {
            RetryCause::Unreachable => UNREACHABLE_DELAYS,
            RetryCause::Failed => RETRY_DELAYS,
            RetryCause::Busy => OVERLOAD_DELAYS,
        };
        let usual = first.saturating_mul(1 << self.failures.min(10)).min(longest);
        self.failures += 1;
        usual.mul_f64(0.5 + self.random_fraction())
    }

    /// Returns the time to wait for a response before a second call is made.
    fn hedge_delay(&mut self) -> Duration {
        UNREACHABLE_DELAYS.1.mul_f64(0.5 + self.random_fraction())
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn reset(&mut self) {
        if std::mem::take(&mut self.failures) > 0 {
            tracing::info!("discovery: agent responds again");
        }
    }
}

struct Follower<D> {
    sink: MembershipSink,
    /// The agent's address.
    host: String,
    dial: D,
    /// Whether the agent caches all lists, as far as is known. Cleared when the agent reports overload.
    has_cache: bool,
    /// Last version received without a gap; `None` if the complete list must be read.
    since: Option<u64>,
    backoff: Backoff,
}

impl<D> Follower<D> {
    /// Runs one watch; returns only on failure.
    async fn watch<S: Stream>(&mut self) -> Result<Infallible, Failure>
    where
        D: Dial<S>,
    {
        let since = match self.since {
            Some(since) => since,
            None => self.whole_list().await?,
        };
        let answer = self.ask(&format!("/v1/servers?follow=1&since={since}")).await?;
        let mut body = answer.into_body();
        let mut lines = Lines::default();
        loop {
            let frame = timeout(WATCH_TIMEOUT, body.frame()).await.map_err(|_| "watch timed out")?;
            let frame = frame.ok_or("watch closed")??;
            let Ok(data) = frame.into_data() else { continue };
            self.backoff.reset();
            lines.push(&data);
            while let Some(line) = lines.next() {
                // The changes of an invalid line are unknown, so the complete list must be read.
                let list = serde_json::from_slice(&line).inspect_err(|_| self.since = None)?;
                self.apply(&list);
            }
            if lines.rest.len() > MAX_RESPONSE_BYTES {
                self.since = None;
                return Err("line too long".into());
            }
        }
    }

    async fn whole_list<S: Stream>(&mut self) -> Result<u64, Failure>
    where
        D: Dial<S>,
    {
        let answer = self.ask("/v1/servers").await?;
        let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES).collect();
        let body = with_request_timeout(body).await?;
        let list: ServerList = serde_json::from_slice(&body.to_bytes())?;
        self.backoff.reset();
        self.apply(&ServerList { complete: true, ..list });
        Ok(self.since.unwrap_or(0))
    }

    /// Requests `path`. While an agent that caches all lists does not respond, the first call stays open, for an agent
    /// that answers it on its return, and further calls are made next to it, in case the first one is lost.
    async fn ask<S: Stream>(&mut self, path: &str) -> Result<Response<Incoming>, Failure>
    where
        D: Dial<S>,
    {
        let call = || get(&self.dial, &self.host, path);
        let mut first = pin!(call());
        if !self.has_cache {
            return first.await;
        }
        if let Ok(answer) = timeout(self.backoff.hedge_delay(), &mut first).await {
            return answer;
        }
        loop {
            tokio::select! {
                biased;
                answer = &mut first => match answer {
                    Err(e) if matches!(e.downcast_ref(), Some(NoAnswer::Silent)) => {
                        tracing::warn!("discovery: {e}; retried");
                        first.set(call());
                    }
                    answer => return answer,
                },
                hedge = timeout(self.backoff.hedge_delay(), call()) => if let Ok(answer) = hedge {
                    return answer;
                },
            }
        }
    }

    fn apply(&mut self, list: &ServerList) {
        self.since = Some(list.revision);
        (self.sink)(list.news());
    }
}

/// Sends a GET request to the agent on a new connection.
async fn get<S: Stream>(dial: &impl Dial<S>, host: &str, path: &str) -> Result<Response<Incoming>, Failure> {
    let stream = with_request_timeout(dial()).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            tracing::debug!("discovery: {e}");
        }
    });
    let request = Request::get(path).header("host", host).body(Empty::<Bytes>::new())?;
    let answer = with_request_timeout(sender.send_request(request)).await?;
    match answer.status() {
        StatusCode::OK => Ok(answer),
        busy @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => Err(Busy(busy).into()),
        status => Err(format!("answered {status}").into()),
    }
}

/// Splits a byte stream that arrives in arbitrary pieces into lines.
#[derive(Default)]
struct Lines {
    rest: Vec<u8>,
    read: usize,
}

impl Lines {
    fn push(&mut self, data: &[u8]) {
        self.rest.drain(..self.read);
        self.read = 0;
        self.rest.extend_from_slice(data);
    }

    /// Returns the next complete line that is not empty, trimmed.
    fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            let ahead = &self.rest[self.read..];
            let end = ahead.iter().position(|b| *b == b'\n')?;
            let line = ahead[..end].trim_ascii().to_vec();
            self.read += end + 1;
            if !line.is_empty() {
                return Some(line);
            }
        }
    }
}

#[cfg(test)]
mod tests;
