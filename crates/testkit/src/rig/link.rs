//! One-way UDP proxies between processes that can drop, delay or duplicate datagrams, transparently to both ends.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Faults that a link applies to datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Drops every datagram.
    pub cut: bool,
    /// Maximum delay; each copy is delayed by a random part of it.
    pub delay: Duration,
    /// Probability that a datagram is dropped, 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is duplicated, 0 to 1.
    pub repeat: f64,
}

/// Drops every datagram.
pub const CUT: Fault = Fault { cut: true, delay: Duration::ZERO, loss: 0.0, repeat: 0.0 };

/// One direction between two processes: forwards datagrams received at `address` to its target.
pub struct Link {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    fault: Fault,
    target: Option<SocketAddr>,
    rng: Pcg64Mcg,
    carried: u64,
}

impl Link {
    pub fn set(&self, fault: Fault) {
        self.state.lock().expect("lock poisoned").fault = fault;
    }

    /// Sets the target address, which changes when the receiving process restarts.
    pub fn lead_to(&self, target: SocketAddr) {
        self.state.lock().expect("lock poisoned").target = Some(target);
    }

    /// Returns the number of datagrams forwarded; duplicates count once.
    pub fn carried(&self) -> u64 {
        self.state.lock().expect("lock poisoned").carried
    }
}

/// Starts one link per seed. All run on one thread until the test process exits.
pub fn start(seeds: Vec<u64>) -> Vec<Link> {
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("building the runtime failed");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            let mut links = Vec::new();
            for seed in seeds {
                let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binding a loopback port failed");
                let rng = Pcg64Mcg::seed_from_u64(seed);
                let state = State { fault: Fault::default(), target: None, rng, carried: 0 };
                let state = Arc::new(Mutex::new(state));
                let address = socket.local_addr().expect("no local address");
                links.push(Link { address, state: state.clone() });
                tokio::task::spawn_local(carry(Arc::new(socket), state));
            }
            tell.send(links).expect("receiver dropped");
            std::future::pending::<()>().await;
        });
    });
    told.recv().expect("link thread ended during startup")
}

async fn carry(socket: Arc<UdpSocket>, state: Arc<Mutex<State>>) {
    let mut buffer = [0; 2048];
    loop {
        // A receive error reports that an earlier target refused a datagram (ICMP); ignore it.
        let Ok((len, _)) = socket.recv_from(&mut buffer).await else { continue };
        let plan = {
            let mut state = state.lock().expect("lock poisoned");
            plan(&mut state)
        };
        let Some((target, copies)) = plan else { continue };
        for wait in copies {
            let (socket, bytes) = (socket.clone(), buffer[..len].to_vec());
            if wait.is_zero() {
                let _ = socket.try_send_to(&bytes, target);
                continue;
            }
            tokio::task::spawn_local(async move {
                tokio::time::sleep(wait).await;
                let _ = socket.try_send_to(&bytes, target);
            });
        }
    }
}

/// Returns the target and the delay of each copy, or `None` if the datagram is dropped.
fn plan(state: &mut State) -> Option<(SocketAddr, Vec<Duration>)> {
    let fault = state.fault;
    let mut chance = || (state.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let lost = chance() < fault.loss;
    let copies = if chance() < fault.repeat { 2 } else { 1 };
    let waits = (0..copies).map(|_| fault.delay.mul_f64(chance())).collect();
    let target = state.target.filter(|_| !fault.cut && !lost)?;
    state.carried += 1;
    Some((target, waits))
}
