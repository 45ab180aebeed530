//! Load generator: sends requests at a fixed rate and counts their outcomes.

use crate::client::{Client, ClientRequest, RequestOutcome, Try};
use crate::cluster::ZONES;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum rate of one client, in requests per second.
const MAX_CLIENT_RATE: f64 = 10.0;

/// Counts of request outcomes.
#[derive(Clone, Debug, Default)]
pub struct Count {
    /// Number of requests by outcome: served, refused, failed.
    pub ends: [u64; 3],
    /// Number of 2xx answers that are not a server's complete answer to the try, which is never allowed.
    pub mixed: u64,
    /// Latencies of served requests, in milliseconds.
    pub took: Vec<f64>,
    /// Outcome and tries of each request, if they are kept.
    pub attempts: Vec<(RequestOutcome, Vec<Try>)>,
}

impl Count {
    /// Returns the number of requests.
    pub fn all(&self) -> u64 {
        self.ends.iter().sum()
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Count) {
        self.ends.iter_mut().zip(other.ends).for_each(|(own, more)| *own += more);
        self.mixed += other.mixed;
        self.took.extend(other.took);
        self.attempts.extend(other.attempts);
    }

    /// Formats the counts and the latencies' 50th and 99th percentile as one line.
    pub fn line(&self) -> String {
        let mut took = self.took.clone();
        took.sort_by(f64::total_cmp);
        let at = |share: f64| {
            took.get((took.len() as f64 * share) as usize).or(took.last()).copied().unwrap_or(0.0)
        };
        let [served, refused, failed] = self.ends;
        let mixed = if self.mixed > 0 { format!("; {} MIXED", self.mixed) } else { String::new() };
        format!(
            "{:6} requests, {served} served, {refused} refused, {failed} failed; p50 {:.1} ms, p99 {:.1} ms{mixed}",
            self.all(),
            at(0.5),
            at(0.99)
        )
    }
}

/// Load that runs in threads until it is stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    count: Arc<Mutex<Count>>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts to send the given requests in turn, at `rate` per second in total. If `keep` is set, all tries are recorded.
    pub fn start(directories: &[SocketAddr], asks: &[ClientRequest], rate: f64, keep: bool) -> Traffic {
        let clients = (rate / MAX_CLIENT_RATE).ceil().max(1.0) as usize;
        let every = Duration::from_secs_f64(clients as f64 / rate.max(0.1));
        let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Count::default())));
        let client = |nth: usize| {
            let mut directories = directories.to_vec();
            let from = nth % directories.len().max(1);
            directories.rotate_left(from);
            let (asks, stop, count) = (asks.to_vec(), stop.clone(), count.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(directories, ZONES[nth % ZONES.len()]);
                let mut next = Instant::now() + every.mul_f64(crate::random_u64() as f64 / u64::MAX as f64);
                let mut turn = nth;
                while !stop.load(Ordering::SeqCst) {
                    crate::wait::moment(next);
                    next = (next + every).max(Instant::now() - every);
                    turn += 1;
                    let (end, attempts) = client.ask(&asks[turn % asks.len()]);
                    let mut one = Count {
                        mixed: attempts.iter().filter(|t| t.is_mixed()).count() as u64,
                        ..Count::default()
                    };
                    one.ends[end as usize] = 1;
                    if let (RequestOutcome::Served, Some(first), Some(last)) =
                        (end, attempts.first(), attempts.last())
                    {
                        one.took.push((last.ended - first.sent).as_secs_f64() * 1000.0);
                    }
                    if keep {
                        one.attempts.push((end, attempts));
                    }
                    count.lock().unwrap_or_else(PoisonError::into_inner).add(one);
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Traffic { stop, count, clients }
    }

    /// Returns the counts since the last call and resets them.
    pub fn take(&self) -> Count {
        std::mem::take(&mut *self.count.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Stops sending, waits for outstanding requests and returns the counts since the last [`Traffic::take`].
    pub fn stop(self) -> Count {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|c| _ = c.join());
        std::mem::take(&mut *self.count.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
