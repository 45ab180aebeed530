//! A process: its tasks are polled while it runs, held while it is frozen, and dropped when it ends.

use crate::network::{Net, Seat};
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
pub struct Life {
    /// Its machine.
    pub ip: Ipv4Addr,
    frozen: Cell<Option<Instant>>,
    ended: Cell<bool>,
    /// Nothing of it gets out any more, not even that it has ended.
    silent: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Life {
    /// Starts a process on this machine.
    pub fn start<F: Future<Output = ()> + 'static>(
        net: &Rc<Net>,
        ip: Ipv4Addr,
        program: impl FnOnce(Rc<Seat>) -> F,
    ) -> Rc<Life> {
        let life = Rc::new(Life {
            ip,
            frozen: Cell::new(None),
            ended: Cell::new(false),
            silent: Cell::new(false),
            waker: RefCell::default(),
        });
        let seat = Rc::new(Seat::new(net.clone(), life.clone()));
        let tasks = LocalSet::new();
        let main = program(seat.clone());
        tasks.spawn_local(async move {
            main.await;
            std::future::pending::<()>().await
        });
        let wakes = Box::pin(sleep_until(Instant::now()));
        tokio::task::spawn_local(Gate { life: life.clone(), seat, tasks, wakes });
        life
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
        self.silent.set(true);
        self.kill();
    }

    /// Whether it has ended.
    pub fn is_over(&self) -> bool {
        self.ended.get()
    }

    /// Whether nothing of it gets out any more.
    pub fn is_silent(&self) -> bool {
        self.silent.get()
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
    life: Rc<Life>,
    seat: Rc<Seat>,
    tasks: LocalSet,
    wakes: Pin<Box<Sleep>>,
}

impl Future for Gate {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let gate = self.get_mut();
        if gate.life.ended.get() {
            return Poll::Ready(());
        }
        *gate.life.waker.borrow_mut() = Some(cx.waker().clone());
        if let Some(until) = gate.life.frozen.get() {
            if until > Instant::now() {
                gate.wakes.as_mut().reset(until);
                if gate.wakes.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
            }
            gate.life.frozen.set(None);
        }
        let net: Rc<dyn oatbank_node_runtime::network::Net> = gate.seat.clone();
        let tasks = Pin::new(&mut gate.tasks);
        let _ = oatbank_node_runtime::network::within(&net, || tasks.poll(cx));
        if gate.life.ended.get() {
            return Poll::Ready(());
        }
        if gate.life.is_frozen() {
            // It was held by its own work: it is looked at again when that is over.
            cx.waker().wake_by_ref();
        }
        Poll::Pending
    }
}
