//! The platform's discovery agent: a watch over HTTP, taken up again from the last version.

use crate::ports::membership::{Member, News, Told};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::Value;
use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use topazwind::interface::ServerState;

/// Longest line or list that is read; more is taken for nonsense.
const MOST_BYTES: usize = 1 << 20;
/// Time for a connection, an answer's head or a whole list.
const PATIENCE: Duration = Duration::from_secs(1);
/// A watch that has not even sent its empty line for this long, a little over its period of two seconds, is
/// opened anew: it may be dead while the agent is not, and what the agent has counts as told. Where it is
/// discovery that is down, asking again costs nothing.
const SILENCE: Duration = Duration::from_millis(2300);
/// First pause after a failure, doubling up to the other: an agent that is away is soon back.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// The same after 503: discovery has more callers than it can serve. When a hundred limiters start at once, what
/// each asks again within a second keeps all of them from being served.
const BUSY_PAUSES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(8));

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

/// Follows discovery for the life of the process, from the version that `known` ends at; without one, the
/// whole list comes first.
///
/// Pauses are spread by chance, from `seed`: followers that failed together do not ask again together.
pub async fn follow(told: Told, agent: SocketAddr, known: Option<u64>, seed: u64) {
    let mut state = Follower { told, agent, since: known, backoff: Backoff::new(seed) };
    loop {
        let Err(e) = state.round().await;
        let pause = state.backoff.next(e.downcast_ref::<Busy>().is_some());
        tracing::warn!("discovery: {e}; again in {} ms", pause.as_millis());
        tokio::time::sleep(pause).await;
    }
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
    fn next(&mut self, busy: bool) -> Duration {
        let (first, longest) = if busy { BUSY_PAUSES } else { PAUSES };
        let usual = first.saturating_mul(1 << self.failures.min(10)).min(longest);
        self.failures += 1;
        let chance = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        usual.mul_f64(0.5 + chance)
    }

    fn over(&mut self) {
        self.failures = 0;
    }
}

struct Follower {
    told: Told,
    agent: SocketAddr,
    /// The version that is known without a gap; without one, the whole list is due.
    since: Option<u64>,
    backoff: Backoff,
}

impl Follower {
    /// One watch; it ends only by failing.
    async fn round(&mut self) -> Result<Infallible, Failure> {
        let since = match self.since {
            Some(since) => since,
            None => self.whole_list().await?,
        };
        let answer = get(self.agent, &format!("/v1/servers?follow=1&since={since}")).await?;
        let mut body = answer.into_body();
        let mut lines = Lines::default();
        loop {
            let frame = timeout(SILENCE, body.frame()).await.map_err(|_| "the watch fell silent")?;
            let frame = frame.ok_or("the watch ended")??;
            let Ok(data) = frame.into_data() else { continue };
            lines.push(&data);
            while let Some(line) = lines.next() {
                // What a line that cannot be read would have changed is unknown: the whole list is due.
                let list = serde_json::from_slice(&line).inspect_err(|_| self.since = None)?;
                self.take(&list);
            }
            if lines.rest.len() > MOST_BYTES {
                self.since = None;
                return Err("a line without end".into());
            }
        }
    }

    async fn whole_list(&mut self) -> Result<u64, Failure> {
        let answer = get(self.agent, "/v1/servers").await?;
        let body = Limited::new(answer.into_body(), MOST_BYTES).collect();
        let body = timeout(PATIENCE, body).await.map_err(|_| "the list takes too long")??;
        let list: ServerList = serde_json::from_slice(&body.to_bytes())?;
        self.take(&ServerList { complete: true, ..list });
        Ok(self.since.unwrap_or(0))
    }

    fn take(&mut self, list: &ServerList) {
        self.since = Some(list.revision);
        self.backoff.over();
        (self.told)(list.news());
    }
}

/// Asks the agent, on a connection of its own.
async fn get(agent: SocketAddr, path: &str) -> Result<Response<Incoming>, Failure> {
    let stream = timeout(PATIENCE, TcpStream::connect(agent)).await??;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            tracing::debug!("discovery: {e}");
        }
    });
    let request = Request::get(path).header("host", agent.to_string()).body(Empty::<Bytes>::new())?;
    let answer = timeout(PATIENCE, sender.send_request(request)).await??;
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
mod tests {
    use super::*;

    #[test]
    fn lines_are_put_together_over_the_borders_of_pieces() {
        let mut lines = Lines::default();
        let mut seen = Vec::new();
        for piece in ["\n{\"a\"", ":1}\r", "\n\n{}", "\n{"] {
            lines.push(piece.as_bytes());
            while let Some(line) = lines.next() {
                seen.push(String::from_utf8(line).expect("text"));
            }
        }
        assert_eq!(seen, ["{\"a\":1}", "{}"]);
    }

    /// The most calls within any second that a hundred followers make which start together at an agent that
    /// turns all away, once the first three seconds are over.
    fn most_calls_a_second(busy: bool) -> usize {
        let mut calls: Vec<u128> = Vec::new();
        for seed in 0..100 {
            let (mut backoff, mut at) = (Backoff::new(seed), Duration::ZERO);
            while at < Duration::from_secs(30) {
                at += backoff.next(busy);
                calls.push(at.as_millis());
            }
        }
        calls.sort_unstable();
        let within = |from: u128| calls.iter().filter(|c| (from..from + 1000).contains(*c)).count();
        calls.iter().filter(|c| (3000..25_000).contains(*c)).map(|c| within(*c)).max().unwrap_or(0)
    }

    #[test]
    fn a_hundred_followers_leave_a_busy_discovery_room_to_serve_them() {
        // Found when 70 limiters started at once: each asked every second, and none was served for 12 s.
        let (busy, away) = (most_calls_a_second(true), most_calls_a_second(false));
        assert!(busy <= 55, "{busy} calls in a second");
        assert!(away >= 80, "an agent that is away is asked each second: {away} calls");
    }

    #[test]
    fn an_entry_that_cannot_be_read_does_not_hide_the_others() {
        let text = r#"{"revision":4,"members":[{"id":7},{"id":"s-1","phase":"Ready"}]}"#;
        let list: ServerList = serde_json::from_str(text).expect("a list");
        assert_eq!(list.members().into_iter().map(|m| m.id).collect::<Vec<_>>(), ["s-1"]);
    }
}
