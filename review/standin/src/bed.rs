//! A small deployment, and what its operator and clients do.

use crate::cannot_run;
use crate::cluster::Cluster;
use crate::http::{call, Answer, Conn};
use crate::record::Record;
use crate::server::{self, Behaviour, Run, Server};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A small deployment with its servers, operator and clients.
pub struct Bed {
    cluster: Cluster,
    pub record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    servers: u8,
}

impl Bed {
    pub fn new(folder: &str, proxies: usize) -> Bed {
        let record = Arc::new(Record::new(&PathBuf::from(folder).join("record.txt")));
        let cluster = Cluster::start(proxies, record.clone());
        Bed { cluster, record, runs: Arc::default(), servers: 0 }
    }

    /// Starts a server.
    pub fn add(&mut self, id: &str, service: &str, zone: &str, behaviour: Behaviour) {
        self.start(id, service, zone, behaviour, false);
    }

    /// Starts a server with a small window: while it does not read, its callers are held up.
    pub fn add_with_window(&mut self, id: &str, service: &str, zone: &str, behaviour: Behaviour) {
        self.start(id, service, zone, behaviour, true);
    }

    fn start(&mut self, id: &str, service: &str, zone: &str, behaviour: Behaviour, small_window: bool) {
        let address = self.cluster.server_address(self.servers);
        self.servers += 1;
        let server = Server::new(id, service, zone, address, &self.record, &self.runs);
        server::start(server, behaviour, self.cluster.controls(), small_window);
    }

    pub fn front(&self, nth: usize) -> SocketAddr {
        self.cluster.front(nth)
    }

    pub fn wait_ready(&self) {
        self.cluster.wait_ready();
    }

    /// Sends an order as the operator does: to another machine after a failure, a 5xx or a second of silence.
    fn order(&self, path: &str, body: &str) -> Answer {
        let controls = self.cluster.controls();
        let until = Instant::now() + Duration::from_secs(20);
        let mut at = 0;
        while Instant::now() < until {
            let to = controls[at % controls.len()];
            let text = format!("POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
            if let Ok(answer) = call(to, text.as_bytes(), "POST", Duration::from_secs(1)) {
                self.record.line(&format!(
                    "ORDER  {path} at {to}: {} {}",
                    answer.status,
                    String::from_utf8_lossy(&answer.body)
                ));
                if answer.status < 500 && answer.status != 408 && answer.status != 429 {
                    return answer;
                }
            }
            at += 1;
            thread::sleep(Duration::from_millis(200));
        }
        cannot_run(&format!("{path} was never answered"))
    }

    pub fn configure(&self, body: &str) {
        let answer = self.order("/settings/replace", body);
        if answer.status != 200 {
            cannot_run(&format!(
                "the configuration was not taken: {} {}",
                answer.status,
                String::from_utf8_lossy(&answer.body)
            ));
        }
    }

    pub fn runs_of(&self, try_id: &str) -> Vec<Run> {
        self.runs.lock().unwrap().iter().filter(|run| run.try_id == try_id).cloned().collect()
    }

    /// Sends one request on a new connection and returns its answer.
    pub fn send(
        &self,
        front: usize,
        head: &str,
        try_id: &str,
        body: &[u8],
        within: Duration,
    ) -> std::io::Result<Answer> {
        self.send_on(
            &mut Conn::new(TcpStream::connect_timeout(&self.cluster.front(front), Duration::from_secs(1))?),
            head,
            try_id,
            body,
            within,
        )
    }

    fn send_on(
        &self,
        conn: &mut Conn,
        head: &str,
        try_id: &str,
        body: &[u8],
        within: Duration,
    ) -> std::io::Result<Answer> {
        let line = head.lines().next().unwrap_or("").to_owned();
        self.record.line(&format!("SENT   {try_id} [{line}]"));
        let method = line.split(' ').next().unwrap_or("").to_owned();
        let mut text = format!("{}\r\nTry-Id: {try_id}\r\n", head.replace('\n', "\r\n"));
        if !body.is_empty() || method == "POST" {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        conn.write(&bytes)?;
        let answer = conn.answer(&method, within);
        log_answer(&self.record, try_id, &answer);
        answer
    }

    pub fn end(mut self, broken: &[String]) -> ! {
        for line in self.cluster.ended() {
            self.record.line(&format!("ended by itself: {line}"));
        }
        for line in broken {
            self.record.line(&format!("BROKEN {line}"));
            println!("BROKEN {line}");
        }
        self.record.line(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
        drop(self.cluster);
        std::process::exit(i32::from(!broken.is_empty()))
    }
}

/// A long request, sent as fast as it is read.
pub struct Upload<'a> {
    pub front: SocketAddr,
    pub path: &'a str,
    pub try_id: &'a str,
    pub time_left_ms: u64,
    pub length: usize,
}

impl Upload<'_> {
    pub fn send(&self, record: &Record, within: Duration) -> std::io::Result<Answer> {
        let Upload { path, try_id, time_left_ms, length, .. } = *self;
        let mut conn = Conn::new(TcpStream::connect_timeout(&self.front, Duration::from_secs(1))?);
        record.line(&format!("SENT   {try_id} [POST {path}], {length} bytes"));
        conn.write(format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nTry-Id: {try_id}\r\nTime-Left-Ms: {time_left_ms}\r\nContent-Length: {length}\r\n\r\n").as_bytes())?;
        let mut writer = conn.stream.try_clone()?;
        let writing = thread::spawn(move || {
            let piece = [b'x'; 50_000];
            let mut left = length;
            while left > 0 {
                let n = left.min(piece.len());
                if writer.write_all(&piece[..n]).is_err() {
                    return;
                }
                left -= n;
            }
        });
        let answer = conn.answer("POST", within);
        log_answer(record, try_id, &answer);
        let _ = conn.stream.shutdown(std::net::Shutdown::Both);
        let _ = writing.join();
        answer
    }
}

fn log_answer(record: &Record, try_id: &str, answer: &std::io::Result<Answer>) {
    match answer {
        Ok(a) => record.line(&format!(
            "ANSWER {try_id}: {}, Server-Seal {}, Retry-After {}, {} bytes, {}: {}",
            a.status,
            a.head.get("server-seal").unwrap_or("none".into()),
            a.head.get("retry-after").unwrap_or("none".into()),
            a.body.len(),
            if a.whole { "whole" } else { "cut" },
            String::from_utf8_lossy(&a.body[..a.body.len().min(90)]).trim()
        )),
        Err(e) => record.line(&format!("ANSWER {try_id}: none, {e}")),
    }
}
