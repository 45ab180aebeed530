//! The platform's discovery agent: a watch over HTTP, taken up again from the last version.

use crate::ports::membership::{Member, News, Told};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
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
/// First pause after a failure; doubles up to the other.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

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
pub async fn follow(told: Told, agent: SocketAddr, known: Option<u64>) {
    let mut state = Follower { told, agent, since: known, pause: PAUSE };
    loop {
        let Err(e) = state.round().await;
        tracing::warn!("discovery: {e}; again in {} ms", state.pause.as_millis());
        tokio::time::sleep(state.pause).await;
        state.pause = (state.pause * 2).min(LONGEST_PAUSE);
    }
}

struct Follower {
    told: Told,
    agent: SocketAddr,
    /// The version that is known without a gap; without one, the whole list is due.
    since: Option<u64>,
    pause: Duration,
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
        self.pause = PAUSE;
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

    #[test]
    fn an_entry_that_cannot_be_read_does_not_hide_the_others() {
        let text = r#"{"revision":4,"members":[{"id":7},{"id":"s-1","phase":"Ready"}]}"#;
        let list: ServerList = serde_json::from_str(text).expect("a list");
        assert_eq!(list.members().into_iter().map(|m| m.id).collect::<Vec<_>>(), ["s-1"]);
    }
}
