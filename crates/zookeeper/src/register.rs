//! Registers this limiter as an ephemeral node: keeps a session of its own and carries out the
//! actions of [`oatbank_membership::register`].
//!
//! It does not share the session that reads the server list: that session is replaced as soon as it seems dead, while
//! the end of this one tells other limiters that this limiter has gone.

use crate::{with_timeout, Config, MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY, REQUEST_TIMEOUT};
use oatbank_engine::ports::clock::Clock;
use oatbank_engine::ports::LocalFuture;
use oatbank_limiter_core::interface::Millis;
use oatbank_membership::register::{Action, Event, Incarnation, Place, Registration, Settings, State};
use std::cell::RefCell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use zookeeper_client::{Acls, Client, CreateMode, Error, EventType, SessionState};

/// How long a shutdown waits for the node to be removed; after that the session timeout removes it.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Registration of a limiter. Shared within one thread.
pub struct Registrar {
    config: Config,
    node: String,
    clock: Rc<dyn Clock>,
    registration: RefCell<Registration>,
    on_place: Box<dyn Fn(Place)>,
    leave: Notify,
    left: Notify,
}

impl Registrar {
    /// Creates the registration of the limiter `name` in the folder `config.path`. `on_place` gets the limiter's number
    /// and the number of limiters, at first and on every change.
    pub fn new(
        config: Config,
        name: &str,
        life: Incarnation,
        clock: Rc<dyn Clock>,
        on_place: impl Fn(Place) + 'static,
    ) -> Rc<Self> {
        let settle = config.session_timeout.as_secs_f64() * 1000.0;
        Rc::new(Registrar {
            node: format!("{}/{name}", config.path),
            config,
            clock,
            registration: RefCell::new(Registration::new(Settings { settle }, name, life)),
            on_place: Box::new(on_place),
            leave: Notify::new(),
            left: Notify::new(),
        })
    }

    /// Returns the state of the registration.
    pub fn state(&self) -> State {
        self.registration.borrow().state()
    }

    /// Keeps the node registered; completes once it has been removed by [`Registrar::leave`]. Must run inside a
    /// [`tokio::task::LocalSet`].
    pub async fn run(self: Rc<Self>) {
        let mut delay = MIN_RECONNECT_DELAY;
        while self.state() != State::Left {
            match tokio::time::timeout(REQUEST_TIMEOUT, self.config.connector().connect(&self.config.cluster))
                .await
            {
                Ok(Ok(client)) => {
                    delay = MIN_RECONNECT_DELAY;
                    Session::new(self.clone(), client).run().await;
                }
                Ok(Err(e)) => tracing::warn!(reason = %e, "register: no session: {e}"),
                Err(_) => tracing::warn!("register: connecting timed out"),
            }
            if self.state() != State::Left {
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(MAX_RECONNECT_DELAY);
            }
        }
        self.left.notify_one();
    }

    /// Removes the node. After 500 ms it gives up, and the session timeout removes the node.
    pub async fn leave(&self) {
        self.leave.notify_one();
        if tokio::time::timeout(LEAVE_TIMEOUT, self.left.notified()).await.is_err() {
            tracing::warn!("register: the node was not removed in time; it expires with its session");
        }
    }
}

/// Number of a connection, and an event that occurred on it.
type ConnectionEvent = (u64, Event);

struct Session {
    registrar: Rc<Registrar>,
    client: Client,
    connection: u64,
    events_tx: UnboundedSender<ConnectionEvent>,
    events: UnboundedReceiver<ConnectionEvent>,
    operations: JoinSet<()>,
    due: Option<Millis>,
}

impl Session {
    fn new(registrar: Rc<Registrar>, client: Client) -> Self {
        let (events_tx, events) = unbounded_channel();
        Session { registrar, client, connection: 0, events_tx, events, operations: JoinSet::new(), due: None }
    }

    /// Runs until the session ends or the node has been removed.
    async fn run(mut self) {
        let registrar = self.registrar.clone();
        let mut states = self.client.state_watcher();
        self.connected();
        while registrar.state() != State::Left {
            let due: LocalFuture<()> = match self.due {
                Some(at) => registrar.clock.until(at),
                None => Box::pin(pending()),
            };
            tokio::select! {
                biased;
                state = states.changed() => match state {
                    SessionState::SyncConnected => self.connected(),
                    SessionState::Disconnected => self.handle(Event::Lost),
                    ended => {
                        tracing::warn!("register: the session has ended: {ended:?}");
                        return self.handle(Event::Lost);
                    }
                },
                Some((connection, event)) = self.events.recv() => {
                    if connection == self.connection || matches!(event, Event::Fired(_)) {
                        self.handle(event);
                    }
                }
                Some(_) = self.operations.join_next() => {}
                () = registrar.leave.notified() => self.handle(Event::Leave),
                () = due => self.handle(Event::Due),
            }
        }
    }

    fn connected(&mut self) {
        self.connection += 1;
        self.handle(Event::Connected { session: self.client.session_id().0 });
    }

    fn handle(&mut self, event: Event) {
        let registrar = self.registrar.clone();
        let before = registrar.state();
        let step = registrar.registration.borrow_mut().handle(registrar.clock.now(), event);
        match (before, registrar.state()) {
            (old, new) if old == new => {}
            (_, State::Superseded(life)) => {
                tracing::error!(
                    "register: another process with this name has replaced this one, started at {} ms",
                    life.started_ms
                );
            }
            (_, new) => tracing::info!("register: {}: {new:?}", registrar.node),
        }
        if let Some(place) = step.place {
            (registrar.on_place)(place);
        }
        for action in step.actions {
            let operation = Operation {
                client: self.client.clone(),
                registrar: registrar.clone(),
                connection: self.connection,
                events_tx: self.events_tx.clone(),
            };
            self.operations.spawn_local(operation.carry_out(action));
        }
        self.due = step.due;
    }
}

struct Operation {
    client: Client,
    registrar: Rc<Registrar>,
    connection: u64,
    events_tx: UnboundedSender<ConnectionEvent>,
}

impl Operation {
    fn send(&self, event: Event) {
        // The receiver is closed once the session has ended.
        let _ = self.events_tx.send((self.connection, event));
    }

    async fn carry_out(self, action: Action) {
        if let Err(e) = self.attempt(action).await {
            tracing::debug!(reason = %e, "register: {action:?}: {e}");
            self.send(Event::Failed(action));
        }
    }

    async fn attempt(&self, action: Action) -> Result<(), Error> {
        let (client, node) = (&self.client, self.registrar.node.as_str());
        let ephemeral = CreateMode::Ephemeral.with_acls(Acls::anyone_all());
        let payload = self.registrar.registration.borrow().payload();
        let result = match action {
            Action::Folder => {
                let persistent = CreateMode::Persistent.with_acls(Acls::anyone_all());
                with_timeout(client.mkdir(&self.registrar.config.path, &persistent)).await
            }
            Action::Create => with_timeout(client.create(node, &payload, &ephemeral)).await.map(drop),
            Action::Replace { version } => {
                let mut transaction = client.new_multi_writer();
                transaction.add_delete(node, Some(version))?;
                transaction.add_create(node, &payload, &ephemeral)?;
                let result = tokio::time::timeout(REQUEST_TIMEOUT, transaction.commit()).await;
                result.map_err(|_| Error::Timeout)?.map(drop).map_err(|_| Error::BadVersion)
            }
            Action::Remove { version } => with_timeout(client.delete(node, Some(version))).await,
            Action::Read => return self.read(node).await,
            Action::Names => return self.names().await,
        };
        match (action, result) {
            (_, Ok(())) | (Action::Folder, Err(Error::NodeExists)) => self.send(Event::Done(action)),
            (Action::Remove { .. }, Err(Error::NoNode)) => self.send(Event::Done(action)),
            (_, Err(Error::NodeExists)) => self.send(Event::Taken),
            (Action::Create, Err(Error::NoNode)) => self.send(Event::NoFolder),
            (_, Err(e)) => return Err(e),
        }
        Ok(())
    }

    async fn read(&self, node: &str) -> Result<(), Error> {
        let watcher = match with_timeout(self.client.get_and_watch_data(node)).await {
            Ok((bytes, stat, watcher)) => {
                self.send(Event::Node { owner: stat.ephemeral_owner, version: stat.version, bytes });
                watcher
            }
            Err(Error::NoNode) => {
                self.send(Event::NoNode);
                return Ok(());
            }
            Err(e) => return Err(e),
        };
        self.watch_fired(watcher.changed().await.event_type, Action::Read);
        Ok(())
    }

    async fn names(&self) -> Result<(), Error> {
        match with_timeout(self.client.get_and_watch_children(&self.registrar.config.path)).await {
            Ok((names, _, watcher)) => {
                self.send(Event::Names(names));
                self.watch_fired(watcher.changed().await.event_type, Action::Names);
                Ok(())
            }
            // The folder is created together with the node, and the names are read again then.
            Err(Error::NoNode) => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Reports a watch that has fired. A watch that ended with its session reports nothing.
    fn watch_fired(&self, kind: EventType, action: Action) {
        if kind != EventType::Session {
            self.send(Event::Fired(action));
        }
    }
}
