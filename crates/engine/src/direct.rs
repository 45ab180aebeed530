//! A limiter whose one server is a handler in the process, deciding on the thread that asks.
//!
//! The core is the one that [`crate::engine::Engine`] runs, here under a lock: an admission wakes no other thread.
//! Timers and the counter have a task of their own, on a thread or in the caller's local set. The lock is
//! held for one event at a time, never while a handler runs or anything is waited for.

use crate::engine::core::{Core, Output};
use crate::engine::{shutdown_timeout, Answer, Setup};
use crate::handle::{Ended, QUEUE_FULL_RETRY_AFTER};
use crate::ports::clock::{Clock, SystemClock};
use crate::ports::counter::{Call, CallEnd, CallEndSink, Counter};
use crate::ports::membership::{Member, News};
use crate::ports::upstream::End;
use oatbank_limiter_core::interface::{Millis, Outcome, Request, RequestId};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};

/// Between two looks at the counter's connections, ms.
const UPKEEP_INTERVAL: Millis = 500.0;
/// How often the end of a shutdown looks whether all is answered.
const SHUTDOWN_POLL: Duration = Duration::from_millis(5);

/// Where a request's permit goes; taken when it is given.
type PermitSender = Mutex<Option<oneshot::Sender<Permit>>>;

struct Shared {
    /// Spins for a moment before it sleeps: an event is shorter than a sleep and a wake.
    core: parking_lot::Mutex<Core<PermitSender, ()>>,
    clock: SystemClock,
    setup: Setup,
    /// So many requests may be in hand.
    capacity: usize,
    /// Calls for the counter's task: one a name at most.
    calls: mpsc::UnboundedSender<Call>,
    /// MembershipSink when an earlier due than all before has been set.
    earlier_timer: Notify,
    /// What the timers sleep until, in whole ms.
    asleep_until: AtomicU64,
    stopping: AtomicBool,
    stop: Notify,
}

impl Shared {
    fn lock(&self) -> parking_lot::MutexGuard<'_, Core<PermitSender, ()>> {
        // The core catches the module's panics itself, and leaves nothing half done.
        self.core.lock()
    }

    /// When the timers are to wake, at `latest` at the latest. Set under the lock, so that whoever arms an earlier
    /// due is either seen here or sees this.
    fn set_wake_time(&self, latest: Millis) -> Millis {
        let core = self.lock();
        let next = core.next_due().map_or(latest, |due| due.min(latest));
        self.asleep_until.store(next as u64, Ordering::Release);
        next
    }

    /// Changes the core, and does what it asks for.
    fn change<T>(self: &Arc<Self>, how: impl FnOnce(&mut Core<PermitSender, ()>, Millis) -> T) -> T {
        let mut core = self.lock();
        let now = self.clock.now();
        let done = how(&mut core, now);
        while let Some(output) = core.output() {
            self.carry_out(&mut core, now, output);
        }
        let due = core.next_due().map_or(u64::MAX, |at| at as u64);
        drop(core);
        if due < self.asleep_until.load(Ordering::Acquire) {
            self.earlier_timer.notify_one();
        }
        done
    }

    fn carry_out(
        self: &Arc<Self>,
        core: &mut Core<PermitSender, ()>,
        now: Millis,
        output: Output<PermitSender>,
    ) {
        match output {
            Output::Attempt { id, number, request, .. } => {
                let start = request.lock().unwrap_or_else(PoisonError::into_inner).take();
                let permit = Permit { shared: Some(self.clone()), id, number };
                let refused = match start {
                    Some(start) => start.send(permit).err(),
                    // A handler takes its request with it, so there is nothing to run a second time.
                    None => Some(permit),
                };
                if let Some(mut permit) = refused {
                    // The client has left: its handler never began. The lock is held already.
                    permit.shared = None;
                    core.attempt_ended(now, id, number, End::without_answer(Outcome::ConnectFailed));
                }
            }
            // Its request's final answer tells the application.
            Output::CancelAttempt { .. } => {}
            // Nobody has asked for it.
            Output::Note { .. } => {}
            Output::Count(call) => {
                if self.calls.send(call).is_err() {
                    core.call_ended(now, call.id, CallEnd::Unreachable);
                }
            }
        }
    }
}

/// The right to run a handler, once. Dropped without a word it counts as a request that was called off and may
/// have run.
pub struct Permit {
    shared: Option<Arc<Shared>>,
    id: RequestId,
    number: u8,
}

impl Permit {
    /// The handler has ended. [`Outcome::Ok`] is its answer, [`Outcome::Error`] that it may have run,
    /// [`Outcome::Full`] that it turned the request away and did nothing.
    pub fn ended(mut self, outcome: Outcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: Outcome) {
        if let Some(shared) = self.shared.take() {
            let end = End { outcome, answer: (outcome == Outcome::Ok).then_some(()), load: Vec::new() };
            shared.change(|core, now| core.attempt_ended(now, self.id, self.number, end));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.report(Outcome::Cancelled);
    }
}

/// CallEndSink the limiter's task with the last that holds it.
struct StopOnDrop(Arc<Shared>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.stop.notify_one();
    }
}

/// The limiter. Clones share it; when the last one and the last open request are dropped, its task ends.
#[derive(Clone)]
pub struct Direct {
    alive: Arc<StopOnDrop>,
}

impl std::fmt::Debug for Direct {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Direct").field("in_hand", &self.shared().lock().unanswered()).finish()
    }
}

/// What runs beside the applications' threads: timers and the counter.
pub struct Work {
    shared: Weak<Shared>,
    calls: mpsc::UnboundedReceiver<Call>,
}

/// A limiter that takes `capacity` requests in hand, and its task. `setup` is what requests are classified by;
/// `module` is what the decision module is told.
pub fn pair(setup: Setup, module: &Setup, capacity: usize) -> (Direct, Work) {
    let (sender, calls) = mpsc::unbounded_channel();
    let mut core = Core::new(module);
    let clock = SystemClock::new();
    let handler = Member::ready("handler", SocketAddr::from(([127, 0, 0, 1], 0)));
    core.members(clock.now(), &News::Complete(vec![handler]));
    let shared = Arc::new(Shared {
        core: parking_lot::Mutex::new(core),
        clock,
        setup,
        capacity,
        calls: sender,
        earlier_timer: Notify::new(),
        asleep_until: AtomicU64::new(u64::MAX),
        stopping: AtomicBool::new(false),
        stop: Notify::new(),
    });
    let work = Work { shared: Arc::downgrade(&shared), calls };
    (Direct { alive: Arc::new(StopOnDrop(shared)) }, work)
}

impl Direct {
    fn shared(&self) -> &Arc<Shared> {
        &self.alive.0
    }

    /// What requests are classified by.
    pub fn setup(&self) -> &Setup {
        &self.shared().setup
    }

    /// Asks for a permit. Dropping the future is the client's leaving.
    pub fn call(&self, request: Request) -> (Admission, oneshot::Receiver<Permit>) {
        let (start, permit) = oneshot::channel();
        let (reply, answer) = oneshot::channel();
        let shared = self.shared();
        let stopping = shared.stopping.load(Ordering::Acquire);
        let taken = shared.change(|core, now| {
            if stopping || core.unanswered() >= shared.capacity {
                return None;
            }
            // A client that has just left needs no answer.
            let reply = Box::new(move |answer| _ = reply.send(answer));
            Some(core.submit(now, request, Mutex::new(Some(start)), reply))
        });
        (Admission { limiter: self.clone(), taken: taken.map(|id| (id, answer)) }, permit)
    }

    /// Takes no further request, answers what was taken (by 0.55 s after the longest deadline, 3 s at most),
    /// and completes when all is answered.
    pub async fn shutdown(&self) {
        self.shared().stopping.store(true, Ordering::Release);
        let end = tokio::time::Instant::now() + shutdown_timeout(&self.setup().settings);
        while self.shared().lock().unanswered() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(SHUTDOWN_POLL).await;
        }
        self.shared().change(|core, now| core.fail_all(now));
    }
}

/// A request in hand; completes with its final answer.
#[must_use = "a dropped request is a client that has left"]
pub struct Admission {
    limiter: Direct,
    taken: Option<(RequestId, oneshot::Receiver<Answer<()>>)>,
}

impl Future for Admission {
    type Output = Ended<()>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Ended<()>> {
        let Some((_, answer)) = &mut self.taken else {
            return Poll::Ready(Ended::NotTaken(QUEUE_FULL_RETRY_AFTER));
        };
        let answer = ready!(Pin::new(answer).poll(cx));
        self.taken = None;
        Poll::Ready(answer.map_or(Ended::Lost, Ended::Answered))
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some((id, mut answer)) = self.taken.take() {
            if answer.try_recv().is_err() {
                self.limiter.shared().change(|core, now| core.client_left(now, id));
            }
        }
    }
}

impl Work {
    /// Runs timers and the counter until the limiter is dropped. To be run inside a
    /// [`tokio::task::LocalSet`], in which `start` makes the counter.
    pub async fn run(mut self, start: impl FnOnce(Rc<dyn Clock>, CallEndSink) -> Option<Rc<dyn Counter>>) {
        let Some(shared) = self.shared.upgrade() else { return };
        let clock: Rc<dyn Clock> = Rc::new(shared.clock);
        let weak = self.shared.clone();
        let ends: CallEndSink = Rc::new(move |call, end| {
            if let Some(shared) = weak.upgrade() {
                shared.change(|core, now| core.call_ended(now, call, end));
            }
        });
        let counter = start(clock, ends);
        let mut upkeep = shared.clock.now() + UPKEEP_INTERVAL;
        loop {
            while shared.change(|core, now| core.run_due_timer(now)) {}
            let now = shared.clock.now();
            if let (true, Some(counter)) = (now >= upkeep, &counter) {
                counter.upkeep(now);
                upkeep = now + UPKEEP_INTERVAL;
            }
            let next = shared.set_wake_time(now + UPKEEP_INTERVAL);
            tokio::select! {
                () = shared.clock.until(next) => {}
                () = shared.earlier_timer.notified() => {}
                Some(call) = self.calls.recv() => {
                    let begun = counter.as_ref().map_or(Err(CallEnd::Unreachable), |c| c.begin(call));
                    if let Err(end) = begun {
                        shared.change(|core, now| core.call_ended(now, call.id, end));
                    }
                }
                () = shared.stop.notified() => return,
            }
            // Awake until it has looked again: nothing need wake it.
            shared.asleep_until.store(0, Ordering::Release);
        }
    }
}

/// Runs a limiter's task on a thread of its own.
///
/// # Errors
/// When there is no thread or runtime to be had.
pub fn spawn(
    work: Work,
    start: impl FnOnce(Rc<dyn Clock>, CallEndSink) -> Option<Rc<dyn Counter>> + Send + 'static,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("oatbank".into()).spawn(move || {
        let local = tokio::task::LocalSet::new();
        let working = local.spawn_local(work.run(start));
        if let Err(e) = local.block_on(&runtime, working) {
            tracing::error!("the limiter's thread: {e}");
        }
    })?;
    Ok(())
}
