//! A limiter's own node: made, kept, made anew, removed; and from the folder of all limiters this one's number and how
//! many there are.
//!
//! The caller keeps a session and carries out what [`Step::actions`] asks for, one after the other, and tells what came of
//! each and which watch fired.
//!
//! Guarantees, for any order, loss and repetition of events:
//! - a name has one node, since the name is the node's path: one that an earlier life left behind is deleted and made
//!   anew in one transaction, and only while it is still the one that was read;
//! - of two processes with one name the one that started last holds it; the other says so and waits until it is gone;
//! - a node that went without our doing (an expired session, an operator) is made anew;
//! - the number of limiters that is told rises at once and falls only after it has been lower for [`Settings::settle`]:
//!   whoever takes a part of something takes too little in doubt, never too much. While the service is away it holds;
//! - after [`Event::Leave`] nothing is made any more, and the node is removed if it is ours.

use crate::payload::is_plain;
use oatbank_limiter_core::interface::Millis;
use serde::{Deserialize, Serialize};

/// What could not be done is tried again after this, ms.
const RETRY_DELAY: Millis = 100.0;

/// What the registration goes by.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long limiters may take to come back, ms: at least their session time-out.
    pub settle: Millis,
}

/// Which process this is. Of two with one name the greater one is the newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// When the process started, Unix ms.
    pub started_ms: u64,
    /// A random number, should two have started in one millisecond.
    pub instance: u64,
}

/// What is to be done, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make the folder, and those above it.
    Folder,
    /// Make the node, ephemeral.
    Create,
    /// Read the node, with a watch.
    Read,
    /// Delete the node if it still has this version, and make it, in one transaction.
    Replace {
        /// The version of the node that was read.
        version: i32,
    },
    /// Read the folder's names, with a watch.
    Names,
    /// Delete the node if it still has this version.
    Remove {
        /// The version of the node that was read.
        version: i32,
    },
}

/// What has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The session stands, on a new connection; watches are to be set anew.
    Connected {
        /// The session's number.
        session: i64,
    },
    /// The connection is lost, or the session has expired; what is out will not be answered.
    Lost,
    /// What was wanted is done. A folder that is there already is made, a node that is gone is removed.
    Done(Action),
    /// The node could not be made: there is one.
    Taken,
    /// The node could not be made, or the names not read: there is no folder.
    NoFolder,
    /// The node was read.
    Node {
        /// The session that owns it.
        owner: i64,
        /// Its version.
        version: i32,
        /// What it holds.
        bytes: Vec<u8>,
    },
    /// There is no node.
    NoNode,
    /// The folder was read.
    Names(Vec<String>),
    /// What was wanted could not be done; nothing is known by it.
    Failed(Action),
    /// The watch that this set has fired.
    Fired(Action),
    /// [`Step::due`] has come.
    Due,
    /// The process is to end.
    Leave,
}

/// Where the registration stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not registered, or not known to be.
    Out,
    /// The node is there and this session's.
    Registered,
    /// A process of the same name that started later has the node.
    Superseded(Incarnation),
    /// The node is removed, for good.
    Left,
}

/// This limiter among all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its number, from 0, in the order of names.
    pub number: usize,
    /// How many there are, on the safe side: see [`self`].
    pub count: usize,
}

/// What comes of an event.
#[derive(Debug, Default, PartialEq)]
pub struct Step {
    /// What is to be done.
    pub actions: Vec<Action>,
    /// The place, if it has changed.
    pub place: Option<Place>,
    /// When [`Event::Due`] is to be told, if nothing comes before.
    pub due: Option<Millis>,
}

/// One limiter's registration.
#[derive(Debug)]
pub struct Registration {
    settings: Settings,
    name: String,
    incarnation: Incarnation,
    session: Option<i64>,
    state: State,
    leaving: bool,
    /// The version of our own node.
    version: i32,
    /// What failed, to be tried again at this time.
    retries: Vec<Action>,
    retry_at: Option<Millis>,
    names: Vec<String>,
    /// The count that is told, and since when fewer have been seen.
    count: usize,
    fewer_since: Option<Millis>,
    announced: Option<Place>,
}

impl Registration {
    /// A registration of `name`, which [`is_plain`] and without `/`.
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

    /// What the node holds.
    pub fn payload(&self) -> Vec<u8> {
        // A struct of two numbers has a form in JSON.
        serde_json::to_vec(&self.incarnation).unwrap_or_default()
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// This limiter's place as it was last told.
    pub fn place(&self) -> Option<Place> {
        self.announced
    }

    /// Takes in what has happened.
    pub fn handle(&mut self, now: Millis, event: Event) -> Step {
        let mut actions = Vec::new();
        match event {
            Event::Connected { session } => {
                // A new session owns nothing; of a kept one the watches are gone.
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
        // What a version says may be old by now: it is read again.
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
            // Our own of an expired session, or an earlier life's: it goes with its session.
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
