//! A limiter whose only server is a handler in the process, and which decides on the calling thread.
//!
//! It runs the same core as [`crate::engine::Engine`], under a lock, so that an admission wakes no other thread. Timers
//! and the counter run in a separate task, on a thread or in the caller's local set. The lock is held for one event at
//! a time, never while a handler runs or a task waits.

use crate::engine::core::{Core, Output};
use crate::engine::{shutdown_timeout, Answer, Setup};
use crate::handle::{CallResult, QUEUE_FULL_RETRY_AFTER};
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

/// Interval between upkeep calls to the counter, ms.
const UPKEEP_INTERVAL: Millis = 500.0;
/// Interval at which a shutdown checks whether all requests are answered.
const SHUTDOWN_POLL: Duration = Duration::from_millis(5);

/// Sender of a request's permit; taken when the permit is granted.
type PermitSender = Mutex<Option<oneshot::Sender<Permit>>>;

struct Shared {
    /// A lock that spins before it blocks: handling an event is shorter than a sleep and a wake-up.
    core: parking_lot::Mutex<Core<PermitSender, ()>>,
    clock: SystemClock,
    setup: Setup,
    /// Most open requests.
    capacity: usize,
    /// Calls for the counter's task, at most one per counter name.
    calls: mpsc::UnboundedSender<Call>,
    /// Notified when a timer earlier than all others has been set.
    earlier_timer: Notify,
    /// Time until which the timer task sleeps, whole ms.
    asleep_until: AtomicU64,
    stopping: AtomicBool,
    stop: Notify,
}

impl Shared {
    fn lock(&self) -> parking_lot::MutexGuard<'_, Core<PermitSender, ()>> {
        // The core catches the module's panics itself and stays consistent.
        self.core.lock()
    }

    /// Sets and returns the time at which the timer task wakes, at most `latest`. Runs under the lock, so that a
    /// concurrently armed earlier timer is either included here or notifies the task.
    fn set_wake_time(&self, latest: Millis) -> Millis {
        let core = self.lock();
        let next = core.next_due().map_or(latest, |due| due.min(latest));
        self.asleep_until.store(next as u64, Ordering::Release);
        next
    }

    /// Runs a change on the core and carries out the resulting outputs.
    fn change<T>(self: &Arc<Self>, change: impl FnOnce(&mut Core<PermitSender, ()>, Millis) -> T) -> T {
        let mut core = self.lock();
        let now = self.clock.now();
        let result = change(&mut core, now);
        while let Some(output) = core.output() {
            self.carry_out(&mut core, now, output);
        }
        let due = core.next_due().map_or(u64::MAX, |at| at as u64);
        drop(core);
        if due < self.asleep_until.load(Ordering::Acquire) {
            self.earlier_timer.notify_one();
        }
        result
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
                    // The handler consumed its request, so it cannot run again.
                    None => Some(permit),
                };
                if let Some(mut permit) = refused {
                    // The client has disconnected and the handler never started. The lock is already held, so the
                    // permit must not report on drop.
                    permit.shared = None;
                    core.attempt_ended(now, id, number, End::without_answer(Outcome::ConnectFailed));
                }
            }
            // The application learns of it from the request's final answer.
            Output::CancelAttempt { .. } => {}
            // Executions are not reported here.
            Output::Note { .. } => {}
            Output::Count(call) => {
                if self.calls.send(call).is_err() {
                    core.call_ended(now, call.id, CallEnd::Unreachable);
                }
            }
        }
    }
}

/// Permission to run a handler once. Dropped without [`Permit::ended`], it counts as a cancelled request that may have
/// run.
pub struct Permit {
    shared: Option<Arc<Shared>>,
    id: RequestId,
    number: u8,
}

impl Permit {
    /// Reports the handler's end: [`Outcome::Ok`] if it answered, [`Outcome::Error`] if it failed and may have run,
    /// [`Outcome::Full`] if it rejected the request without running it.
    pub fn ended(mut self, outcome: Outcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: Outcome) {
        if let Some(shared) = self.shared.take() {
            let end = match outcome {
                Outcome::Ok => End::with_answer(outcome, ()),
                _ => End::without_answer(outcome),
            };
            shared.change(|core, now| core.attempt_ended(now, self.id, self.number, end));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.report(Outcome::Cancelled);
    }
}

/// Stops the limiter's task when the last clone is dropped.
struct StopOnDrop(Arc<Shared>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.stop.notify_one();
    }
}

/// The limiter. When the last clone and the last open request are dropped, its task ends.
#[derive(Clone)]
pub struct Direct {
    alive: Arc<StopOnDrop>,
}

impl std::fmt::Debug for Direct {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Direct").field("in_hand", &self.shared().lock().unanswered()).finish()
    }
}

/// The limiter's background task, with its timers and counter.
pub struct Work {
    shared: Weak<Shared>,
    calls: mpsc::UnboundedReceiver<Call>,
}

/// Creates a limiter with at most `capacity` open requests, and its task. `setup` is used to classify requests;
/// `module` configures the decision module.
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

    /// Setup used to classify requests.
    pub fn setup(&self) -> &Setup {
        &self.shared().setup
    }

    /// Requests a permit. Dropping the future counts as the client's disconnect.
    pub fn call(&self, request: Request) -> (Admission, oneshot::Receiver<Permit>) {
        let (start, permit) = oneshot::channel();
        let (reply, answer) = oneshot::channel();
        let shared = self.shared();
        let stopping = shared.stopping.load(Ordering::Acquire);
        let accepted = shared.change(|core, now| {
            if stopping || core.unanswered() >= shared.capacity {
                return None;
            }
            // The receiver is gone if the client has disconnected.
            let reply = Box::new(move |answer| _ = reply.send(answer));
            Some(core.submit(now, request, Mutex::new(Some(start)), reply))
        });
        (Admission { limiter: self.clone(), accepted: accepted.map(|id| (id, answer)) }, permit)
    }

    /// Rejects further requests, waits for the answers to accepted ones (for the longest deadline, at most 3 s, plus
    /// 0.55 s) and fails the rest.
    pub async fn shutdown(&self) {
        self.shared().stopping.store(true, Ordering::Release);
        let end = tokio::time::Instant::now() + shutdown_timeout(&self.setup().settings);
        while self.shared().lock().unanswered() > 0 && tokio::time::Instant::now() < end {
            tokio::time::sleep(SHUTDOWN_POLL).await;
        }
        self.shared().change(|core, now| core.fail_all(now));
    }
}

/// An open request; completes with its final answer.
#[must_use = "dropping a request counts as the client's disconnect"]
pub struct Admission {
    limiter: Direct,
    accepted: Option<(RequestId, oneshot::Receiver<Answer<()>>)>,
}

impl Future for Admission {
    type Output = CallResult<()>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<CallResult<()>> {
        let Some((_, answer)) = &mut self.accepted else {
            return Poll::Ready(CallResult::NotAccepted(QUEUE_FULL_RETRY_AFTER));
        };
        let answer = ready!(Pin::new(answer).poll(cx));
        self.accepted = None;
        Poll::Ready(answer.map_or(CallResult::Lost, CallResult::Answered))
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some((id, mut answer)) = self.accepted.take() {
            if answer.try_recv().is_err() {
                self.limiter.shared().change(|core, now| core.client_left(now, id));
            }
        }
    }
}

impl Work {
    /// Runs timers and the counter until the limiter is dropped. Must run inside a [`tokio::task::LocalSet`], in which
    /// `start` creates the counter.
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
                    let started = counter.as_ref().map_or(Err(CallEnd::Unreachable), |c| c.begin(call));
                    if let Err(end) = started {
                        shared.change(|core, now| core.call_ended(now, call.id, end));
                    }
                }
                () = shared.stop.notified() => return,
            }
            // The task is awake and checks the timers again, so it needs no notification.
            shared.asleep_until.store(0, Ordering::Release);
        }
    }
}

/// Runs a limiter's task on its own thread.
///
/// # Errors
/// If the thread or runtime cannot be created.
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
