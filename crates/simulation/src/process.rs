//! Simulated process: its tasks are polled while it runs, held while it is frozen, and dropped when it ends.

use crate::network::{Seat, SimulatedNetwork};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::Ipv4Addr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::task::LocalSet;
use tokio::time::{sleep_until, Instant, Sleep};

/// Process holds the state of one simulated process.
#[derive(Debug)]
pub struct Process {
    /// Address of its machine.
    pub ip: Ipv4Addr,
    frozen: Cell<Option<Instant>>,
    ended: Cell<bool>,
    /// No frame or end of connection from it reaches the network any more.
    unreachable: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Process {
    /// Starts a process on a machine.
    pub fn start<F: Future<Output = ()> + 'static>(
        network: &Rc<SimulatedNetwork>,
        ip: Ipv4Addr,
        program: impl FnOnce(Rc<Seat>) -> F,
    ) -> Rc<Process> {
        let process = Rc::new(Process {
            ip,
            frozen: Cell::new(None),
            ended: Cell::new(false),
            unreachable: Cell::new(false),
            waker: RefCell::default(),
        });
        let seat = Rc::new(Seat::new(network.clone(), process.clone()));
        let tasks = LocalSet::new();
        let main = program(seat.clone());
        tasks.spawn_local(async move {
            main.await;
            std::future::pending::<()>().await;
        });
        let wakes = Box::pin(sleep_until(Instant::now()));
        tokio::task::spawn_local(Gate { process: process.clone(), seat, tasks, wakes });
        process
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Freezes the process until the given time, or longer if it is frozen already. Incoming frames wait.
    pub fn freeze(&self, until: Instant) {
        self.frozen.set(Some(self.frozen.get().map_or(until, |before| before.max(until))));
        self.wake();
    }

    /// Ends the process at once; the operating system closes its connections.
    pub fn kill(&self) {
        self.ended.set(true);
        self.wake();
    }

    /// Ends the process at once without closing its connections.
    pub fn lose_power(&self) {
        self.unreachable.set(true);
        self.kill();
    }

    /// Returns whether the process has ended.
    pub fn is_over(&self) -> bool {
        self.ended.get()
    }

    /// Returns whether nothing from the process reaches the network any more.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Returns the time at which data written now is sent: after a freeze caused by the work in progress.
    pub fn speaks_at(&self) -> Instant {
        let now = Instant::now();
        self.frozen.get().map_or(now, |until| until.max(now))
    }

    /// Returns whether the process is frozen now.
    pub fn is_frozen(&self) -> bool {
        self.frozen.get().is_some_and(|until| until > Instant::now())
    }
}

struct Gate {
    process: Rc<Process>,
    seat: Rc<Seat>,
    tasks: LocalSet,
    wakes: Pin<Box<Sleep>>,
}

impl Future for Gate {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let gate = self.get_mut();
        if gate.process.ended.get() {
            return Poll::Ready(());
        }
        *gate.process.waker.borrow_mut() = Some(cx.waker().clone());
        if let Some(until) = gate.process.frozen.get() {
            if until > Instant::now() {
                gate.wakes.as_mut().reset(until);
                if gate.wakes.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
            }
            gate.process.frozen.set(None);
        }
        let network: Rc<dyn oatbank_node_runtime::network::Network> = gate.seat.clone();
        let tasks = Pin::new(&mut gate.tasks);
        let _ = oatbank_node_runtime::network::within(&network, || tasks.poll(cx));
        if gate.process.ended.get() {
            return Poll::Ready(());
        }
        if gate.process.is_frozen() {
            // The poll itself froze the process, for example by a slow write: polls again to arm the timer.
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }
}
