//! A fleet's two registers as nodes of the tree: carries out what [`oatbank_fleet::election`] asks for, and decides nothing.

use crate::{Config, LONGEST_PAUSE, PATIENCE, PAUSE};
use oatbank_fleet::election::{Register, RegisterRequest, RegisterResponse};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use zookeeper_client::{Acls, Client, CreateMode, Error, SessionState};

/// After so many asks in a row without an answer the session is given up for a new one: it owns nothing, and a client
/// may hold on to a dead connection for the whole session time-out.
const MOST_LOST: u32 = 2;

/// The registers of one fleet. Shared on one thread.
pub struct Registers {
    config: Config,
    /// An ask that has no answer by then is lost.
    timeout: Duration,
    client: RefCell<Option<Client>>,
    lost: Cell<u32>,
    give_up: Notify,
}

impl Registers {
    /// Below the folder at `config.path`.
    pub fn new(config: Config, timeout: Duration) -> Rc<Self> {
        let (client, lost) = Default::default();
        Rc::new(Registers { config, timeout, client, lost, give_up: Notify::new() })
    }

    /// Keeps a session for the life of the process, inside a [`tokio::task::LocalSet`].
    pub async fn run(self: Rc<Self>) {
        let mut pause = PAUSE;
        loop {
            let connecting = self.config.connector().connect(&self.config.cluster);
            match tokio::time::timeout(PATIENCE, connecting).await {
                Ok(Ok(client)) => {
                    pause = PAUSE;
                    let mut states = client.state_watcher();
                    self.lost.set(0);
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
                Err(_) => tracing::warn!("fleet: no session with the coordinator in time"),
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Asks, and waits for what comes of it.
    pub async fn carry_out(&self, register: Register, ask: RegisterRequest) -> RegisterResponse {
        let client = self.client.borrow().clone();
        let Some(client) = client else {
            // Nobody is to ask again at once.
            tokio::time::sleep(self.timeout).await;
            return RegisterResponse::Unknown;
        };
        let node = format!("{}/{}", self.config.path, name(register));
        match tokio::time::timeout(self.timeout, self.attempt(&client, &node, ask)).await {
            Ok(Ok(outcome)) => {
                self.lost.set(0);
                outcome
            }
            Ok(Err(e)) => {
                tracing::debug!("fleet: {node}: {e}");
                tokio::time::sleep(self.timeout / 4).await;
                self.lost()
            }
            Err(_) => self.lost(),
        }
    }

    fn lost(&self) -> RegisterResponse {
        self.lost.set(self.lost.get() + 1);
        if self.lost.get() >= MOST_LOST {
            self.lost.set(0);
            self.give_up.notify_waiters();
        }
        RegisterResponse::Unknown
    }

    async fn attempt(
        &self,
        client: &Client,
        node: &str,
        ask: RegisterRequest,
    ) -> Result<RegisterResponse, Error> {
        let persistent = CreateMode::Persistent.with_acls(Acls::anyone_all());
        let done = match ask {
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
                    done => done.map(|(stat, _)| stat.version),
                }
            }
        };
        match done {
            Ok(version) => Ok(RegisterResponse::Swapped(version)),
            Err(Error::BadVersion | Error::NodeExists | Error::NoNode) => {
                Ok(RegisterResponse::VersionMismatch)
            }
            Err(e) => Err(e),
        }
    }
}

fn name(register: Register) -> &'static str {
    match register {
        Register::Decider => "decider",
        Register::Rules => "rules",
    }
}
