//! Small stand-ins for servers, discovery and the counter on loopback sockets, and the real limiter
//! started against them.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest that anything here is waited for.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// A message as it came over a socket.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
}

/// Reads one message with a stated length; none at the end of the connection.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut all =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    all.extend_from_slice(body);
    all
}

/// What a server does with a request.
pub enum Act {
    /// Writes these bytes.
    Write(Vec<u8>),
    /// Waits, then writes.
    Late(Duration, Vec<u8>),
    /// Writes these bytes and closes.
    Close(Vec<u8>),
    /// Writes bytes, waits, and writes others that nobody asked for.
    Twice(Vec<u8>, Duration, Vec<u8>),
    /// Says nothing until the limiter closes.
    Silence,
}

/// A server whose `act` decides on each request.
pub struct Server {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicUsize>,
    /// How long each connection had been quiet when the limiter closed it; nothing where the server did.
    pub closed: Receiver<Duration>,
    /// The second write of each [`Act::Twice`] is done.
    pub wrote: Receiver<()>,
}

impl Server {
    pub fn start(act: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let (sender, closed) = channel();
        let (told, wrote) = channel();
        let (act, seen_there, open) = (Arc::new(act), seen.clone(), connections.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                open.fetch_add(1, Ordering::SeqCst);
                let (act, seen, sender) = (act.clone(), seen_there.clone(), sender.clone());
                let told = told.clone();
                std::thread::spawn(move || serve(stream, &*act, &seen, &sender, &told));
            }
        });
        Server { address, seen, connections, closed, wrote }
    }

    pub fn ok() -> Server {
        Server::start(|m| Act::Write(answer("200 OK", "X-Backend-Load: queue=0\r\n", m.start.as_bytes())))
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("a lock").len()
    }
}

fn serve(
    mut stream: TcpStream,
    act: &(dyn Fn(&Message) -> Act + Send + Sync),
    seen: &Mutex<Vec<Message>>,
    closed: &Sender<Duration>,
    wrote: &Sender<()>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    loop {
        let quiet = Instant::now();
        let Some(message) = read_message(&mut reader) else {
            let _ = closed.send(quiet.elapsed());
            return;
        };
        seen.lock().expect("a lock").push(message.clone());
        match act(&message) {
            Act::Write(bytes) => _ = stream.write_all(&bytes),
            Act::Twice(bytes, wait, more) => {
                if wait.is_zero() {
                    let _ = stream.write_all(&[bytes, more].concat());
                } else {
                    let _ = stream.write_all(&bytes);
                    std::thread::sleep(wait);
                    let _ = stream.write_all(&more);
                }
                let _ = wrote.send(());
            }
            Act::Late(wait, bytes) => {
                std::thread::sleep(wait);
                let _ = stream.write_all(&bytes);
            }
            Act::Close(bytes) => {
                let _ = stream.write_all(&bytes);
                // Not just dropped: a process that another thread is starting holds every descriptor until it
                // has become its own program, and so long the connection would stay open.
                let _ = stream.shutdown(std::net::Shutdown::Both);
                drop((stream, reader));
                let _ = closed.send(Duration::ZERO);
                return;
            }
            Act::Silence => {}
        }
    }
}

/// A discovery agent: `list` is the whole list, and what is sent on `watch` goes to all open watches raw.
pub struct Discovery {
    pub address: SocketAddr,
    pub list: Arc<Mutex<String>>,
    pub asked: Arc<Mutex<Vec<String>>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// Watches send no empty lines, as if they were dead.
    pub mute: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(list: String) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let list = Arc::new(Mutex::new(list));
        let (asked, watches) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let (list_there, asked_there, watches_there) = (list.clone(), asked.clone(), watches.clone());
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                let Some(message) = read_message(&mut reader) else { continue };
                asked_there.lock().expect("a lock").push(message.start.clone());
                if message.start.contains("follow=1") {
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n";
                    let _ = stream.write_all(head.as_bytes());
                    watches_there.lock().expect("a lock").push(stream);
                } else {
                    let list = list_there.lock().expect("a lock").clone();
                    let _ = stream.write_all(&answer("200 OK", "", list.as_bytes()));
                }
            }
        });
        let mute = Arc::new(AtomicBool::new(false));
        let (open, quiet) = (watches.clone(), mute.clone());
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(500));
            if !quiet.load(Ordering::SeqCst) {
                for stream in open.lock().expect("a lock").iter_mut() {
                    let _ = stream.write_all(b"2\r\n\r\n\r\n");
                }
            }
        });
        Discovery { address, list, asked, watches, mute }
    }

    /// Writes a piece of a watch's answer as a chunk of its own.
    pub fn write(&self, piece: &str) {
        for stream in self.watches.lock().expect("a lock").iter_mut() {
            let _ = stream.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes());
        }
    }

    pub fn watching(&self) -> usize {
        self.watches.lock().expect("a lock").len()
    }
}

/// A counter that adds up, and lets `twist` change an answer: the call's line and total in, bytes out.
pub struct Counter {
    pub address: SocketAddr,
    /// Sum of all amounts that calls have added.
    pub added: Arc<Mutex<f64>>,
    pub calls: Arc<AtomicUsize>,
    pub connections: Arc<AtomicUsize>,
}

impl Counter {
    pub fn start(twist: impl Fn(usize, f64) -> Vec<u8> + Send + Sync + 'static) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (calls, connections) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let totals = Arc::new(Mutex::new(std::collections::HashMap::<String, f64>::new()));
        let added = Arc::new(Mutex::new(0.0));
        let sum = added.clone();
        let (calls_there, open, twist) = (calls.clone(), connections.clone(), Arc::new(twist));
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                open.fetch_add(1, Ordering::SeqCst);
                let sum = sum.clone();
                let (totals, calls, twist) = (totals.clone(), calls_there.clone(), twist.clone());
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().expect("a clone"));
                    for line in reader.lines().map_while(Result::ok) {
                        let words: Vec<&str> = line.split(' ').collect();
                        let bytes = match words[..] {
                            ["bump", name, add, _] => {
                                let add: f64 = add.parse().expect("an amount");
                                *sum.lock().expect("a lock") += add;
                                let total = {
                                    let mut totals = totals.lock().expect("a lock");
                                    let total = totals.entry(name.to_owned()).or_default();
                                    *total += add;
                                    *total
                                };
                                twist(calls.fetch_add(1, Ordering::SeqCst), total)
                            }
                            _ => b"pong\r\n".to_vec(),
                        };
                        if stream.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Counter { address, added, calls, connections }
    }

    pub fn ok() -> Counter {
        Counter::start(|_, total| format!("ok {total}\r\n").into_bytes())
    }
}

/// One entry of a list.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

/// What a limiter is started with.
pub struct Setup {
    pub listen: String,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub known: String,
    pub sockets: usize,
    /// The shell's limit on descriptors.
    pub descriptors: Option<usize>,
    pub conn_idle: f64,
    pub gateways: usize,
    pub plan: &'static str,
}

/// A plan whose quota no test reaches.
pub const WIDE: &str = r#"{"name":"team","rate":100000,"store_size":100000}"#;

impl Setup {
    pub fn new(discovery: SocketAddr, counter: SocketAddr, known: &str) -> Setup {
        Setup {
            listen: "127.0.0.1:0".into(),
            discovery,
            counter,
            known: known.into(),
            sockets: 1024,
            descriptors: None,
            conn_idle: 15_000.0,
            gateways: 2,
            plan: WIDE,
        }
    }

    pub fn config(&self) -> String {
        let class = |name: &str, kind: &str, goal: u32, deadline: u32| {
            format!(
                r#"{{"name":"{name}","deadline":{deadline},"goal_time":{goal},"importance":2,"idempotency":"{kind}","group":"all","repeat_window":25000,"late_value":0}}"#
            )
        };
        let classes = [
            class("look", "free", 1500, 2000),
            class("book", "guarded", 1500, 2000),
            class("once", "single_shot", 1500, 2000),
            class("long", "single_shot", 20_000, 30_000),
        ];
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","counter":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":{}}},"known":{},
            "settings":{{"balancers":{},"areas":["a","b"],"zone":0,"discovery":"pushed","classes":[{}],"plans":[{}],
            "report":{{"source":"answers","columns":["queue"]}},
            "ceilings":{{"conn_idle":{},"connect_timeout":250,"max_attempts":4,"cancelling":true,"parallel_tries":true,"retry_after":true,"max_retry_after":1000}},
            "family_info":{{"shared_counter":true,"counter_timeout":50,"max_units":2}},
            "safety":{{"start_capacity":0.16,"warm_after":16000,"overload_factor":2,"tip_after":1000}}}}}}"#,
            self.listen,
            self.discovery,
            self.counter,
            self.sockets,
            self.known,
            self.gateways,
            classes.join(","),
            self.plan,
            self.conn_idle
        )
    }

    /// Starts the limiter at the path `program` and waits until it says that it can serve.
    pub fn start(&self, program: &str) -> Limiter {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("oatbank-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, self.config()).expect("a configuration");
        let mut command = match self.descriptors {
            Some(n) => {
                let mut shell = Command::new("/bin/sh");
                shell.arg("-c").arg(format!("ulimit -n {n}; exec {program}"));
                shell
            }
            None => Command::new(program),
        };
        command.env("PROXY_CONFIG", &path).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the limiter");
        let mut log = BufReader::new(child.stderr.take().expect("a log")).lines();
        let address = loop {
            let line = log.next().expect("a line of the log").expect("text");
            if let Some((_, address)) = line.split_once(" serves ") {
                break address.parse().expect("an address");
            }
        };
        std::thread::spawn(move || log.for_each(drop));
        let limiter = Limiter { child, address, path };
        eventually("healthz", || limiter.client().get("/healthz", "").status() == 200);
        limiter
    }
}

/// A running limiter.
pub struct Limiter {
    pub child: Child,
    pub address: SocketAddr,
    path: std::path::PathBuf,
}

impl Limiter {
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the file of the configuration and tells the limiter.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("a configuration");
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// Waits for the process and gives its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status.code();
            }
            assert!(Instant::now() < end, "the limiter does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        Client { stream, reader }
    }

    /// Writes a request without reading its answer.
    pub fn send(&mut self, method: &str, class: &str, headers: &str, body: &[u8]) {
        let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "{method} /{class}?customer=00000000b4d65521 HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: {id:016x}\r\nX-Service-Class: {class}\r\nX-Plan: team\r\nX-Quota: units=1,spread=2,first=0\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.stream.write_all(&[head.as_bytes(), body].concat()).expect("a request is written");
    }

    pub fn raw(&mut self, bytes: &[u8]) -> Option<Message> {
        let _ = self.stream.write_all(bytes);
        self.read()
    }

    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    pub fn get(&mut self, path: &str, headers: &str) -> Message {
        let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
        self.raw(request.as_bytes()).expect("an answer")
    }

    /// A request of the safe class.
    pub fn look(&mut self) -> Message {
        self.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
        self.read().expect("an answer")
    }

    /// One of the class that may run once only.
    pub fn once(&mut self, left: &str) -> Message {
        self.send("POST", "once", &format!("X-Time-Left: {left}\r\n"), b"{}");
        self.read().expect("an answer")
    }
}

/// Waits until something holds.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
