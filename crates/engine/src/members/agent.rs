//! The platform's discovery agent: a watch over HTTP, taken up again from the last version.

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

/// Longest line or list that is read; more is taken for nonsense.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Time for a connection, an answer's head or a whole list.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch that has not even sent its empty line for this long, a little over its period of two seconds, is
/// opened anew: it may be dead while the agent is not, and what the agent has counts as told. Where it is
/// discovery that is down, asking again costs nothing.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2300);
/// First pause after a failure, doubling up to the other.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// The same where an agent that has all lists at hand gave no answer: it was silent, refused the connection or broke
/// it off. What it gets when it is back counts as told at once, and the drain rule leaves 250 ms from then; one and a
/// half times the longest is under half of that. An agent that is away bears no load.
const UNREACHABLE_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(80));
/// Of so many failures in a row of an agent that is away one is logged: about one a second.
const UNREACHABLE_LOG_INTERVAL: u32 = 16;
/// Pauses after 503: discovery has more callers than it can serve. When a hundred limiters start at once, what
/// each asks again within a second keeps all of them from being served.
const OVERLOAD_DELAYS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

type Failure = Box<dyn Error + Send + Sync>;

/// A list of servers, or what changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList {
    /// The list's version.
    #[serde(default)]
    pub revision: u64,
    /// All servers, not only what changed.
    #[serde(default)]
    pub complete: bool,
    /// The entries, read one by one so that a bad one does not hide the others.
    #[serde(default)]
    members: Vec<Value>,
}

/// One server as it stands on the wire.
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
    /// None where the phase is unknown: what takes requests must be said.
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
    /// The entries that can be read.
    pub fn members(&self) -> Vec<Member> {
        let read = self.members.iter().filter_map(|m| match Line::deserialize(m) {
            Ok(line) => Some(line),
            Err(e) => {
                tracing::warn!("discovery: an entry cannot be read: {e}");
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

/// A discovery agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    /// Lists are not pushed to it: each call is served by a service that all limiters share, in turn, and is not
    /// repeated before it has failed.
    pub on_request: bool,
}

/// Follows discovery for the life of the process, from the version that `known` ends at; without one, the
/// whole list comes first.
///
/// While an agent with all lists at hand is silent, there is always a call out, and a fresh one beside it each 25 to
/// 120 ms: whichever of the two it answers once it is back, the limiter hears well within the drain rule's time.
///
/// Pauses are spread by chance, from `seed`: followers that failed together do not ask again together.
pub async fn follow(told: MembershipSink, agent: Agent, known: Option<u64>, seed: u64) {
    follow_on(told, agent, async || TcpStream::connect(agent.address).await, known, seed).await;
}

/// The same over connections that `dial` opens.
async fn follow_on<S: Stream>(
    told: MembershipSink,
    agent: Agent,
    dial: impl Dial<S>,
    known: Option<u64>,
    seed: u64,
) {
    let at_hand = !agent.on_request;
    let host = agent.address.to_string();
    let mut state = Follower { told, host, dial, at_hand, since: known, backoff: Backoff::new(seed) };
    loop {
        let Err(e) = state.round().await;
        let why = if e.is::<Busy>() {
            // It has to serve others too, whatever the settings say.
            state.at_hand = false;
            RetryCause::Busy
        } else if e.is::<NoAnswer>() && state.at_hand {
            RetryCause::Away
        } else {
            RetryCause::Failed
        };
        let pause = state.backoff.next(why);
        if why != RetryCause::Away || state.backoff.failures % UNREACHABLE_LOG_INTERVAL == 1 {
            tracing::warn!("discovery: {e}; again in {} ms", pause.as_millis());
        }
        sleep(pause).await;
    }
}

/// What carries a call.
trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {}
impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Stream for S {}

/// Opens a connection to the agent.
trait Dial<S>: AsyncFn() -> std::io::Result<S> {}
impl<S, D: AsyncFn() -> std::io::Result<S>> Dial<S> for D {}

/// There was no answer.
#[derive(Debug)]
enum NoAnswer {
    /// Not within the time for it.
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

/// What comes within [`REQUEST_TIMEOUT`].
async fn soon<T, E: std::fmt::Display>(answer: impl Future<Output = Result<T, E>>) -> Result<T, NoAnswer> {
    let answer = timeout(REQUEST_TIMEOUT, answer).await.map_err(|_| NoAnswer::Silent)?;
    answer.map_err(|e| NoAnswer::Broken(e.to_string()))
}

/// The agent has said that it has too much to do.
#[derive(Debug)]
struct Busy(StatusCode);

impl std::fmt::Display for Busy {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "answered {}", self.0)
    }
}

impl Error for Busy {}

/// What a pause follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryCause {
    /// No answer, of an agent that has it at hand.
    Away,
    /// Any other failure.
    Failed,
    /// Too many calls.
    Busy,
}

/// How long to wait after a failure, without a clock.
struct Backoff {
    rng: Pcg64Mcg,
    failures: u32,
}

impl Backoff {
    fn new(seed: u64) -> Self {
        Backoff { rng: Pcg64Mcg::seed_from_u64(seed), failures: 0 }
    }

    /// The pause after one more failure: doubled each time, and a half to one and a half of that by chance.
    fn next(&mut self, why: RetryCause) -> Duration {
        let (first, longest) = match why {
            RetryCause::Away => UNREACHABLE_DELAYS,
            RetryCause::Failed => RETRY_DELAYS,
            RetryCause::Busy => OVERLOAD_DELAYS,
        };
        let usual = first.saturating_mul(1 << self.failures.min(10)).min(longest);
        self.failures += 1;
        usual.mul_f64(0.5 + self.chance())
    }

    /// How long to wait for an answer before asking afresh.
    fn fresh(&mut self) -> Duration {
        UNREACHABLE_DELAYS.1.mul_f64(0.5 + self.chance())
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn over(&mut self) {
        if std::mem::take(&mut self.failures) > 0 {
            tracing::info!("discovery: answers again");
        }
    }
}

struct Follower<D> {
    told: MembershipSink,
    /// The agent's address.
    host: String,
    dial: D,
    /// The agent is this limiter's own and has all lists at hand, as far as is known.
    at_hand: bool,
    /// The version that is known without a gap; without one, the whole list is due.
    since: Option<u64>,
    backoff: Backoff,
}

impl<D> Follower<D> {
    /// One watch; it ends only by failing.
    async fn round<S: Stream>(&mut self) -> Result<Infallible, Failure>
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
            let frame = timeout(WATCH_TIMEOUT, body.frame()).await.map_err(|_| "the watch fell silent")?;
            let frame = frame.ok_or("the watch ended")??;
            let Ok(data) = frame.into_data() else { continue };
            self.backoff.over();
            lines.push(&data);
            while let Some(line) = lines.next() {
                // What a line that cannot be read would have changed is unknown: the whole list is due.
                let list = serde_json::from_slice(&line).inspect_err(|_| self.since = None)?;
                self.take(&list);
            }
            if lines.rest.len() > MAX_RESPONSE_BYTES {
                self.since = None;
                return Err("a line without end".into());
            }
        }
    }

    async fn whole_list<S: Stream>(&mut self) -> Result<u64, Failure>
    where
        D: Dial<S>,
    {
        let answer = self.ask("/v1/servers").await?;
        let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES).collect();
        let body = soon(body).await?;
        let list: ServerList = serde_json::from_slice(&body.to_bytes())?;
        self.backoff.over();
        self.take(&ServerList { complete: true, ..list });
        Ok(self.since.unwrap_or(0))
    }

    /// Calls, and while an agent at hand gives no answer, calls afresh beside that again and again: the first call is
    /// kept for the agent that answers it when it is back, the others are heard where that one is lost.
    async fn ask<S: Stream>(&mut self, path: &str) -> Result<Response<Incoming>, Failure>
    where
        D: Dial<S>,
    {
        let call = || get(&self.dial, &self.host, path);
        let mut first = pin!(call());
        if !self.at_hand {
            return first.await;
        }
        if let Ok(answer) = timeout(self.backoff.fresh(), &mut first).await {
            return answer;
        }
        loop {
            tokio::select! {
                biased;
                answer = &mut first => match answer {
                    Err(e) if matches!(e.downcast_ref(), Some(NoAnswer::Silent)) => {
                        tracing::warn!("discovery: {e}; asked afresh");
                        first.set(call());
                    }
                    answer => return answer,
                },
                beside = timeout(self.backoff.fresh(), call()) => if let Ok(answer) = beside {
                    return answer;
                },
            }
        }
    }

    fn take(&mut self, list: &ServerList) {
        self.since = Some(list.revision);
        (self.told)(list.news());
    }
}

/// Asks the agent, on a connection of its own.
async fn get<S: Stream>(dial: &impl Dial<S>, host: &str, path: &str) -> Result<Response<Incoming>, Failure> {
    let stream = soon(dial()).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            tracing::debug!("discovery: {e}");
        }
    });
    let request = Request::get(path).header("host", host).body(Empty::<Bytes>::new())?;
    let answer = soon(sender.send_request(request)).await?;
    match answer.status() {
        StatusCode::OK => Ok(answer),
        busy @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => Err(Busy(busy).into()),
        status => Err(format!("answered {status}").into()),
    }
}

/// Puts lines together from pieces that end anywhere.
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

    /// The next whole line that is not empty.
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
