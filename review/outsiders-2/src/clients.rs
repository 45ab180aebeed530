//! Clients as the pages describe them: they ask a directory where to go, and each try carries an id of its own.

use crate::deployment::Deployment;
use crate::http::{self, Message, Part};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

static NEXT_TRY: AtomicU64 = AtomicU64::new(1);
static NEXT_CLIENT: AtomicU64 = AtomicU64::new(0);

/// A request of a client.
pub struct Wanted<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
    pub time_left: Duration,
}

/// How one try ended.
pub struct Ended {
    pub try_id: String,
    /// The status; 0 without an answer.
    pub status: u16,
    /// Whether the whole answer came.
    pub whole: bool,
    pub answer: Message,
    pub took: Duration,
}

impl Ended {
    /// Whether the answer promises that the request has not run and never will.
    pub fn promises(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }

    /// The time to wait before the next try that the answer names.
    pub fn retry_after(&self) -> Duration {
        let seconds = self.answer.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        Duration::from_secs_f64(seconds.unwrap_or(0.0).clamp(0.0, 10.0))
    }
}

/// A client.
pub struct Client {
    directories: Vec<SocketAddr>,
    record: Arc<Record>,
    /// Clients take the addresses by turns and keep to them, so that the proxies have like shares of the clients.
    number: u64,
}

impl Client {
    /// Creates a client of the deployment.
    pub fn new(deployment: &Deployment) -> Client {
        let number = NEXT_CLIENT.fetch_add(1, Ordering::Relaxed);
        Client { directories: deployment.directories(), record: deployment.record.clone(), number }
    }

    /// Asks up to three directories, a second each, and picks one of the addresses.
    fn look_up(&self) -> Option<SocketAddr> {
        let head = "GET /lookup?name=jepu9.example&region=ulaanbaatar&zone=ub-east-hall HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n";
        let second = Duration::from_secs(1);
        for directory in &self.directories {
            let Ok(answer) = http::call(*directory, head, b"", second, second) else { continue };
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let list = text.split("\"addresses\":[").nth(1).and_then(|rest| rest.split(']').next());
            let addresses: Vec<SocketAddr> = list
                .unwrap_or("")
                .split(',')
                .filter_map(|word| word.trim().trim_matches('"').parse().ok())
                .collect();
            if let Some(address) = addresses.get(self.number as usize % addresses.len().max(1)) {
                return Some(*address);
            }
        }
        None
    }

    /// Sends one try on a connection of its own and waits until the client's own deadline.
    pub fn send(&self, wanted: &Wanted<'_>) -> Ended {
        let try_id = format!("{:08x}{:08x}", std::process::id(), NEXT_TRY.fetch_add(1, Ordering::Relaxed));
        let begun = Instant::now();
        let none = |took| Ended {
            try_id: try_id.clone(),
            status: 0,
            whole: false,
            answer: Message::default(),
            took,
        };
        let Some(to) = self.look_up() else {
            self.record.line(&format!("try {try_id}: no address from the directory"));
            return none(begun.elapsed());
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: jepu9.example\r\nTry-Id: {try_id}\r\nTime-Left-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            wanted.method,
            wanted.path,
            wanted.time_left.as_millis(),
            wanted.body.len()
        );
        self.record.line(&format!(
            "client: try {try_id}: sends {} {} with {} bytes, {} ms left, to {to}",
            wanted.method,
            wanted.path,
            wanted.body.len(),
            wanted.time_left.as_millis()
        ));
        let begun = Instant::now();
        let result = http::call(to, &head, wanted.body, Duration::from_secs(1), wanted.time_left);
        let took = begun.elapsed();
        let (whole, answer, why) = match result {
            Ok(answer) => (true, answer, String::new()),
            Err((error, answer)) => (false, answer, format!(", broken off: {error}")),
        };
        let text = match answer.body.len() {
            0..=200 => format!(" {:?}", String::from_utf8_lossy(&answer.body)),
            _ => String::new(),
        };
        self.record.line(&format!(
            "client: try {try_id}: answered {:?} with {} bytes{text}{why} after {} ms",
            answer.first,
            answer.body.len(),
            took.as_millis()
        ));
        Ended { try_id, status: answer.status(), whole, answer, took }
    }

    /// The heads of safe requests for these paths, with the ids of their tries. They are noted as sent to `to`.
    fn heads(&self, paths: &[&str], time_left: Duration, to: SocketAddr) -> (Vec<String>, Vec<String>) {
        let mut ids = Vec::new();
        let heads: Vec<String> = paths
            .iter()
            .map(|path| {
                let try_id = format!("{:08x}{:08x}", std::process::id(), NEXT_TRY.fetch_add(1, Ordering::Relaxed));
                let head = format!(
                    "GET {path} HTTP/1.1\r\nHost: jepu9.example\r\nTry-Id: {try_id}\r\nTime-Left-Ms: {}\r\n\r\n",
                    time_left.as_millis()
                );
                ids.push(try_id);
                head
            })
            .collect();
        self.record.line(&format!(
            "client: tries {} to {}: sends {} requests behind each other, {} ms left, to {to}",
            ids.first().map_or("", |id| id),
            ids.last().map_or("", |id| id),
            ids.len(),
            time_left.as_millis()
        ));
        (ids, heads)
    }

    /// Sends safe requests for these paths behind each other on one new connection, before the first is answered, and waits
    /// until its own deadline. Returns which were answered with success by then.
    pub fn pipeline(&self, paths: &[&str], time_left: Duration) -> Vec<bool> {
        let Some(to) = self.look_up() else { return vec![false; paths.len()] };
        let (ids, heads) = self.heads(paths, time_left, to);
        let answers = http::pipeline(to, &heads, time_left).unwrap_or_default();
        for (id, (answer, at)) in ids.iter().zip(&answers) {
            self.record.line(&format!(
                "client: try {id}: answered {:?} after {} ms",
                answer.first,
                at.as_millis()
            ));
        }
        if answers.len() < ids.len() {
            self.record.line(&format!(
                "client: {} of them have no answer at the client's deadline",
                ids.len() - answers.len()
            ));
        }
        (0..ids.len()).map(|at| answers.get(at).is_some_and(|(answer, _)| answer.status() == 200)).collect()
    }

    /// As [`Client::pipeline`], reading the answers `piece` bytes at a time with a pause after each. Returns the id of each try
    /// with what came of its answer.
    pub fn pipeline_slowly(
        &self,
        paths: &[&str],
        time_left: Duration,
        piece: usize,
        pause: Duration,
    ) -> Vec<(String, Part)> {
        let Some(to) = self.look_up() else { return Vec::new() };
        let (ids, heads) = self.heads(paths, time_left, to);
        let parts = http::pipeline_slowly(to, &heads, time_left, piece, pause).unwrap_or_default();
        let parts = parts.into_iter().chain(std::iter::repeat(Part::default()));
        let ends: Vec<(String, Part)> = ids.into_iter().zip(parts).collect();
        for (id, part) in &ends {
            self.record.line(&format!(
                "client: try {id}: status {}, {} of {} bytes came",
                part.status, part.came, part.stated
            ));
        }
        ends
    }
}
