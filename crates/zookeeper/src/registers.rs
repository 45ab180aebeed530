//! The two registers of a fleet, stored as ZooKeeper nodes: carries out the requests of [`oatbank_fleet::election`].

use crate::{Config, MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY, REQUEST_TIMEOUT};
use oatbank_fleet::election::{Register, RegisterRequest, RegisterResponse};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use zookeeper_client::{Acls, Client, CreateMode, Error, SessionState};

/// After this many failed requests in a row the session is replaced. It owns no ephemeral nodes, and the client may keep
/// a dead connection for the whole session timeout.
const MAX_UNANSWERED: u32 = 2;

/// Registers of one fleet. Shared within one thread.
pub struct Registers {
    config: Config,
    /// Time limit of a request.
    timeout: Duration,
    client: RefCell<Option<Client>>,
    unanswered: Cell<u32>,
    give_up: Notify,
}

impl Registers {
    /// Creates access to the registers in the folder `config.path`.
    pub fn new(config: Config, timeout: Duration) -> Rc<Self> {
        let (client, unanswered) = Default::default();
        Rc::new(Registers { config, timeout, client, unanswered, give_up: Notify::new() })
    }

    /// Keeps a session open. Never returns; must run inside a [`tokio::task::LocalSet`].
    pub async fn run(self: Rc<Self>) {
        let mut delay = MIN_RECONNECT_DELAY;
        loop {
            let connecting = self.config.connector().connect(&self.config.cluster);
            match tokio::time::timeout(REQUEST_TIMEOUT, connecting).await {
                Ok(Ok(client)) => {
                    delay = MIN_RECONNECT_DELAY;
                    let mut states = client.state_watcher();
                    self.unanswered.set(0);
                    *self.client.borrow_mut() = Some(client);
                    loop {
                        tokio::select! {
                            state = states.changed() => match state {
                                SessionState::SyncConnected | SessionState::Disconnected => {}
                                _ => break,
                            },
                            () = self.give_up.notified() => break,
                        }
                    }
                    *self.client.borrow_mut() = None;
                }
                Ok(Err(e)) => tracing::warn!("fleet: no session with the coordinator: {e}"),
                Err(_) => tracing::warn!("fleet: connecting to the coordinator timed out"),
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    /// Carries out a request. Returns [`RegisterResponse::Unknown`] if there is no session, no answer in time, or an error.
    pub async fn carry_out(&self, register: Register, request: RegisterRequest) -> RegisterResponse {
        let client = self.client.borrow().clone();
        let Some(client) = client else {
            // Delays the response, so that callers do not retry at once.
            tokio::time::sleep(self.timeout).await;
            return RegisterResponse::Unknown;
        };
        let node = format!("{}/{}", self.config.path, node_name(register));
        match tokio::time::timeout(self.timeout, self.attempt(&client, &node, request)).await {
            Ok(Ok(outcome)) => {
                self.unanswered.set(0);
                outcome
            }
            Ok(Err(e)) => {
                tracing::debug!("fleet: {node}: {e}");
                tokio::time::sleep(self.timeout / 4).await;
                self.record_unanswered()
            }
            Err(_) => self.record_unanswered(),
        }
    }

    fn record_unanswered(&self) -> RegisterResponse {
        self.unanswered.set(self.unanswered.get() + 1);
        if self.unanswered.get() >= MAX_UNANSWERED {
            self.unanswered.set(0);
            self.give_up.notify_waiters();
        }
        RegisterResponse::Unknown
    }

    async fn attempt(
        &self,
        client: &Client,
        node: &str,
        request: RegisterRequest,
    ) -> Result<RegisterResponse, Error> {
        let persistent = CreateMode::Persistent.with_acls(Acls::anyone_all());
        let result = match request {
            RegisterRequest::Read => {
                return match client.get_data(node).await {
                    Ok((bytes, stat)) => Ok(RegisterResponse::Value(Some((stat.version, bytes)))),
                    Err(Error::NoNode) => Ok(RegisterResponse::Value(None)),
                    Err(e) => Err(e),
                }
            }
            RegisterRequest::CompareAndSwap(Some(version), bytes) => {
                client.set_data(node, &bytes, Some(version)).await.map(|stat| stat.version)
            }
            RegisterRequest::CompareAndSwap(None, bytes) => {
                match client.create(node, &bytes, &persistent).await {
                    Err(Error::NoNode) => {
                        client.mkdir(&self.config.path, &persistent).await?;
                        client.create(node, &bytes, &persistent).await.map(|(stat, _)| stat.version)
                    }
                    result => result.map(|(stat, _)| stat.version),
                }
            }
        };
        match result {
            Ok(version) => Ok(RegisterResponse::Swapped(version)),
            Err(Error::BadVersion | Error::NodeExists | Error::NoNode) => {
                Ok(RegisterResponse::VersionMismatch)
            }
            Err(e) => Err(e),
        }
    }
}

fn node_name(register: Register) -> &'static str {
    match register {
        Register::Decider => "decider",
        Register::Rules => "rules",
    }
}
