//! The platform's discovery agent: a watch over HTTP, taken up again from the last version.

use crate::ports::membership::{Member, News, Told};
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
const MOST_BYTES: usize = 1 << 20;
/// Time for a connection, an answer's head or a whole list.
const PATIENCE: Duration = Duration::from_secs(1);
/// A watch that has not even sent its empty line for this long, a little over its period of two seconds, is
/// opened anew: it may be dead while the agent is not, and what the agent has counts as told. Where it is
/// discovery that is down, asking again costs nothing.
const SILENCE: Duration = Duration::from_millis(2300);
/// First pause after a failure, doubling up to the other.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// The same where an agent that has all lists at hand gave no answer: it was silent, refused the connection or broke
/// it off. What it gets when it is back counts as told at once, and the drain rule leaves 250 ms from then; one and a
/// half times the longest is under half of that. An agent that is away bears no load.
const AWAY_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(80));
/// Of so many failures in a row of an agent that is away one is logged: about one a second.
const AWAY_LINES: u32 = 16;
/// Pauses after 503: discovery has more callers than it can serve. When a hundred limiters start at once, what
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
pub async fn follow(told: Told, agent: Agent, known: Option<u64>, seed: u64) {
    follow_on(told, agent, async || TcpStream::connect(agent.address).await, known, seed).await;
}

/// The same over connections that `dial` opens.
async fn follow_on<S: Stream>(told: Told, agent: Agent, dial: impl Dial<S>, known: Option<u64>, seed: u64) {
    let at_hand = !agent.on_request;
    let host = agent.address.to_string();
    let mut state = Follower { told, host, dial, at_hand, since: known, backoff: Backoff::new(seed) };
    loop {
        let Err(e) = state.round().await;
        let why = if e.is::<Busy>() {
            // It has to serve others too, whatever the settings say.
            state.at_hand = false;
            Why::Busy
        } else if e.is::<NoAnswer>() && state.at_hand {
            Why::Away
        } else {
            Why::Failed
        };
        let pause = state.backoff.next(why);
        if why != Why::Away || state.backoff.failures % AWAY_LINES == 1 {
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
            NoAnswer::Silent => write!(f, "no answer in {} ms", PATIENCE.as_millis()),
            NoAnswer::Broken(why) => f.write_str(why),
        }
    }
}

impl Error for NoAnswer {}

/// What comes within [`PATIENCE`].
async fn soon<T, E: std::fmt::Display>(answer: impl Future<Output = Result<T, E>>) -> Result<T, NoAnswer> {
    let answer = timeout(PATIENCE, answer).await.map_err(|_| NoAnswer::Silent)?;
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
enum Why {
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
    fn next(&mut self, why: Why) -> Duration {
        let (first, longest) = match why {
            Why::Away => AWAY_PAUSES,
            Why::Failed => PAUSES,
            Why::Busy => BUSY_PAUSES,
        };
        let usual = first.saturating_mul(1 << self.failures.min(10)).min(longest);
        self.failures += 1;
        usual.mul_f64(0.5 + self.chance())
    }

    /// How long to wait for an answer before asking afresh.
    fn fresh(&mut self) -> Duration {
        AWAY_PAUSES.1.mul_f64(0.5 + self.chance())
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
    told: Told,
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
            let frame = timeout(SILENCE, body.frame()).await.map_err(|_| "the watch fell silent")?;
            let frame = frame.ok_or("the watch ended")??;
            let Ok(data) = frame.into_data() else { continue };
            self.backoff.over();
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

    async fn whole_list<S: Stream>(&mut self) -> Result<u64, Failure>
    where
        D: Dial<S>,
    {
        let answer = self.ask("/v1/servers").await?;
        let body = Limited::new(answer.into_body(), MOST_BYTES).collect();
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
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::rc::Rc;
    use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
    use tokio::time::{sleep_until, Instant};

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
    fn most_calls_a_second(why: Why) -> usize {
        let mut calls: Vec<u128> = Vec::new();
        for seed in 0..100 {
            let (mut backoff, mut at) = (Backoff::new(seed), Duration::ZERO);
            while at < Duration::from_secs(30) {
                at += backoff.next(why);
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
        let (busy, away) = (most_calls_a_second(Why::Busy), most_calls_a_second(Why::Failed));
        assert!(busy <= 55, "{busy} calls in a second");
        assert!(away >= 80, "an agent that is away is asked each second: {away} calls");
    }

    #[test]
    fn an_entry_that_cannot_be_read_does_not_hide_the_others() {
        let text = r#"{"revision":4,"members":[{"id":7},{"id":"s-1","phase":"Ready"}]}"#;
        let list: ServerList = serde_json::from_str(text).expect("a list");
        assert_eq!(list.members().into_iter().map(|m| m.id).collect::<Vec<_>>(), ["s-1"]);
    }

    /// What an agent makes of the calls that reach it while discovery is down.
    #[derive(Clone, Copy, Debug)]
    enum Down {
        /// It takes them, and answers them once it is back.
        Holds,
        /// It never answers them.
        Forgets,
        /// It takes them, and breaks them off once it is back.
        BreaksOff,
        /// It refuses them.
        Refuses,
    }

    /// What came of an outage, for one follower.
    #[derive(Default)]
    struct Seen {
        /// Calls that came while discovery was down.
        calls: Cell<u32>,
        /// Calls that were open at once, and the most of them.
        open: Cell<u32>,
        most_open: Cell<u32>,
        /// Calls that were answered at the return or later.
        answered: Cell<u32>,
        /// How long after the return the follower was told of the drain.
        told: Cell<Option<Duration>>,
    }

    const READY: &str = r#"{"revision":2,"complete":true,"members":[{"id":"s-1","phase":"Ready"}]}"#;
    const DRAINS: &str = r#"{"revision":3,"complete":true,"members":[{"id":"s-1","phase":"Terminating"}]}"#;

    /// An agent for one limiter: from `down` to `back` it says nothing, and at `back` it has a list by which the
    /// server drains.
    struct StandIn {
        how: Down,
        start: Instant,
        down: Duration,
        back: Duration,
        seen: Rc<Seen>,
    }

    impl StandIn {
        fn is_down(&self) -> bool {
            (self.down..self.back).contains(&self.start.elapsed())
        }

        fn dial(self: &Rc<Self>) -> std::io::Result<DuplexStream> {
            let seen = &self.seen;
            if self.is_down() {
                seen.calls.set(seen.calls.get() + 1);
                if matches!(self.how, Down::Refuses) {
                    return Err(std::io::ErrorKind::ConnectionRefused.into());
                }
            }
            seen.open.set(seen.open.get() + 1);
            seen.most_open.set(seen.most_open.get().max(seen.open.get()));
            let (mine, its) = tokio::io::duplex(4096);
            let this = self.clone();
            tokio::task::spawn_local(async move {
                let (mut read, write) = tokio::io::split(its);
                // The call itself comes in one piece; after that the caller says no more until it has gone.
                let mut call = [0; 512];
                if matches!(read.read(&mut call).await, Ok(n) if n > 0) {
                    tokio::select! {
                        _ = read.read(&mut call) => {}
                        () = this.serve(write) => {}
                    }
                }
                this.seen.open.set(this.seen.open.get() - 1);
            });
            Ok(mine)
        }

        async fn serve(&self, mut to: impl AsyncWrite + Unpin) {
            if self.is_down() {
                sleep_until(self.start + self.back).await;
                match self.how {
                    Down::Holds => {}
                    Down::BreaksOff | Down::Refuses => return,
                    Down::Forgets => std::future::pending().await,
                }
            }
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let _ = to.write_all(head.as_bytes()).await;
            let back = self.start.elapsed() >= self.back;
            self.seen.answered.set(self.seen.answered.get() + u32::from(back));
            let list = format!("{}\n", if back { DRAINS } else { READY });
            let mut line = format!("{:x}\r\n{list}\r\n", list.len());
            loop {
                if to.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
                sleep(Duration::from_secs(2)).await;
                line = "1\r\n\n\r\n".into();
                if !back && self.start.elapsed() >= self.down {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    /// One follower through an outage of 8 s, on a paused clock.
    fn outage(how: Down, on_request: bool, seed: u64) -> Rc<Seen> {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_time().start_paused(true).build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async move {
            let seen = Rc::new(Seen::default());
            let start = Instant::now();
            // The outage begins anywhere between two empty lines.
            let down = Duration::from_millis(5000 + seed * 37 % 2000);
            let back = down + Duration::from_secs(8);
            let agent = Rc::new(StandIn { how, start, down, back, seen: seen.clone() });
            let (hears, dials) = (seen.clone(), agent.clone());
            let told: Told = Rc::new(move |news| {
                let (News::Complete(members) | News::Changes(members) | News::Remembered(members)) = news;
                if hears.told.get().is_none() && members.iter().any(|m| m.state == ServerState::Draining) {
                    hears.told.set(Some(start.elapsed() - back));
                }
            });
            let at = Agent { address: SocketAddr::from(([127, 0, 0, 1], 1)), on_request };
            let following = tokio::task::spawn_local(async move {
                follow_on(told, at, async || dials.dial(), Some(1), seed).await;
            });
            sleep_until(start + back + Duration::from_secs(4)).await;
            assert!(!following.is_finished());
            assert_eq!(seen.open.get(), 1, "{how:?}, seed {seed}: the watch alone is left");
            seen
        })
    }

    #[test]
    fn after_an_outage_each_limiter_hears_of_a_drain_within_half_of_the_rules_time() {
        // Found when 23 servers began to drain 0.1 s after discovery's return: 177 of 294 limiters stood in a pause
        // of up to 1.5 s, begun while discovery was down, and 57 to 85 requests went to servers that drained.
        for how in [Down::Holds, Down::Forgets, Down::BreaksOff, Down::Refuses] {
            for seed in 0..200 {
                let seen = outage(how, false, seed);
                let late = seen.told.get().expect("told");
                assert!(late <= Duration::from_millis(125), "{how:?}, seed {seed}: told {late:?} late");
                let (calls, open, answered) = (seen.calls.get(), seen.most_open.get(), seen.answered.get());
                assert!(calls <= 130, "{how:?}, seed {seed}: {calls} calls in 8 s");
                // Two, and those that were before them, just being closed.
                assert!(open <= 4, "{how:?}, seed {seed}: {open} calls at once");
                assert!(answered <= 3, "{how:?}, seed {seed}: {answered} answers at the return");
            }
        }
    }

    #[test]
    fn a_silent_discovery_that_all_limiters_share_is_asked_once_at_a_time() {
        for seed in 0..50 {
            let seen = outage(Down::Holds, true, seed);
            assert!(seen.told.get().expect("told") <= Duration::from_millis(1500));
            assert!(seen.calls.get() <= 8, "seed {seed}: {} calls in 8 s", seen.calls.get());
            assert_eq!(seen.most_open.get(), 1);
        }
    }
}
