//! Membership from ZooKeeper-style ephemeral nodes: keeps a session, makes the reads that
//! [`oatbank_membership::reconcile`] asks for, and hands its news on. It decides nothing of the list.

pub mod register;
pub mod registers;

use oatbank_engine::ports::clock::Clock;
use oatbank_engine::ports::membership::MembershipSink;
use oatbank_engine::ports::LocalFuture;
use oatbank_limiter_core::interface::Millis;
use oatbank_membership::reconcile::{Event, ReadRequest, Reconciler, Settings};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tracing::Instrument;
use zookeeper_client::{Client, Connector, Error, EventType, SessionState};

/// First pause after no session could be had; doubles up to the other.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// A read that is not answered in this time has failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A session that has brought no good answer for this long, ms, since its connection was lost or a read failed, is
/// given up for a new one. It owns nothing, so nothing is lost; and a client library may hold on to a dead
/// connection for the whole session time-out (seen after a frame that could not be read).
const GIVE_UP_MS: Millis = 500.0;

/// Where the members are.
#[derive(Clone, Debug)]
pub struct Config {
    /// The service's addresses, `HOST:PORT,…`, with a chroot behind them if wanted.
    pub cluster: String,
    /// The folder whose nodes are the members.
    pub path: String,
    /// The session time-out that is asked for. Also how long members may take to come back after the service was
    /// away for longer than that.
    pub session_timeout: Duration,
    /// Scheme and credentials, if the folder's permissions want any.
    pub auth: Option<(String, Vec<u8>)>,
}

impl Config {
    fn connector(&self) -> Connector {
        let connector = Client::connector().with_session_timeout(self.session_timeout);
        match &self.auth {
            Some((scheme, credentials)) => connector.with_auth(scheme, credentials),
            None => connector,
        }
    }
}

/// The state of a source, for whoever shows it.
pub type Shared = Rc<RefCell<Reconciler>>;

/// A source's state before its start.
pub fn state(config: &Config) -> Shared {
    let settle = config.session_timeout.as_secs_f64() * 1000.0;
    Rc::new(RefCell::new(Reconciler::new(Settings { settle })))
}

/// Follows the folder for the life of the process, inside a [`tokio::task::LocalSet`].
pub async fn follow(config: Config, clock: Rc<dyn Clock>, sink: MembershipSink, state: Shared) {
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        match tokio::time::timeout(REQUEST_TIMEOUT, config.connector().connect(&config.cluster)).await {
            Ok(Ok(client)) => {
                delay = MIN_RECONNECT_DELAY;
                let source = Source::new(&config, client, clock.clone(), sink.clone(), state.clone());
                let span = tracing::info_span!("session", path = config.path);
                let ended = source.run().instrument(span).await;
                tracing::warn!("members: the session has ended: {ended:?}; the list holds");
            }
            Ok(Err(e)) => tracing::warn!("members: no session: {e}; again in {} ms", delay.as_millis()),
            Err(_) => tracing::warn!("members: no session in time; again in {} ms", delay.as_millis()),
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// An event, and the connection that it belongs to.
type ConnectionEvent = (u64, Event);

/// One session.
struct Source {
    clock: Rc<dyn Clock>,
    sink: MembershipSink,
    state: Shared,
    events: UnboundedReceiver<ConnectionEvent>,
    reader: Reader,
    reads: JoinSet<()>,
    due: Option<Millis>,
    /// When this session is given up.
    give_up_at: Option<Millis>,
}

/// What a read needs.
#[derive(Clone)]
struct Reader {
    client: Client,
    path: String,
    connection: u64,
    events_tx: UnboundedSender<ConnectionEvent>,
    /// The newest state of the folder that was read: a missing folder has no transaction of its own.
    newest_zxid: Rc<Cell<i64>>,
}

impl Source {
    fn new(
        config: &Config,
        client: Client,
        clock: Rc<dyn Clock>,
        sink: MembershipSink,
        state: Shared,
    ) -> Self {
        let (events_tx, events) = unbounded_channel();
        let path = config.path.trim_end_matches('/').to_owned();
        let newest_zxid = Rc::new(Cell::new(0));
        let reader = Reader { client, path, connection: 0, events_tx, newest_zxid };
        Source { clock, sink, state, events, reader, reads: JoinSet::new(), due: None, give_up_at: None }
    }

    /// Runs until the session is over.
    async fn run(mut self) -> SessionState {
        tracing::info!("members: following {}", self.reader.path);
        let mut states = self.reader.client.state_watcher();
        self.connected();
        loop {
            let due: LocalFuture<()> =
                match [self.due, self.give_up_at].into_iter().flatten().min_by(f64::total_cmp) {
                    Some(at) => self.clock.until(at),
                    None => Box::pin(pending()),
                };
            tokio::select! {
                biased;
                state = states.changed() => match state {
                    SessionState::SyncConnected => self.connected(),
                    SessionState::Disconnected => self.handle(Event::Lost),
                    ended => {
                        self.handle(Event::Lost);
                        return ended;
                    }
                },
                Some((connection, event)) = self.events.recv() => {
                    // An answer of an earlier connection may be older than what is read on this one.
                    let stale = connection != self.reader.connection;
                    if !stale || matches!(event, Event::Fired(_)) {
                        self.handle(event);
                    }
                }
                Some(_) = self.reads.join_next() => {}
                () = due => {
                    if self.give_up_at.is_some_and(|at| self.clock.now() >= at) {
                        self.handle(Event::Lost);
                        return self.reader.client.state();
                    }
                    self.handle(Event::Due);
                }
            }
        }
    }

    fn connected(&mut self) {
        self.reader.connection += 1;
        self.handle(Event::Connected);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Lost | Event::Failed(_) => {
                _ = self.give_up_at.get_or_insert(self.clock.now() + GIVE_UP_MS)
            }
            Event::Children { .. } | Event::Data { .. } | Event::NoNode { .. } => self.give_up_at = None,
            Event::Connected | Event::Fired(_) | Event::Due => {}
        }
        let step = self.state.borrow_mut().handle(self.clock.now(), event);
        if let Some(news) = step.news {
            (self.sink)(news);
        }
        for request in step.reads {
            self.reads.spawn_local(self.reader.clone().read(request));
        }
        self.due = step.due;
    }
}

impl Reader {
    fn send(&self, event: Event) {
        // A source that has ended needs no news.
        let _ = self.events_tx.send((self.connection, event));
    }

    /// Makes a read, which must be answered in time, and then waits for its watch, however long.
    async fn read(self, request: ReadRequest) {
        let result = match &request {
            ReadRequest::Children => self.children().await,
            ReadRequest::Data(name) => self.data(name).await,
        };
        if let Err(e) = result {
            tracing::debug!("members: {request:?}: {e}");
            self.send(Event::Failed(request));
        }
    }

    async fn children(&self) -> Result<(), Error> {
        let read = self.client.get_and_watch_children(&self.path);
        match with_timeout(read).await {
            Ok((names, stat, watcher)) => {
                self.newest_zxid.set(self.newest_zxid.get().max(stat.pzxid));
                self.send(Event::Children { zxid: stat.pzxid, names });
                self.watch_fired(watcher.changed().await.event_type, ReadRequest::Children);
            }
            Err(Error::NoNode) => {
                let (found, watcher) = with_timeout(self.client.check_and_watch_stat(&self.path)).await?;
                if found.is_none() {
                    self.send(Event::Children { zxid: self.newest_zxid.get(), names: Vec::new() });
                    self.watch_fired(watcher.changed().await.event_type, ReadRequest::Children);
                } else {
                    self.send(Event::Failed(ReadRequest::Children));
                }
            }
            Err(e) => return Err(e),
        }
        Ok(())
    }

    async fn data(&self, name: &str) -> Result<(), Error> {
        let path = format!("{}/{name}", self.path);
        match with_timeout(self.client.get_and_watch_data(&path)).await {
            Ok((bytes, stat, watcher)) => {
                let (zxid, created) = (stat.mzxid, stat.czxid);
                self.send(Event::Data { name: name.to_owned(), zxid, created, bytes });
                self.watch_fired(watcher.changed().await.event_type, ReadRequest::Data(name.to_owned()));
            }
            // The client never goes back to an address that has seen less than it has, so this is the newest.
            Err(Error::NoNode) => self.send(Event::NoNode { name: name.to_owned(), zxid: i64::MAX }),
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// A watch has fired; one that ended with its session tells nothing.
    fn watch_fired(&self, kind: EventType, request: ReadRequest) {
        if kind != EventType::Session {
            self.send(Event::Fired(request));
        }
    }
}

async fn with_timeout<T>(read: impl std::future::Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::time::timeout(REQUEST_TIMEOUT, read).await.unwrap_or(Err(Error::Timeout))
}
