//! A server of a service: signs up by beats, and serves one request at a time on a connection.

use crate::http::{call, Conn, Head};
use crate::record::Record;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that a server has begun to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub service: String,
    pub try_id: String,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: (Ipv4Addr, u16),
    pub record: Arc<Record>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    calls: AtomicU64,
}

/// What a server does with a request whose head it has read: true keeps the connection.
pub type Behaviour = Arc<dyn Fn(&Server, &Head, &mut Conn) -> bool + Send + Sync>;

impl Server {
    pub fn new(
        id: &str,
        service: &str,
        zone: &str,
        address: (Ipv4Addr, u16),
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Server {
        Server {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address,
            record: record.clone(),
            runs: runs.clone(),
            calls: AtomicU64::new(0),
        }
    }

    /// Notes that the server begins work on a request.
    pub fn begin(&self, head: &Head) -> String {
        let try_id = head.get("try-id").unwrap_or_default();
        let run = Run { server: self.id.clone(), service: self.service.clone(), try_id: try_id.clone() };
        self.record.line(&format!("RUN    {} of {} begins {try_id} [{}]", self.id, self.service, head.line));
        self.runs.lock().unwrap().push(run);
        try_id
    }

    pub fn seal(&self, try_id: &str) -> String {
        format!("Try-Id: {try_id}\r\nServer-Seal: {}.{try_id}\r\n", self.id)
    }

    /// Reads the whole request, works, and answers 200.
    pub fn serve(&self, head: &Head, conn: &mut Conn, work: Duration) -> bool {
        let (_, whole) = conn.body(head, false, Instant::now() + Duration::from_secs(20));
        if !whole {
            self.record.line(&format!(
                "SERVER {} got {} in part only and drops it",
                self.id,
                head.get("try-id").unwrap_or_default()
            ));
            return false;
        }
        let try_id = self.begin(head);
        thread::sleep(work);
        self.done(&try_id, conn)
    }

    /// Answers 200 with the seal.
    pub fn done(&self, try_id: &str, conn: &mut Conn) -> bool {
        let body = format!("done {try_id}");
        conn.write(
            format!("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{body}", self.seal(try_id), body.len())
                .as_bytes(),
        )
        .is_ok()
    }

    fn beat(&self, controls: &[SocketAddr], at: &mut usize) {
        let count = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}:{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\"serverState\":\"ready\",\"coldLeftMs\":0,\"callCount\":{count}}}",
            self.service, self.address.0, self.address.1, self.zone
        );
        for _ in 0..controls.len() {
            let to = controls[*at % controls.len()];
            let text = format!("POST /servers/{}/beat HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", self.id, body.len());
            match call(to, text.as_bytes(), "POST", Duration::from_secs(1)) {
                Ok(answer) if answer.status / 100 == 2 => return,
                _ => *at += 1,
            }
        }
    }
}

/// Starts a server; it signs up with one of `controls`.
pub fn start(server: Server, behaviour: Behaviour, controls: Vec<SocketAddr>, small_window: bool) {
    let server = Arc::new(server);
    let listener =
        TcpListener::bind(server.address).unwrap_or_else(|e| crate::cannot_run(&format!("server: {e}")));
    if small_window {
        set_small_window(&listener);
    }
    let (s, b) = (server.clone(), behaviour);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (s, b) = (s.clone(), b.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(head)) = conn.head(Instant::now() + Duration::from_secs(10)) {
                    if head.method() == "GET" && head.path() == "/health" {
                        let _ = conn.write(
                            format!("HTTP/1.1 200 OK\r\nServer-Id: {}\r\nContent-Length: 0\r\n\r\n", s.id)
                                .as_bytes(),
                        );
                        continue;
                    }
                    let try_id = head.get("try-id").unwrap_or_default();
                    if head.get("meant-server").is_some_and(|m| m != s.id) {
                        let (_, _) = conn.body(&head, false, Instant::now() + Duration::from_secs(10));
                        s.record.line(&format!("SERVER {} turns {try_id} away with 421", s.id));
                        let _ = conn.write(format!("HTTP/1.1 421 Misdirected Request\r\nTry-Id: {try_id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n").as_bytes());
                        continue;
                    }
                    if !b(&s, &head, &mut conn) {
                        break;
                    }
                }
            });
        }
    });
    let s = server;
    thread::spawn(move || {
        let mut at = s.address.0.octets()[3] as usize;
        loop {
            s.beat(&controls, &mut at);
            thread::sleep(Duration::from_millis(1500));
        }
    });
}

/// Reads the whole request and begins to work on it; `None` if it breaks off.
pub fn begin_early(server: &Server, head: &Head, conn: &mut Conn) -> Option<String> {
    let (_, whole) = conn.body(head, false, Instant::now() + Duration::from_secs(20));
    whole.then(|| server.begin(head))
}

/// Connections that come in have a receive buffer of 64 KiB, as on the platform's links with their small windows.
fn set_small_window(listener: &TcpListener) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 64 * 1024;
    // The socket is open, and the value is a valid `int` during the call.
    if unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) } != 0 {
        crate::cannot_run("the receive buffer cannot be set");
    }
}
