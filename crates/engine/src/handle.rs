//! The way to an engine from other threads.
//!
//! An engine lives on one thread. A [`Handle`] may be cloned and used from any thread and runtime; what it
//! sends waits in a bounded queue until the engine takes it.

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

/// Requests taken from the queue in one go, before timers and attempts have their turn.
const BATCH: usize = 64;
/// Requests that may wait for the engine where nothing else is said: what it works off in some ms.
pub const DEFAULT_QUEUE_CAPACITY: usize = 4096;
/// A request that finds the queue full is told to come back after this, ms: the queue is then empty again.
pub const QUEUE_FULL_RETRY_AFTER: Millis = 50.0;
/// How a request ended that was given to a [`Handle`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended<A> {
    /// The engine's final answer.
    Answered(Answer<A>),
    /// The queue was full, or the engine is shutting down: the engine never saw the request, no account was
    /// touched, and trying again is harmless after this wait in ms.
    NotTaken(Millis),
    /// The engine ended with the request in hand, as it does when its thread or runtime is torn down: the
    /// request may have run.
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
    /// Requests that the engine has not taken yet: what bounds the queue. All other commands are few: one a
    /// request at most, or an operator's.
    waiting: Arc<AtomicUsize>,
    stopping: AtomicBool,
    capacity: usize,
    next: AtomicU64,
    setup: Setup,
}

/// The way to an engine. Clones share it; when the last one and the last open request are dropped, the engine
/// ends as by [`Handle::shutdown`].
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

/// The engine's side of a [`Handle`]: to be run on the engine's thread.
pub struct Work<Q, A> {
    commands: mpsc::UnboundedReceiver<Command<Q, A>>,
    waiting: Arc<AtomicUsize>,
}

/// A handle whose queue holds `capacity` requests, and the engine's side of it. `setup` is what requests are
/// classified by.
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
    /// What requests are classified by.
    pub fn setup(&self) -> &Setup {
        &self.shared.setup
    }

    /// Requests that wait for the engine to take them.
    pub fn waiting(&self) -> usize {
        self.shared.waiting.load(Ordering::Relaxed)
    }

    /// Hands a request to the engine. Its time runs from now on. Dropping the future is the client's leaving:
    /// what was not sent to a server never will be, and what was is called off.
    pub fn call(&self, request: Request, forward: Q) -> Pending<Q, A> {
        let shared = &self.shared;
        let full = shared.waiting.fetch_add(1, Ordering::AcqRel) >= shared.capacity;
        let ticket = shared.next.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        let command = Command::Arrive { ticket, at: Instant::now(), request, forward, reply };
        let taken =
            !full && !shared.stopping.load(Ordering::Acquire) && shared.commands.send(command).is_ok();
        if !taken {
            shared.waiting.fetch_sub(1, Ordering::AcqRel);
        }
        Pending { handle: self.clone(), ticket, answer: taken.then_some(answer) }
    }

    /// Tells the engine which servers there are. Not to be used beside a source that does so by itself.
    pub fn tell(&self, news: News) {
        // An engine that has ended needs no news.
        let _ = self.shared.commands.send(Command::News(news));
    }

    /// Takes no further request, answers what was taken (by 0.55 s after the longest deadline, 3 s at most),
    /// and completes when the engine has ended.
    pub async fn shutdown(&self) {
        self.shared.stopping.store(true, Ordering::Release);
        let (done, ended) = oneshot::channel();
        if self.shared.commands.send(Command::Stop(done)).is_ok() {
            // An error is the engine's end too.
            let _ = ended.await;
        }
    }
}

/// A request that the engine has or is to have.
#[must_use = "a dropped request is a client that has left"]
pub struct Pending<Q, A> {
    handle: Handle<Q, A>,
    ticket: u64,
    answer: Option<oneshot::Receiver<Answer<A>>>,
}

impl<Q, A> Future for Pending<Q, A> {
    type Output = Ended<A>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Ended<A>> {
        let Some(answer) = &mut self.answer else {
            return Poll::Ready(Ended::NotTaken(QUEUE_FULL_RETRY_AFTER));
        };
        let answer = ready!(Pin::new(answer).poll(cx));
        self.answer = None;
        Poll::Ready(answer.map_or(Ended::Lost, Ended::Answered))
    }
}

impl<Q, A> Drop for Pending<Q, A> {
    fn drop(&mut self) {
        if self.answer.take().is_some() {
            let _ = self.handle.shared.commands.send(Command::Gone(self.ticket));
        }
    }
}

/// Requests in hand by ticket; the number is none until the engine has given it.
type Tickets = Arc<Mutex<HashMap<u64, Option<RequestId>>>>;

fn lock(tickets: &Tickets) -> MutexGuard<'_, HashMap<u64, Option<RequestId>>> {
    // Each change is one step, so a panic beside it leaves nothing half done.
    tickets.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<Q: Send + 'static, A: Send + 'static> Work<Q, A> {
    /// Works off what the handles send until the last is dropped or one asks for the end; then answers all that
    /// is owed. To be run inside the engine's [`tokio::task::LocalSet`].
    pub async fn run<U: Upstream<Request = Q, Answer = A>>(mut self, engine: Rc<Engine<U>>) {
        let told = engine.membership_sink();
        let tickets = Tickets::default();
        let mut batch = Vec::with_capacity(BATCH);
        let mut asked = Vec::new();
        while asked.is_empty() && self.commands.recv_many(&mut batch, BATCH).await > 0 {
            for command in batch.drain(..) {
                self.execute(&engine, &tickets, &told, command, &mut asked);
            }
            // Timers and attempts are tasks beside this one.
            tokio::task::yield_now().await;
        }
        self.finish(&engine, &tickets, &told).await;
        notify_stopped(asked);
    }

    fn execute<U: Upstream<Request = Q, Answer = A>>(
        &self,
        engine: &Rc<Engine<U>>,
        tickets: &Tickets,
        told: &MembershipSink,
        command: Command<Q, A>,
        asked: &mut Vec<oneshot::Sender<()>>,
    ) {
        match command {
            Command::Arrive { ticket, at, mut request, forward, reply } => {
                self.waiting.fetch_sub(1, Ordering::AcqRel);
                request.time_left -= at.elapsed().as_secs_f64() * 1000.0;
                lock(tickets).insert(ticket, None);
                let over = tickets.clone();
                let reply = Box::new(move |answer| {
                    lock(&over).remove(&ticket);
                    // A client that has just left needs no answer.
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
            Command::News(news) => told(news),
            Command::Stop(done) => asked.push(done),
        }
    }

    /// Answers what was taken, also what still waits in the queue, and fails what is left at the end.
    async fn finish<U: Upstream<Request = Q, Answer = A>>(
        &mut self,
        engine: &Rc<Engine<U>>,
        tickets: &Tickets,
        told: &MembershipSink,
    ) {
        let end = Instant::now() + shutdown_timeout(engine.revision().settings());
        let mut more = Vec::new();
        while (engine.unanswered() > 0 || !self.commands.is_empty()) && Instant::now() < end {
            match tokio::time::timeout(Duration::from_millis(5), self.commands.recv()).await {
                Ok(Some(command)) => self.execute(engine, tickets, told, command, &mut more),
                Ok(None) => tokio::time::sleep(Duration::from_millis(5)).await,
                Err(_) => {}
            }
        }
        engine.fail_all();
        notify_stopped(more);
    }
}

fn notify_stopped(asked: Vec<oneshot::Sender<()>>) {
    for done in asked {
        // Who asked need not have waited.
        let _ = done.send(());
    }
}

/// Runs an engine on a thread of its own. `build` makes it there, inside its local set.
///
/// # Errors
/// When there is no thread or runtime to be had, or `build` fails; its error comes back as it is.
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
    let lost = || std::io::Error::other("the engine's thread ended before it had started");
    started.recv().map_err(|_| lost())??;
    Ok(handle)
}
