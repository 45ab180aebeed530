//! Membership from ZooKeeper-style ephemeral nodes: keeps a session, makes the reads that
//! [`oatbank_membership::reconcile`] requests, and forwards the resulting updates. The reconciler decides what is listed.

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

/// Delay after the first failure to open a session. It doubles up to [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Upper limit of the delay between attempts to open a session.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// A request or connection attempt fails if it is not answered within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A session without a successful read for this long, ms, after its connection was lost or a read failed, is replaced.
/// It owns no ephemeral nodes, so nothing is lost. The client library may keep a dead connection for the whole session
/// timeout, as happened after a frame that could not be decoded.
const GIVE_UP: Millis = 500.0;

/// Connection settings and the folder of the members.
#[derive(Clone, Debug)]
pub struct Config {
    /// Addresses of the ensemble, `HOST:PORT,…`, with an optional chroot at the end.
    pub cluster: String,
    /// The folder whose nodes are the members.
    pub path: String,
    /// Requested session timeout. Also how long members have to register again after an outage of the service that
    /// was longer than this.
    pub session_timeout: Duration,
    /// Scheme and credentials, if the folder's permissions require them.
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

/// State of a source, shared with the code that displays it.
pub type Shared = Rc<RefCell<Reconciler>>;

/// Creates the initial state of a source.
pub fn state(config: &Config) -> Shared {
    let settle = config.session_timeout.as_secs_f64() * 1000.0;
    Rc::new(RefCell::new(Reconciler::new(Settings { settle })))
}

/// Follows the folder and reports changes to `sink`. Never returns; must run inside a [`tokio::task::LocalSet`].
pub async fn follow(config: Config, clock: Rc<dyn Clock>, sink: MembershipSink, state: Shared) {
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        match tokio::time::timeout(REQUEST_TIMEOUT, config.connector().connect(&config.cluster)).await {
            Ok(Ok(client)) => {
                delay = MIN_RECONNECT_DELAY;
                let source = Source::new(&config, client, clock.clone(), sink.clone(), state.clone());
                let span = tracing::info_span!("session", path = config.path);
                let ended = source.run().instrument(span).await;
                tracing::warn!("members: the session has ended: {ended:?}; keeping the last list");
            }
            Ok(Err(e)) => tracing::warn!("members: no session: {e}; retrying in {} ms", delay.as_millis()),
            Err(_) => tracing::warn!("members: connecting timed out; retrying in {} ms", delay.as_millis()),
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Number of a connection, and an event that occurred on it.
type ConnectionEvent = (u64, Event);

/// One ZooKeeper session that follows the folder.
struct Source {
    clock: Rc<dyn Clock>,
    sink: MembershipSink,
    state: Shared,
    events: UnboundedReceiver<ConnectionEvent>,
    reader: Reader,
    reads: JoinSet<()>,
    due: Option<Millis>,
    /// When this session is replaced, unless a read succeeds first.
    give_up_at: Option<Millis>,
}

/// Client and state that a read needs.
#[derive(Clone)]
struct Reader {
    client: Client,
    path: String,
    connection: u64,
    events_tx: UnboundedSender<ConnectionEvent>,
    /// Highest `pzxid` read of the folder. It stands in for the zxid of a missing folder, which has none.
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

    /// Runs until the session ends or is given up, and returns its last state.
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
                    // A response from an earlier connection may be older than reads on this one.
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
            Event::Lost | Event::Failed(_) => _ = self.give_up_at.get_or_insert(self.clock.now() + GIVE_UP),
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
        // The receiver is closed once the source has ended.
        let _ = self.events_tx.send((self.connection, event));
    }

    /// Makes a read, subject to [`REQUEST_TIMEOUT`], and then waits for its watch without a limit.
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
            // The client never reconnects to a server that is behind it, so a missing node is the newest state.
            Err(Error::NoNode) => self.send(Event::NoNode { name: name.to_owned(), zxid: i64::MAX }),
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Reports a watch that has fired. A watch that ended with its session reports nothing.
    fn watch_fired(&self, kind: EventType, request: ReadRequest) {
        if kind != EventType::Session {
            self.send(Event::Fired(request));
        }
    }
}

async fn with_timeout<T>(read: impl std::future::Future<Output = Result<T, Error>>) -> Result<T, Error> {
    tokio::time::timeout(REQUEST_TIMEOUT, read).await.unwrap_or(Err(Error::Timeout))
}
