//! Requests at a rate, each counted once.

use crate::client::{Ask, Client, End, Try};
use crate::cluster::ZONES;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Requests a second that one client sends at most.
const EACH: f64 = 10.0;

/// What came of some requests.
#[derive(Clone, Debug, Default)]
pub struct Count {
    /// Served, refused, failed.
    pub ends: [u64; 3],
    /// Successes that are not a server's whole answer to the very try: never allowed.
    pub mixed: u64,
    /// Time of those served, ms.
    pub took: Vec<f64>,
    /// The tries, where they are kept.
    pub attempts: Vec<(End, Vec<Try>)>,
}

impl Count {
    /// All requests.
    pub fn all(&self) -> u64 {
        self.ends.iter().sum()
    }

    /// Takes another's numbers in.
    pub fn add(&mut self, other: Count) {
        self.ends.iter_mut().zip(other.ends).for_each(|(own, more)| *own += more);
        self.mixed += other.mixed;
        self.took.extend(other.took);
        self.attempts.extend(other.attempts);
    }

    /// One line.
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

/// Traffic that runs until it is stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    count: Arc<Mutex<Count>>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Sends the requests in turn, so many a second in all; `keep`: all tries are kept, for a test to look at.
    pub fn start(directories: &[SocketAddr], asks: &[Ask], rate: f64, keep: bool) -> Traffic {
        let clients = (rate / EACH).ceil().max(1.0) as usize;
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
                    if let (End::Served, Some(first), Some(last)) = (end, attempts.first(), attempts.last()) {
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

    /// What has been counted since the last look.
    pub fn take(&self) -> Count {
        std::mem::take(&mut *self.count.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Stops, waits for what is under way, and gives what was counted since the last look.
    pub fn stop(self) -> Count {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|c| _ = c.join());
        std::mem::take(&mut *self.count.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
