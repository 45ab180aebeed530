//! Observations of the callers in the order in which they were made: the only input of the checker.

use std::cell::RefCell;
use std::fmt;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::time::Instant;

/// Kind of an operator command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// Replaces the whole configuration.
    Replace,
    /// Adds one route to the configuration.
    Change,
    /// Starts (`true`) or ends (`false`) the evacuation of a zone.
    Empty(String, bool),
}

/// OperatorCommand holds one command, whichever number of times it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCommand {
    /// Number of the version it creates; 0 for zone commands.
    pub number: u64,
    /// Number of the version it builds on.
    pub built_on: u64,
    /// Unique tag, which names the route that the command adds.
    pub tag: u64,
    /// Requested operation.
    pub what: What,
}

/// Content holds the parts of a configuration that the checker compares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// Version number; 0 if there is no configuration.
    pub number: u64,
    /// Tags of the routes, sorted.
    pub tags: Vec<u64>,
}

impl Content {
    /// Extracts the version number and the route tags from a configuration's JSON text.
    pub fn read(text: &str) -> Content {
        let numbers = |mark: &str| -> Vec<u64> {
            let parts = text.split(mark).skip(1);
            parts.filter_map(|p| p.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()).collect()
        };
        let mut tags = numbers("\"tag-");
        tags.sort_unstable();
        let number = numbers("\"version\":\"r").first().copied().unwrap_or(0);
        Content { number, tags }
    }
}

/// AppliedState holds a sample of what a follower does.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedState {
    /// Whether it accepts requests.
    pub acts: bool,
    /// Configuration that it applies.
    pub content: Rc<Content>,
    /// Evacuated zones.
    pub empty: Vec<String>,
    /// Identifiers of the ready servers, one for each row of its table, so that duplicates show.
    pub servers: Rc<Vec<String>>,
}

/// Event is one observation.
#[derive(Clone, Debug)]
pub enum Event {
    /// A command was created; later events refer to it by its index among all commands.
    Ordered(OperatorCommand),
    /// The command with this index was sent to a machine.
    Asked(usize, Ipv4Addr),
    /// Status that a machine answered to the command; `None` if no answer came in time.
    OperatorAnswer(usize, Ipv4Addr, Option<u16>),
    /// Result of a read: its start in ms, the machine, the status and the content.
    Read(f64, Ipv4Addr, u16, Content),
    /// Result of a lookup: the machine, the status and the addresses returned to the client.
    Sent(Ipv4Addr, u16, Vec<String>),
    /// Sample of a follower: its index, the identifier of its process and its state.
    Acts(usize, u64, AppliedState),
    /// A server has started.
    Begins(String),
    /// A server starts to announce that it leaves.
    Leaves(String),
    /// A server's heartbeat was acknowledged in this state: 0 ready, 1 draining, 2 left.
    ReadAnswer(String, u32),
    /// A server has ended, in order or by a crash.
    Ended(String),
    /// A fault begins (`true`) or ends (`false`).
    Trouble(bool, String),
    /// Outcome of a recovery check: its description and whether it holds.
    Recovered(String, bool),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Ordered(o) => {
                write!(f, "command tag-{} r{} on r{} {:?}", o.tag, o.number, o.built_on, o.what)
            }
            Event::Asked(order, at) => write!(f, "command #{order} sent to {at}"),
            Event::OperatorAnswer(order, at, status) => {
                write!(f, "command #{order} answered by {at}: {status:?}")
            }
            Event::Read(began, at, status, c) => {
                write!(f, "read at {at} from {began:.0}: {status} r{} {:?}", c.number, c.tags)
            }
            Event::Sent(at, status, fronts) => write!(f, "lookup at {at}: {status} {fronts:?}"),
            Event::Acts(who, process, a) => write!(
                f,
                "follower {who} process {:x}: {} r{} {:?} evacuated {:?} servers {:?}",
                process & 0xffff,
                if a.acts { "acts" } else { "does not act" },
                a.content.number,
                a.content.tags,
                a.empty,
                a.servers
            ),
            Event::Begins(id) => write!(f, "server {id} starts"),
            Event::Leaves(id) => write!(f, "server {id} starts to leave"),
            Event::ReadAnswer(id, state) => write!(f, "server {id} acknowledged in state {state}"),
            Event::Ended(id) => write!(f, "server {id} has ended"),
            Event::Trouble(begins, what) => {
                write!(f, "{} {what}", if *begins { "TROUBLE" } else { "mended" })
            }
            Event::Recovered(what, holds) => write!(f, "recovery check: {what}: {holds}"),
        }
    }
}

/// History holds all events with their times.
#[derive(Debug)]
pub struct History {
    began: Instant,
    events: RefCell<Vec<(f64, Event)>>,
}

impl History {
    /// Creates an empty history that starts now.
    pub fn new() -> Rc<History> {
        Rc::new(History { began: Instant::now(), events: RefCell::default() })
    }

    /// Returns the time since the start, ms.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// Appends an event at the current time.
    pub fn record(&self, event: Event) {
        self.events.borrow_mut().push((self.now(), event));
    }

    /// Returns the number of commands created so far.
    pub fn command_count(&self) -> usize {
        self.events.borrow().iter().filter(|(_, event)| matches!(event, Event::Ordered(_))).count()
    }

    /// Takes all events out of the history.
    pub fn take(&self) -> Vec<(f64, Event)> {
        self.events.take()
    }
}
