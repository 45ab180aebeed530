//! Shared test setup: a running cluster with servers, clients that send tries continuously, and the servers' records.

#![allow(dead_code, unreachable_pub)]

use oatbank_local_cluster::client::{try_at, ClientRequest, Try};
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

/// Limits the clusters that run at the same time to three, as the tests check response times.
static FREE_CLUSTERS: (Mutex<usize>, Condvar) = (Mutex::new(3), Condvar::new());

struct ClusterPermit;

impl ClusterPermit {
    fn take() -> ClusterPermit {
        let mut free = FREE_CLUSTERS.0.lock().unwrap();
        while *free == 0 {
            free = FREE_CLUSTERS.1.wait(free).unwrap();
        }
        *free -= 1;
        ClusterPermit
    }
}

impl Drop for ClusterPermit {
    fn drop(&mut self) {
        *FREE_CLUSTERS.0.lock().unwrap() += 1;
        FREE_CLUSTERS.1.notify_one();
    }
}

pub struct System {
    pub servers: Vec<(String, Server)>,
    pub operator: Operator,
    pub configuration: TestConfiguration,
    pub cluster: LocalCluster,
    _permit: ClusterPermit,
}

impl System {
    /// Starts a cluster with a configuration and one server per entry of `services`, each with a run time of 4 ms.
    pub fn serving(plan: Plan, configuration: TestConfiguration, services: &[&str]) -> System {
        System::with(plan, configuration, services, 4 * MS)
    }

    /// Starts a cluster with a configuration and one server per entry of `services`, each with the run time `work`.
    pub fn with(plan: Plan, configuration: TestConfiguration, services: &[&str], work: Duration) -> System {
        let permit = ClusterPermit::take();
        let cluster = LocalCluster::start(plan).unwrap();
        let operator = Operator::new(cluster.controls());
        operator.must_put(&configuration).unwrap();
        let start =
            |(nth, s): (usize, &&str)| ((*s).to_owned(), Server::with(&cluster, nth, s, 16, work).unwrap());
        let servers: Vec<(String, Server)> = services.iter().enumerate().map(start).collect();
        servers.iter().for_each(|(_, server)| _ = server.register().unwrap());
        cluster.until_ready().unwrap();
        System { servers, operator, configuration, cluster, _permit: permit }
    }

    /// Returns the servers of a service.
    pub fn of(&self, service: &str) -> Vec<&Server> {
        self.servers.iter().filter(|(s, _)| s == service).map(|(_, server)| server).collect()
    }

    /// Returns the service of the server with this id; panics if there is none.
    pub fn service_of(&self, id: &str) -> &str {
        &self.servers.iter().find(|(_, s)| s.id() == id).expect("a server of this test").0
    }

    /// Returns the service whose server answered a try with a 2xx status, if any.
    pub fn served(&self, of: &Try) -> Option<&str> {
        of.served_by().map(|id| self.service_of(&id))
    }

    /// Returns the records of all servers.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        self.servers.iter().flat_map(|(_, s)| s.seen()).collect()
    }

    /// Returns how often servers ran a try, according to their records.
    pub fn runs(&self, of: &Try) -> usize {
        self.servers.iter().flat_map(|(_, s)| s.seen()).filter(|s| s.ran && s.try_id == of.id).count()
    }

    /// Waits until a proxy serves the request.
    pub fn until_served(&self, front: SocketAddr, ask: &ClientRequest) {
        let served = || try_at(front, ask).served_by().is_some();
        holds(LONG, &format!("{front} serves {}", ask.path), served).unwrap();
    }
}

/// Sends tries to proxies until it is stopped, with one thread per proxy and request.
pub struct ContinuousTries {
    stop: Arc<AtomicBool>,
    attempts: Vec<Arc<Mutex<Vec<Try>>>>,
    threads: Vec<JoinHandle<()>>,
}

impl ContinuousTries {
    pub fn start(fronts: &[SocketAddr], asks: &[ClientRequest]) -> ContinuousTries {
        let stop = Arc::new(AtomicBool::new(false));
        let mut running_tries = ContinuousTries { stop, attempts: Vec::new(), threads: Vec::new() };
        for (front, ask) in fronts.iter().flat_map(|f| asks.iter().map(move |a| (*f, a.clone()))) {
            let (stop, attempts) = (running_tries.stop.clone(), Arc::<Mutex<Vec<Try>>>::default());
            running_tries.attempts.push(attempts.clone());
            running_tries.threads.push(std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let one = try_at(front, &ask);
                    attempts.lock().unwrap().push(one);
                    std::thread::sleep(5 * MS);
                }
            }));
        }
        running_tries
    }

    /// Waits until each thread has completed at least four tries that were sent after `at`.
    pub fn until_after(&self, at: Instant) {
        let enough =
            |attempts: &Mutex<Vec<Try>>| attempts.lock().unwrap().iter().filter(|t| t.sent > at).count() > 3;
        let left = at.saturating_duration_since(Instant::now()) + LONG;
        holds(left, "each thread has completed tries", || self.attempts.iter().all(|t| enough(t))).unwrap();
    }

    /// Stops and returns all tries by thread: in the order of the proxies, and for each proxy of the requests.
    pub fn stop(self) -> Vec<Vec<Try>> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        self.attempts.iter().map(|t| std::mem::take(&mut *t.lock().unwrap())).collect()
    }
}
