//! Many small engines in one thread: each listens at an address of its own, answers at once and notes when it was met.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What one engine has seen.
#[derive(Clone, Debug, Default)]
pub struct Met {
    pub requests: usize,
    pub first: Option<Instant>,
    pub last: Option<Instant>,
    /// When each request came, if that is kept.
    pub times: Vec<Instant>,
    /// Requests whose id had come before, here or to another engine, if that is kept.
    pub again: usize,
}

/// How an engine behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Ill {
    /// It answers at once.
    #[default]
    Well,
    /// This share of its answers, spread evenly, is an error.
    Failing(f64),
    /// It answers nothing.
    Silent,
    /// It answers after this.
    Slow(Duration),
}

/// The engines. They end with the process.
pub struct Fleet {
    pub addresses: Vec<SocketAddr>,
    met: Arc<Mutex<Vec<Met>>>,
    ill: Arc<Mutex<Vec<Ill>>>,
}

/// Ids of requests that came to any engine.
type Ids = Arc<Mutex<HashSet<String>>>;

impl Fleet {
    /// So many engines, on loopback.
    pub fn start(engines: usize) -> Fleet {
        Fleet::start_with(engines, false)
    }

    /// The same, and they keep when each request came.
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
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async move {
                let mut listeners = Vec::new();
                for _ in 0..engines {
                    listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
                }
                let addresses = listeners.iter().map(|l| l.local_addr().expect("an address")).collect();
                tell.send(addresses).expect("who asked");
                for (which, listener) in listeners.into_iter().enumerate() {
                    let ids = keep.then(|| ids.clone());
                    tokio::spawn(accept(listener, which, there.clone(), how.clone(), ids));
                }
                std::future::pending::<()>().await;
            });
        });
        Fleet { addresses: told.recv().expect("addresses"), met, ill }
    }

    /// These engines behave so from now on.
    pub fn fall(&self, engines: std::ops::Range<usize>, ill: Ill) {
        self.ill.lock().expect("a lock")[engines].fill(ill);
    }

    /// What each engine has seen so far.
    pub fn met(&self) -> Vec<Met> {
        self.met.lock().expect("a lock").clone()
    }

    /// How long after `at` the last request came to an engine.
    pub fn last_after(&self, which: usize, at: Instant) -> Option<Duration> {
        self.met.lock().expect("a lock")[which].last.and_then(|last| last.checked_duration_since(at))
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

/// Answers requests without a body.
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
            let mut met = met.lock().expect("a lock");
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
        let ill = ill.lock().expect("a lock")[which];
        let good: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade";
        let bad: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nlost";
        let answer = match ill {
            // By the golden ratio: evenly spread, and in step with nothing.
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

/// Whether a request's id has come before.
fn came_before(head: &[u8], ids: &Ids) -> bool {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix("x-correlation-id:"));
    id.is_some_and(|id| !ids.lock().expect("a lock").insert(id.trim().to_owned()))
}
