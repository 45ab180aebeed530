//! Maintains a limiter's own ephemeral node, and derives from the folder of all limiters its number among them and their
//! count.
//!
//! The caller keeps a session, executes the actions in [`Step::actions`] in order, and reports the result of each and every
//! watch that fires.
//!
//! Guarantees, for any order, loss and repetition of events:
//! - a name has one node, since the name is the node's path: a node left behind by an earlier process is deleted and
//!   created again in one transaction, and only if its version is still the one that was read;
//! - of two processes with the same name, the one started last holds the node; the other reports [`State::Superseded`] and
//!   waits until that node is gone;
//! - a node that was removed by others (an expired session, an operator) is created again;
//! - the reported count of limiters rises at once and falls only after it has been lower for [`Settings::settle`]: a limiter
//!   that divides a shared limit by it takes too little in doubt, never too much. It holds while the service is unavailable;
//! - after [`Event::Leave`] nothing is created any more, and the node is removed if this process owns it.

use crate::payload::is_plain;
use oatbank_limiter_core::interface::Millis;
use serde::{Deserialize, Serialize};

/// Delay in ms before a failed action is retried.
const RETRY_DELAY: Millis = 100.0;

/// Settings of a registration.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time in ms that limiters may take to register again: at least their session timeout.
    pub settle: Millis,
}

/// Identifies one start of a process. Of two processes with the same name, the greater one is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Start time of the process, Unix ms.
    pub started_ms: u64,
    /// A random number that distinguishes processes started in the same millisecond.
    pub instance: u64,
}

/// An action at the service that the caller has to execute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Create the folder and its parents.
    Folder,
    /// Create the node as an ephemeral node.
    Create,
    /// Read the node, with a watch.
    Read,
    /// Delete the node if it still has this version, and create it again, in one transaction.
    Replace {
        /// The version of the node that was read.
        version: i32,
    },
    /// Read the names in the folder, with a watch.
    Names,
    /// Delete the node if it still has this version.
    Remove {
        /// The version of the node that was read.
        version: i32,
    },
}

/// An event that the caller reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The session is established on a new connection; watches have to be set again.
    Connected {
        /// Id of the session.
        session: i64,
    },
    /// The connection is lost, or the session has expired; pending actions will not be answered.
    Lost,
    /// The action succeeded. Creating a folder that exists and removing a node that is gone count as success.
    Done(Action),
    /// The node could not be created because it exists.
    Taken,
    /// The node could not be created, or the names not read, because the folder does not exist.
    NoFolder,
    /// The node was read.
    Node {
        /// The session that owns it.
        owner: i64,
        /// Its version.
        version: i32,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// The node does not exist.
    NoNode,
    /// The folder was read.
    Names(Vec<String>),
    /// The action failed; it may or may not have taken effect.
    Failed(Action),
    /// The watch that this action set has fired.
    Fired(Action),
    /// The time in [`Step::due`] is reached.
    Due,
    /// The process is about to end.
    Leave,
}

/// The state of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not registered, or not known to be registered.
    Out,
    /// The node exists and belongs to this session.
    Registered,
    /// A process of the same name that started later owns the node.
    Superseded(Incarnation),
    /// The registration has ended and will not be renewed.
    Left,
}

/// The position of this limiter among all limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its index in the sorted names, from 0.
    pub number: usize,
    /// Number of limiters; rises at once and falls only after [`Settings::settle`].
    pub count: usize,
}

/// The result of handling an event.
#[derive(Debug, Default, PartialEq)]
pub struct Step {
    /// Actions to execute, in this order.
    pub actions: Vec<Action>,
    /// The position, if it has changed.
    pub place: Option<Place>,
    /// Time at which to report [`Event::Due`], unless another event comes first.
    pub due: Option<Millis>,
}

/// The registration of one limiter.
#[derive(Debug)]
pub struct Registration {
    settings: Settings,
    name: String,
    incarnation: Incarnation,
    session: Option<i64>,
    state: State,
    leaving: bool,
    /// Version of this process's own node.
    version: i32,
    /// Failed actions to retry at `retry_at`.
    retries: Vec<Action>,
    retry_at: Option<Millis>,
    names: Vec<String>,
    /// The reported number of limiters.
    count: usize,
    /// Since when fewer limiters than `count` have been listed.
    fewer_since: Option<Millis>,
    announced: Option<Place>,
}

impl Registration {
    /// Creates a registration of `name`, which must satisfy [`is_plain`] and must not contain `/`.
    pub fn new(settings: Settings, name: &str, incarnation: Incarnation) -> Self {
        Registration {
            settings,
            name: name.to_owned(),
            incarnation,
            session: None,
            state: State::Out,
            leaving: false,
            version: 0,
            retries: Vec::new(),
            retry_at: None,
            names: Vec::new(),
            count: 0,
            fewer_since: None,
            announced: None,
        }
    }

    /// The content of the node: the incarnation as JSON.
    pub fn payload(&self) -> Vec<u8> {
        // Serializing two numbers to JSON cannot fail.
        serde_json::to_vec(&self.incarnation).unwrap_or_default()
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The position as last reported.
    pub fn place(&self) -> Option<Place> {
        self.announced
    }

    /// Handles an event and returns the next actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Step {
        let mut actions = Vec::new();
        match event {
            Event::Connected { session } => {
                // A new session owns no nodes; a resumed one has lost its watches.
                let resumed = self.session.replace(session) == Some(session);
                if !resumed && self.state == State::Registered {
                    self.state = State::Out;
                }
                (self.retries, self.retry_at) = (Vec::new(), None);
                actions.extend([
                    if resumed || self.leaving { Action::Read } else { Action::Create },
                    Action::Names,
                ]);
            }
            Event::Lost => (self.retries, self.retry_at) = (Vec::new(), None),
            Event::Done(Action::Folder) => actions.extend([Action::Create, Action::Names]),
            Event::Done(Action::Remove { .. }) => self.state = State::Left,
            Event::Done(_) | Event::Taken | Event::Fired(Action::Read) => actions.push(Action::Read),
            Event::NoFolder => actions.push(Action::Folder),
            Event::Node { owner, version, bytes } => actions.extend(self.handle_node(owner, version, &bytes)),
            Event::NoNode => {
                self.state = if self.leaving { State::Left } else { State::Out };
                actions.push(Action::Create);
            }
            Event::Names(names) => self.names = names,
            Event::Failed(action) => self.retry(now, action),
            Event::Fired(_) => actions.push(Action::Names),
            Event::Due => {
                if self.retry_at.is_some_and(|at| now >= at) {
                    self.retry_at = None;
                    actions.append(&mut self.retries);
                }
            }
            Event::Leave => {
                self.leaving = true;
                actions.push(Action::Read);
            }
        }
        if self.leaving {
            actions.retain(|w| matches!(w, Action::Read | Action::Remove { .. }));
        }
        if self.state == State::Left || self.session.is_none() {
            actions.clear();
        }
        Step { actions, place: self.update_place(now), due: self.due() }
    }

    fn retry(&mut self, now: Millis, action: Action) {
        // The version may be outdated by now, so the node is read again.
        let action = match action {
            Action::Replace { .. } | Action::Remove { .. } => Action::Read,
            other => other,
        };
        if !self.retries.contains(&action) {
            self.retries.push(action);
        }
        self.retry_at.get_or_insert(now + RETRY_DELAY);
    }

    fn handle_node(&mut self, owner: i64, version: i32, bytes: &[u8]) -> Option<Action> {
        let holder = serde_json::from_slice::<Incarnation>(bytes).ok();
        if self.session == Some(owner) && holder == Some(self.incarnation) {
            (self.state, self.version) = (State::Registered, version);
            return self.leaving.then_some(Action::Remove { version });
        }
        if let Some(newer) = holder.filter(|holder| *holder > self.incarnation) {
            self.state = if self.leaving { State::Left } else { State::Superseded(newer) };
            return None;
        }
        if self.leaving {
            // The node belongs to an expired session or an earlier process, and is removed with its session.
            self.state = State::Left;
            return None;
        }
        self.state = State::Out;
        Some(Action::Replace { version })
    }

    fn update_place(&mut self, now: Millis) -> Option<Place> {
        let mut names: Vec<&String> = self.names.iter().filter(|name| is_plain(name)).collect();
        names.sort_unstable();
        let since = *self.fewer_since.get_or_insert(now);
        if names.len() >= self.count || now - since >= self.settings.settle {
            (self.count, self.fewer_since) = (names.len(), None);
        }
        let number = names.iter().position(|name| **name == self.name)?;
        let place = Place { number, count: self.count };
        let changed = self.state == State::Registered && self.announced != Some(place);
        if changed {
            self.announced = Some(place);
        }
        changed.then_some(place)
    }

    fn due(&self) -> Option<Millis> {
        let count_falls_at = self.fewer_since.map(|since| since + self.settings.settle);
        [self.retry_at, count_falls_at].into_iter().flatten().min_by(f64::total_cmp)
    }
}
