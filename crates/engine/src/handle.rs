//! Access to an engine from other threads.
//!
//! An engine lives on one thread. A [`Handle`] can be cloned and used from any thread and runtime; its requests wait in
//! a bounded queue until the engine takes them.

use crate::engine::{shutdown_timeout, Answer, Engine, Setup};
use crate::ports::membership::{MembershipSink, News};
use crate::ports::upstream::Upstream;
use oatbank_limiter_core::interface::{Millis, Request, RequestId};
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Commands taken from the queue at once before timers and attempts run.
const BATCH: usize = 64;
/// Default capacity of the queue: requests that the engine handles within a few ms.
pub const DEFAULT_QUEUE_CAPACITY: usize = 4096;
/// Retry delay given when the queue is full, ms: by then the queue has been emptied.
pub const QUEUE_FULL_RETRY_AFTER: Millis = 50.0;
/// Result of a request submitted through a [`Handle`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallResult<A> {
    /// The engine's final answer.
    Answered(Answer<A>),
    /// The queue was full or the engine is shutting down. The engine never saw the request, no quota was charged, and a
    /// retry is safe after this wait in ms.
    NotAccepted(Millis),
    /// The engine ended before it answered, because its thread or runtime was shut down; the request may have run.
    Lost,
}

enum Command<Q, A> {
    Arrive { ticket: u64, at: Instant, request: Request, forward: Q, reply: oneshot::Sender<Answer<A>> },
    Gone(u64),
    News(News),
    Stop(oneshot::Sender<()>),
}

struct Shared<Q, A> {
    commands: mpsc::UnboundedSender<Command<Q, A>>,
    /// Requests that the engine has not taken yet; limits the queue. Other commands are not limited: there is at most
    /// one per request, besides those of operators.
    waiting: Arc<AtomicUsize>,
    stopping: AtomicBool,
    capacity: usize,
    next: AtomicU64,
    setup: Setup,
}

/// Submits requests to an engine. When the last clone and the last open request are dropped, the engine ends as by
/// [`Handle::shutdown`].
pub struct Handle<Q, A> {
    shared: Arc<Shared<Q, A>>,
}

impl<Q, A> Clone for Handle<Q, A> {
    fn clone(&self) -> Self {
        Handle { shared: self.shared.clone() }
    }
}

impl<Q, A> std::fmt::Debug for Handle<Q, A> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handle").field("waiting", &self.shared.waiting.load(Ordering::Relaxed)).finish()
    }
}

/// The engine's side of a [`Handle`], which runs on the engine's thread.
pub struct Work<Q, A> {
    commands: mpsc::UnboundedReceiver<Command<Q, A>>,
    waiting: Arc<AtomicUsize>,
}

/// Creates a handle whose queue holds `capacity` requests, and the engine's side of it. `setup` is used to classify
/// requests.
pub fn pair<Q, A>(setup: Setup, capacity: usize) -> (Handle<Q, A>, Work<Q, A>) {
    let (sender, commands) = mpsc::unbounded_channel();
    let waiting = Arc::new(AtomicUsize::new(0));
    let shared = Shared {
        commands: sender,
        waiting: waiting.clone(),
        stopping: AtomicBool::new(false),
        capacity,
        next: AtomicU64::new(0),
        setup,
    };
    (Handle { shared: Arc::new(shared) }, Work { commands, waiting })
}

impl<Q, A> Handle<Q, A> {
    /// Setup used to classify requests.
    pub fn setup(&self) -> &Setup {
        &self.shared.setup
    }

    /// Number of requests that wait for the engine.
    pub fn waiting(&self) -> usize {
        self.shared.waiting.load(Ordering::Relaxed)
    }

    /// Submits a request, whose time limit runs from now on. Dropping the future counts as the client's disconnect: an
    /// unsent request is never sent, and attempts in flight are cancelled.
    pub fn call(&self, request: Request, forward: Q) -> Pending<Q, A> {
        let shared = &self.shared;
        let full = shared.waiting.fetch_add(1, Ordering::AcqRel) >= shared.capacity;
        let ticket = shared.next.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let command = Command::Arrive { ticket, at: Instant::now(), request, forward, reply };
        let accepted =
            !full && !shared.stopping.load(Ordering::Acquire) && shared.commands.send(command).is_ok();
        if !accepted {
            shared.waiting.fetch_sub(1, Ordering::AcqRel);
        }
        Pending { handle: self.clone(), ticket, answer: accepted.then_some(answer) }
    }

    /// Sends a membership update to the engine. Not to be combined with another membership source.
    pub fn update_members(&self, news: News) {
        // An engine that has ended needs no updates.
        let _ = self.shared.commands.send(Command::News(news));
    }

    /// Rejects further requests, waits for the answers to accepted ones (for the longest deadline, at most 3 s, plus
    /// 0.55 s) and completes when the engine has ended.
    pub async fn shutdown(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        let (done, ended) = oneshot::channel();
        if self.shared.commands.send(Command::Stop(done)).is_ok() {
            // An error also means that the engine has ended.
            let _ = ended.await;
        }
    }
}

/// A submitted request; completes with its result.
#[must_use = "dropping a request counts as the client's disconnect"]
pub struct Pending<Q, A> {
    handle: Handle<Q, A>,
    ticket: u64,
    answer: Option<oneshot::Receiver<Answer<A>>>,
}

impl<Q, A> Future for Pending<Q, A> {
    type Output = CallResult<A>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<CallResult<A>> {
        let Some(answer) = &mut self.answer else {
            return Poll::Ready(CallResult::NotAccepted(QUEUE_FULL_RETRY_AFTER));
        };
        let answer = ready!(Pin::new(answer).poll(cx));
        self.answer = None;
        Poll::Ready(answer.map_or(CallResult::Lost, CallResult::Answered))
    }
}

impl<Q, A> Drop for Pending<Q, A> {
    fn drop(&mut self) {
        if self.answer.take().is_some() {
            let _ = self.handle.shared.commands.send(Command::Gone(self.ticket));
        }
    }
}

/// Open requests by ticket; the id is `None` until the engine has assigned it.
type Tickets = Arc<Mutex<HashMap<u64, Option<RequestId>>>>;

fn lock(tickets: &Tickets) -> MutexGuard<'_, HashMap<u64, Option<RequestId>>> {
    // Each change is a single operation, so a poisoned lock holds a valid map.
    tickets.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<Q: Send + 'static, A: Send + 'static> Work<Q, A> {
    /// Executes the handles' commands until the last handle is dropped or one requests a shutdown, then answers all
    /// open requests. Must run inside the engine's [`tokio::task::LocalSet`].
    pub async fn run<U: Upstream<Request = Q, Answer = A>>(mut self, engine: Rc<Engine<U>>) {
        let sink = engine.membership_sink();
        let tickets = Tickets::default();
        let mut batch = Vec::with_capacity(BATCH);
        let mut waiters = Vec::new();
        while waiters.is_empty() && self.commands.recv_many(&mut batch, BATCH).await > 0 {
            for command in batch.drain(..) {
                self.execute(&engine, &tickets, &sink, command, &mut waiters);
            }
            // Lets the tasks of timers and attempts run.
            tokio::task::yield_now().await;
        }
        self.finish(&engine, &tickets, &sink).await;
        notify_stopped(waiters);
    }

    fn execute<U: Upstream<Request = Q, Answer = A>>(
        &self,
        engine: &Rc<Engine<U>>,
        tickets: &Tickets,
        sink: &MembershipSink,
        command: Command<Q, A>,
        waiters: &mut Vec<oneshot::Sender<()>>,
    ) {
        match command {
            Command::Arrive { ticket, at, mut request, forward, reply } => {
                self.waiting.fetch_sub(1, Ordering::AcqRel);
                request.time_left -= at.elapsed().as_secs_f64() * 1000.0;
                lock(tickets).insert(ticket, None);
                let open_tickets = tickets.clone();
                let reply = Box::new(move |answer| {
                    lock(&open_tickets).remove(&ticket);
                    // The receiver is gone if the client has disconnected.
                    let _ = reply.send(answer);
                });
                let id = engine.submit(request, forward, reply);
                if let Some(number) = lock(tickets).get_mut(&ticket) {
                    *number = Some(id);
                }
            }
            Command::Gone(ticket) => {
                let id = lock(tickets).remove(&ticket).flatten();
                if let Some(id) = id {
                    engine.client_left(id);
                }
            }
            Command::News(news) => sink(news),
            Command::Stop(done) => waiters.push(done),
        }
    }

    /// Answers accepted requests, including those in the queue, and fails those left when the shutdown times out.
    async fn finish<U: Upstream<Request = Q, Answer = A>>(
        &mut self,
        engine: &Rc<Engine<U>>,
        tickets: &Tickets,
        sink: &MembershipSink,
    ) {
        let end = Instant::now() + shutdown_timeout(engine.revision().settings());
        let mut late = Vec::new();
        while (engine.unanswered() > 0 || !self.commands.is_empty()) && Instant::now() < end {
            match tokio::time::timeout(Duration::from_millis(5), self.commands.recv()).await {
                Ok(Some(command)) => self.execute(engine, tickets, sink, command, &mut late),
                Ok(None) => tokio::time::sleep(Duration::from_millis(5)).await,
                Err(_) => {}
            }
        }
        engine.fail_all();
        notify_stopped(late);
    }
}

fn notify_stopped(waiters: Vec<oneshot::Sender<()>>) {
    for done in waiters {
        // The caller may have stopped waiting.
        let _ = done.send(());
    }
}

/// Runs an engine on its own thread. `build` creates it there, inside its local set.
///
/// # Errors
/// If the thread or runtime cannot be created, or with the error of `build`.
pub fn spawn<U, B>(
    setup: Setup,
    capacity: usize,
    build: B,
) -> Result<Handle<U::Request, U::Answer>, std::io::Error>
where
    U: Upstream,
    U::Request: Send,
    U::Answer: Send,
    B: FnOnce() -> Result<Rc<Engine<U>>, std::io::Error> + Send + 'static,
{
    let (handle, work) = pair(setup, capacity);
    let (up, started) = std::sync::mpsc::channel();
    std::thread::Builder::new().name("oatbank".into()).spawn(move || {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(e) => return drop(up.send(Err(e))),
        };
        let local = tokio::task::LocalSet::new();
        let serving = local.spawn_local(async move {
            match build() {
                Ok(engine) => {
                    let _ = up.send(Ok(()));
                    work.run(engine).await;
                }
                Err(e) => drop(up.send(Err(e))),
            }
        });
        if let Err(e) = local.block_on(&runtime, serving) {
            tracing::error!("the engine's thread: {e}");
        }
    })?;
    let startup_error = || std::io::Error::other("the engine thread ended before the engine started");
    started.recv().map_err(|_| startup_error())??;
    Ok(handle)
}
