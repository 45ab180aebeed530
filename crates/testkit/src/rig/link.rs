//! Links between processes that can be cut, slowed and made to lose or repeat what goes over them, each in one
//! direction, without either end noticing.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;

/// What a link does to datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing comes through.
    pub cut: bool,
    /// Each is held for up to this.
    pub delay: Duration,
    /// This share of them is lost.
    pub loss: f64,
    /// This share of them comes twice.
    pub repeat: f64,
}

/// Nothing comes through.
pub const CUT: Fault = Fault { cut: true, delay: Duration::ZERO, loss: 0.0, repeat: 0.0 };

/// One direction between two processes: what comes to `address` goes on to its target.
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
        self.state.lock().expect("a lock").fault = fault;
    }

    /// Where it goes from now on: a process that starts anew listens elsewhere.
    pub fn lead_to(&self, target: SocketAddr) {
        self.state.lock().expect("a lock").target = Some(target);
    }

    /// Datagrams that have come through.
    pub fn carried(&self) -> u64 {
        self.state.lock().expect("a lock").carried
    }
}

/// All links of a rig, in one thread for the life of the process. `seeds` has one for each.
pub fn start(seeds: Vec<u64>) -> Vec<Link> {
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            let mut links = Vec::new();
            for seed in seeds {
                let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
                let rng = Pcg64Mcg::seed_from_u64(seed);
                let state = State { fault: Fault::default(), target: None, rng, carried: 0 };
                let state = Arc::new(Mutex::new(state));
                let address = socket.local_addr().expect("an address");
                links.push(Link { address, state: state.clone() });
                tokio::task::spawn_local(carry(Arc::new(socket), state));
            }
            tell.send(links).expect("who asked");
            std::future::pending::<()>().await;
        });
    });
    told.recv().expect("links")
}

async fn carry(socket: Arc<UdpSocket>, state: Arc<Mutex<State>>) {
    let mut buffer = [0; 2048];
    loop {
        // What a gone target refused shows here, and is nothing to this link.
        let Ok((len, _)) = socket.recv_from(&mut buffer).await else { continue };
        let plan = {
            let mut state = state.lock().expect("a lock");
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

/// How long each copy is held; nothing where it is lost.
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
