//! What the tests share: a system that serves, tries sent at proxies without a pause, and what the servers saw of them.

#![allow(dead_code, unreachable_pub)]

use oatbank_local_cluster::client::{try_at, Ask, Try};
use oatbank_local_cluster::cluster::{LocalCluster, Plan};
use oatbank_local_cluster::operator::{Operator, TestConfiguration};
use oatbank_local_cluster::server::{ReceivedRequest, Server};
use oatbank_local_cluster::wait::{holds, LONG};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub const HOST: &str = "shop.example";
pub const MS: Duration = Duration::from_millis(1);

/// Few systems at once: their times are what is tested.
static ROOM: (Mutex<usize>, Condvar) = (Mutex::new(3), Condvar::new());

struct Room;

impl Room {
    fn take() -> Room {
        let mut free = ROOM.0.lock().unwrap();
        while *free == 0 {
            free = ROOM.1.wait(free).unwrap();
        }
        *free -= 1;
        Room
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        *ROOM.0.lock().unwrap() += 1;
        ROOM.1.notify_one();
    }
}

pub struct System {
    pub servers: Vec<(String, Server)>,
    pub operator: Operator,
    pub configuration: TestConfiguration,
    pub cluster: LocalCluster,
    _room: Room,
}

impl System {
    /// Serves by this configuration, with one server for each name of a service.
    pub fn serving(plan: Plan, configuration: TestConfiguration, services: &[&str]) -> System {
        System::with(plan, configuration, services, 4 * MS)
    }

    /// The same; servers work so long on a request.
    pub fn with(plan: Plan, configuration: TestConfiguration, services: &[&str], work: Duration) -> System {
        let room = Room::take();
        let cluster = LocalCluster::start(plan).unwrap();
        let operator = Operator::new(cluster.controls());
        operator.must_put(&configuration).unwrap();
        let start =
            |(nth, s): (usize, &&str)| ((*s).to_owned(), Server::with(&cluster, nth, s, 16, work).unwrap());
        let servers: Vec<(String, Server)> = services.iter().enumerate().map(start).collect();
        servers.iter().for_each(|(_, server)| _ = server.register().unwrap());
        cluster.until_ready().unwrap();
        System { servers, operator, configuration, cluster, _room: room }
    }

    /// The servers of a service.
    pub fn of(&self, service: &str) -> Vec<&Server> {
        self.servers.iter().filter(|(s, _)| s == service).map(|(_, server)| server).collect()
    }

    /// The service of the server with this id.
    pub fn service_of(&self, id: &str) -> &str {
        &self.servers.iter().find(|(_, s)| s.id() == id).expect("a server of this test").0
    }

    /// The service that a try was served by, if it was.
    pub fn served(&self, of: &Try) -> Option<&str> {
        of.served_by().map(|id| self.service_of(&id))
    }

    /// What all servers saw.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        self.servers.iter().flat_map(|(_, s)| s.seen()).collect()
    }

    /// How often a try has run, as the servers saw it.
    pub fn runs(&self, of: &Try) -> usize {
        self.servers.iter().flat_map(|(_, s)| s.seen()).filter(|s| s.ran && s.try_id == of.id).count()
    }

    /// Waits until a proxy serves this.
    pub fn until_served(&self, front: SocketAddr, ask: &Ask) {
        let served = || try_at(front, ask).served_by().is_some();
        holds(LONG, &format!("{front} serves {}", ask.path), served).unwrap();
    }
}

/// Tries sent at proxies one after the other, by one thread a proxy and request, until it is stopped.
pub struct Hammer {
    stop: Arc<AtomicBool>,
    attempts: Vec<Arc<Mutex<Vec<Try>>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Hammer {
    pub fn start(fronts: &[SocketAddr], asks: &[Ask]) -> Hammer {
        let stop = Arc::new(AtomicBool::new(false));
        let mut hammer = Hammer { stop, attempts: Vec::new(), threads: Vec::new() };
        for (front, ask) in fronts.iter().flat_map(|f| asks.iter().map(move |a| (*f, a.clone()))) {
            let (stop, attempts) = (hammer.stop.clone(), Arc::<Mutex<Vec<Try>>>::default());
            hammer.attempts.push(attempts.clone());
            hammer.threads.push(std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let one = try_at(front, &ask);
                    attempts.lock().unwrap().push(one);
                    std::thread::sleep(5 * MS);
                }
            }));
        }
        hammer
    }

    /// Waits until each thread has had some tries that were sent after this.
    pub fn until_after(&self, at: Instant) {
        let enough =
            |attempts: &Mutex<Vec<Try>>| attempts.lock().unwrap().iter().filter(|t| t.sent > at).count() > 3;
        let left = at.saturating_duration_since(Instant::now()) + LONG;
        holds(left, "tries are sent by each thread", || self.attempts.iter().all(|t| enough(t))).unwrap();
    }

    /// All tries, by thread: proxies in their order, and for each the requests in theirs.
    pub fn stop(self) -> Vec<Vec<Try>> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        self.attempts.iter().map(|t| std::mem::take(&mut *t.lock().unwrap())).collect()
    }
}
