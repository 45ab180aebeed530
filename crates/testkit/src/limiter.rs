//! Starts the real daemon against fake services.

use crate::client::Client;
use crate::wait::{eventually, PATIENCE};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Configuration of a limiter process.
pub struct Setup {
    pub listen: String,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub known: String,
    pub sockets: usize,
    /// Limit on open file descriptors (`ulimit -n`).
    pub descriptors: Option<usize>,
    pub conn_idle: f64,
    pub gateways: usize,
    pub plan: &'static str,
    /// Enables the control address, on a port of its own.
    pub control: bool,
    /// Listening socket for clients, passed as file descriptor 3.
    pub passed: Option<Arc<TcpListener>>,
    /// Additional environment variables.
    pub env: Vec<(String, String)>,
}

/// A plan with a quota that no test exhausts.
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
            control: false,
            passed: None,
            env: Vec::new(),
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
            r#"{{"name":"n0",{}"listen":"{}","discovery":"{}","counter":"{}","seed":"8c1f30d27a5be964","limits":{{"sockets":{}}},"known":{},
            "settings":{{"balancers":{},"areas":["a","b"],"zone":0,"discovery":"pushed","classes":[{}],"plans":[{}],
            "report":{{"source":"answers","columns":["queue"]}},
            "ceilings":{{"conn_idle":{},"connect_timeout":250,"max_attempts":4,"cancelling":true,"parallel_tries":true,"retry_after":true,"max_retry_after":1000}},
            "family_info":{{"shared_counter":true,"counter_timeout":50,"max_units":2}},
            "safety":{{"start_capacity":0.16,"warm_after":16000,"overload_factor":2,"tip_after":1000}}}}}}"#,
            if self.control { r#""control":"127.0.0.1:0","# } else { "" },
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

    /// Starts the limiter at the path `program` and waits until it is ready to serve.
    pub fn start(&self, program: &str) -> Limiter {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("oatbank-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, self.config()).expect("writing the configuration failed");
        let mut command = match self.descriptors {
            Some(n) => {
                let mut shell = Command::new("/bin/sh");
                shell.arg("-c").arg(format!("ulimit -n {n}; exec {program}"));
                shell
            }
            None => Command::new(program),
        };
        if let Some(listener) = &self.passed {
            // The shell duplicates its standard input to descriptor 3.
            command = Command::new("/bin/sh");
            command.arg("-c").arg(format!("exec {program} 3<&0 0</dev/null")).env("PROXY_PASSED_SOCKET", "3");
            command
                .stdin(std::os::fd::OwnedFd::from(listener.try_clone().expect("cloning the socket failed")));
        }
        command.env("PROXY_CONFIG", &path).envs(self.env.iter().cloned()).stderr(Stdio::piped());
        let mut child = command.spawn().expect("starting the limiter failed");
        let mut log = BufReader::new(child.stderr.take().expect("stderr is not piped")).lines();
        let mut control = None;
        let address = loop {
            let line =
                log.next().expect("the limiter ended before it served").expect("reading the log failed");
            if let Some((_, address)) = line.split_once("operators call at ") {
                control = Some(address.parse().expect("invalid address in the log"));
            }
            if let Some((_, address)) = line.split_once(" serves ") {
                break address.parse().expect("invalid address in the log");
            }
        };
        let said = Arc::new(Mutex::new(Vec::new()));
        let saying = said.clone();
        std::thread::spawn(move || {
            log.map_while(Result::ok).for_each(|line| saying.lock().expect("lock poisoned").push(line));
        });
        let limiter = Limiter { child, address, control, path, said };
        match (limiter.control, &self.passed) {
            (Some(_), Some(_)) => eventually("readyz", || limiter.call("GET", "/v1/readyz").0 == 200),
            _ => eventually("healthz", || limiter.client().get("/healthz", "").status() == 200),
        }
        limiter
    }
}

/// A running limiter.
pub struct Limiter {
    pub child: Child,
    pub address: SocketAddr,
    /// Control address, if enabled.
    pub control: Option<SocketAddr>,
    path: std::path::PathBuf,
    said: Arc<Mutex<Vec<String>>>,
}

impl Limiter {
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends a request to the control address. Returns status and body.
    pub fn call(&self, method: &str, path: &str) -> (u16, String) {
        let address = self.control.expect("the control address is not enabled");
        let answer =
            Client::connect(address).raw(format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
        let answer = answer.expect("no response");
        (answer.status(), String::from_utf8(answer.body).expect("body is not UTF-8"))
    }

    /// Returns the number of log lines since startup that contain `words`.
    pub fn said(&self, words: &str) -> usize {
        self.said.lock().expect("lock poisoned").iter().filter(|line| line.contains(words)).count()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.path, config).expect("writing the configuration failed");
        self.signal("-HUP");
    }

    /// Sends a signal, given as an option of `kill` such as `-STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("running kill failed").success());
    }

    /// Waits for the process to exit and returns its exit code, or `None` if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("waiting for the process failed") {
                return status.code();
            }
            assert!(Instant::now() < end, "the limiter did not exit in time");
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
