//! A process: its tasks are polled while it runs, held while it is frozen, and dropped when it ends.

use crate::network::{Seat, SimulatedNetwork};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::Ipv4Addr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::task::LocalSet;
use tokio::time::{sleep_until, Instant, Sleep};

/// One process, from its start to its end.
#[derive(Debug)]
pub struct Process {
    /// Its machine.
    pub ip: Ipv4Addr,
    frozen: Cell<Option<Instant>>,
    ended: Cell<bool>,
    /// Nothing of it gets out any more, not even that it has ended.
    unreachable: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Process {
    /// Starts a process on this machine.
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

    /// Stands still until then. What comes for it waits.
    pub fn freeze(&self, until: Instant) {
        self.frozen.set(Some(self.frozen.get().map_or(until, |before| before.max(until))));
        self.wake();
    }

    /// Ends at once; its connections are closed by its machine.
    pub fn kill(&self) {
        self.ended.set(true);
        self.wake();
    }

    /// Ends at once with its machine: nobody hears of it.
    pub fn lose_power(&self) {
        self.unreachable.set(true);
        self.kill();
    }

    /// Whether it has ended.
    pub fn is_over(&self) -> bool {
        self.ended.get()
    }

    /// Whether nothing of it gets out any more.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// When what it says now gets out: after the work that holds it.
    pub fn speaks_at(&self) -> Instant {
        let now = Instant::now();
        self.frozen.get().map_or(now, |until| until.max(now))
    }

    /// Whether it stands still now.
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
            // It was held by its own work: it is looked at again when that is over.
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }
}
