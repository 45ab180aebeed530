//! What callers saw, in the order in which they saw it. The checker knows nothing else.

use std::cell::RefCell;
use std::fmt;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::time::Instant;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A whole configuration.
    Replace,
    /// One more route.
    Change,
    /// The zone is to be empty, or is taken back.
    Empty(String, bool),
}

/// An order of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCommand {
    /// Its version's number; 0 where it has none.
    pub number: u64,
    /// The number that it builds on.
    pub built_on: u64,
    /// Names the route that it brings: no other order has it.
    pub tag: u64,
    /// What it asks for.
    pub what: What,
}

/// A configuration, as a caller sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// Its version's number; 0: there is none.
    pub number: u64,
    /// The routes that are there, by tag, sorted.
    pub tags: Vec<u64>,
}

impl Content {
    /// Reads a configuration's text.
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

/// What a follower does now.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedState {
    /// It takes requests.
    pub acts: bool,
    /// By this.
    pub content: Rc<Content>,
    /// Zones that it sends nothing to.
    pub empty: Vec<String>,
    /// Servers that it sends to, one for each row.
    pub servers: Rc<Vec<String>>,
}

/// What was seen.
#[derive(Clone, Debug)]
pub enum Event {
    /// An order is made; it is known by its place among the orders from now on.
    Ordered(OperatorCommand),
    /// It is sent to this machine.
    Asked(usize, Ipv4Addr),
    /// What came of that; `None`: no answer.
    OperatorAnswer(usize, Ipv4Addr, Option<u16>),
    /// A reading that began then, ms, at this machine.
    Read(f64, Ipv4Addr, u16, Content),
    /// Where a client is sent by this machine: the addresses.
    Sent(Ipv4Addr, u16, Vec<String>),
    /// What a follower does, with its life.
    Acts(usize, u64, AppliedState),
    /// A server begins.
    Begins(String),
    /// It says for the first time that it leaves.
    Leaves(String),
    /// What it said was acknowledged: 0 ready, 1 draining, 2 left.
    ReadAnswer(String, u32),
    /// It has ended, in order or not.
    Ended(String),
    /// Trouble begins or ends.
    Trouble(bool, String),
    /// What must hold some time after the last trouble, and whether it does.
    Recovered(String, bool),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Ordered(o) => {
                write!(f, "order tag-{} r{} on r{} {:?}", o.tag, o.number, o.built_on, o.what)
            }
            Event::Asked(order, at) => write!(f, "order #{order} sent to {at}"),
            Event::OperatorAnswer(order, at, status) => {
                write!(f, "order #{order} answered by {at}: {status:?}")
            }
            Event::Read(began, at, status, c) => {
                write!(f, "read at {at} from {began:.0}: {status} r{} {:?}", c.number, c.tags)
            }
            Event::Sent(at, status, fronts) => write!(f, "{at} sends a client to {fronts:?}: {status}"),
            Event::Acts(who, process, a) => write!(
                f,
                "follower {who} life {:x}: {} r{} {:?} empty {:?} servers {:?}",
                process & 0xffff,
                if a.acts { "acts" } else { "does not act" },
                a.content.number,
                a.content.tags,
                a.empty,
                a.servers
            ),
            Event::Begins(id) => write!(f, "server {id} begins"),
            Event::Leaves(id) => write!(f, "server {id} leaves"),
            Event::ReadAnswer(id, state) => write!(f, "server {id} acknowledged in state {state}"),
            Event::Ended(id) => write!(f, "server {id} has ended"),
            Event::Trouble(begins, what) => {
                write!(f, "{} {what}", if *begins { "TROUBLE" } else { "mended" })
            }
            Event::Recovered(what, holds) => write!(f, "at the end: {what}: {holds}"),
        }
    }
}

/// All that was seen.
#[derive(Debug)]
pub struct History {
    began: Instant,
    events: RefCell<Vec<(f64, Event)>>,
}

impl History {
    /// Begins now.
    pub fn new() -> Rc<History> {
        Rc::new(History { began: Instant::now(), events: RefCell::default() })
    }

    /// Now, ms.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    /// This was seen now.
    pub fn record(&self, event: Event) {
        self.events.borrow_mut().push((self.now(), event));
    }

    /// How many orders there are.
    pub fn operator_command(&self) -> usize {
        self.events.borrow().iter().filter(|(_, event)| matches!(event, Event::Ordered(_))).count()
    }

    /// All of it.
    pub fn take(&self) -> Vec<(f64, Event)> {
        self.events.take()
    }
}
