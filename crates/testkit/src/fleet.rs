//! Many small fake engines on one thread. Each has its own address, responds immediately and records its requests.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Requests recorded by one engine.
#[derive(Clone, Debug, Default)]
pub struct Met {
    pub requests: usize,
    pub first: Option<Instant>,
    pub last: Option<Instant>,
    /// Arrival time of each request, if recording is enabled.
    pub times: Vec<Instant>,
    /// Number of requests whose id had already reached any engine, if recording is enabled.
    pub again: usize,
}

/// Behaviour of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Ill {
    /// Responds immediately.
    #[default]
    Well,
    /// Responds with an error to this fraction of requests, evenly spread.
    Failing(f64),
    /// Never responds.
    Silent,
    /// Responds after this delay.
    Slow(Duration),
}

/// A set of fake engines, which run until the process exits.
pub struct Fleet {
    pub addresses: Vec<SocketAddr>,
    met: Arc<Mutex<Vec<Met>>>,
    ill: Arc<Mutex<Vec<Ill>>>,
}

/// Ids of the requests that reached any engine.
type Ids = Arc<Mutex<HashSet<String>>>;

impl Fleet {
    /// Starts the given number of engines on loopback.
    pub fn start(engines: usize) -> Fleet {
        Fleet::start_with(engines, false)
    }

    /// Starts engines that also record arrival times and repeated request ids.
    pub fn start_and_keep(engines: usize) -> Fleet {
        Fleet::start_with(engines, true)
    }

    fn start_with(engines: usize, keep: bool) -> Fleet {
        let met = Arc::new(Mutex::new(vec![Met::default(); engines]));
        let (tell, told) = std::sync::mpsc::channel();
        let there = met.clone();
        let ill = Arc::new(Mutex::new(vec![Ill::Well; engines]));
        let (how, ids) = (ill.clone(), Ids::default());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("building the runtime failed");
            runtime.block_on(async move {
                let mut listeners = Vec::new();
                for _ in 0..engines {
                    listeners.push(
                        TcpListener::bind("127.0.0.1:0").await.expect("binding a loopback port failed"),
                    );
                }
                let addresses = listeners.iter().map(|l| l.local_addr().expect("no local address")).collect();
                tell.send(addresses).expect("receiver dropped");
                for (which, listener) in listeners.into_iter().enumerate() {
                    let ids = keep.then(|| ids.clone());
                    tokio::spawn(accept(listener, which, there.clone(), how.clone(), ids));
                }
                std::future::pending::<()>().await;
            });
        });
        Fleet { addresses: told.recv().expect("engine thread ended during startup"), met, ill }
    }

    /// Sets the behaviour of a range of engines.
    pub fn fall(&self, engines: std::ops::Range<usize>, ill: Ill) {
        self.ill.lock().expect("lock poisoned")[engines].fill(ill);
    }

    /// Returns the requests recorded so far, by engine.
    pub fn met(&self) -> Vec<Met> {
        self.met.lock().expect("lock poisoned").clone()
    }

    /// Returns how long after `at` the last request reached an engine, or `None` if none came after it.
    pub fn last_after(&self, which: usize, at: Instant) -> Option<Duration> {
        self.met.lock().expect("lock poisoned")[which].last.and_then(|last| last.checked_duration_since(at))
    }
}

async fn accept(
    listener: TcpListener,
    which: usize,
    met: Arc<Mutex<Vec<Met>>>,
    ill: Arc<Mutex<Vec<Ill>>>,
    ids: Option<Ids>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, which, met.clone(), ill.clone(), ids.clone()));
    }
}

/// Serves one connection. Requests must not have a body.
async fn serve(
    mut stream: TcpStream,
    which: usize,
    met: Arc<Mutex<Vec<Met>>>,
    ill: Arc<Mutex<Vec<Ill>>>,
    ids: Option<Ids>,
) {
    let (mut head, mut buffer) = (Vec::new(), [0; 2048]);
    while let Ok(n @ 1..) = stream.read(&mut buffer).await {
        head.extend_from_slice(&buffer[..n]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let again = ids.as_ref().is_some_and(|ids| came_before(&head, ids));
        head.clear();
        let count = {
            let mut met = met.lock().expect("lock poisoned");
            met[which].requests += 1;
            let now = Instant::now();
            met[which].first.get_or_insert(now);
            met[which].last = Some(now);
            if ids.is_some() {
                met[which].times.push(now);
                met[which].again += usize::from(again);
            }
            met[which].requests
        };
        let ill = ill.lock().expect("lock poisoned")[which];
        let good: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
        let bad: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nlost";
        let answer = match ill {
            // Multiples of the golden ratio spread failures evenly, without a period that could align with the requests.
            Ill::Failing(share) if (count as f64 * 0.618_033_988_749_895).fract() < share => bad,
            Ill::Silent => continue,
            Ill::Slow(by) => {
                tokio::time::sleep(by).await;
                good
            }
            _ => good,
        };
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

/// Records a request's id and returns whether it was already known.
fn came_before(head: &[u8], ids: &Ids) -> bool {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix("x-correlation-id:"));
    id.is_some_and(|id| !ids.lock().expect("lock poisoned").insert(id.trim().to_owned()))
}
