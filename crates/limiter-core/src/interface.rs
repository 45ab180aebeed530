//! What goes into and comes out of a gateway's decision module. Nothing here decides anything.
//!
//! All times and spans are milliseconds on the caller's monotonic clock ([`Millis`]).

use std::sync::Arc;

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// A request as the gateway holds it; a client's repeat has a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// A server of the fleet; the same number at every gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);
/// A customer, whose quota all gateways keep together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);
/// The name of a number kept by the counter service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountName(pub u64);
/// Position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// Position of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Repeat {
    /// Any number of times.
    #[default]
    Safe,
    /// Repeats are dropped by servers of one group within a window after the first send.
    Keyed {
        /// The servers that drop each other's repeats.
        group: Group,
        /// How long they remember it.
        window: Millis,
    },
    /// Once at most.
    Unsafe,
}

/// Servers that share which keys they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub target: Millis,
    /// How long a client waits over all of its tries.
    pub deadline: Millis,
    /// Share of the worth for an answer after the aim.
    pub late_worth: f64,
    /// Worth of one unit.
    pub worth: f64,
    /// Whether it may run again.
    pub repeat: Repeat,
}

/// A plan: quotas that hold for each customer over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second; 0: no such quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts out at once; 0: no such quota.
    pub max_open: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Units the ceiling's store holds, full at first.
    pub ceiling_burst: f64,
    /// How far that store may fall below nothing.
    pub ceiling_slack: f64,
    /// Multiplier on the class's worth.
    pub price: f64,
    /// Share of the worth earned beyond the quota.
    pub over_worth: f64,
    /// Share of the worth charged for a try sent beyond the quota.
    pub over_cost: f64,
    /// What has passed beyond the burst before gateways heard of each other is owed, up to so many bursts: until it
    /// is paid back nothing passes. 0: it is forgotten.
    pub debt: f64,
}

/// A value of the servers' load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Requests being handled.
    InFlight,
    /// Requests waiting.
    Queue,
    /// Share of the cores busy.
    Util,
    /// Requests served a second.
    Qps,
    /// Recent service time.
    Latency,
    /// Anything else.
    Other,
}

/// Parts of the result that the operators weigh.
#[derive(Clone, Copy, Debug, Default)]
pub struct Goal {
    /// The whole run.
    pub whole: f64,
    /// The worst stretch.
    pub worst_window: f64,
    /// The worst class.
    pub worst_class: f64,
    /// The worst plan.
    pub worst_plan: f64,
}

/// What a gateway is told once, at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: f64,
    /// The zone this gateway stands in.
    pub zone: u16,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// The most units one request counts for.
    pub max_units: f64,
    /// Attempts a request may have; 0: no limit.
    pub max_attempts: u32,
    /// A request may have two attempts out at once.
    pub parallel_tries: bool,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// Longest such wait that clients follow.
    pub max_retry_after: Millis,
    /// There is a counter service.
    pub counter: bool,
    /// A call to it ends as timed out after this span.
    pub counter_timeout: Millis,
    /// Server lists come only when asked for.
    pub list_on_request: bool,
    /// A list not asked for in this span is held to be known.
    pub list_max_age: Millis,
    /// A server starts at this share of its capacity.
    pub cold_start: f64,
    /// And is warm after this span.
    pub warm_after: Millis,
    /// A cold server sent more than this multiple of its capacity...
    pub overload_factor: f64,
    /// ...over this span falls over.
    pub overload_window: Millis,
    /// The values of a load report, in order.
    pub report: Vec<Load>,
    /// The operators' weights.
    pub goal: Goal,
    /// What a server costs by its zone's number, as a multiple; for one left out, 1 near and a little more else.
    pub zone_cost: Vec<f64>,
    /// The most further attempts that can be saved up, which are there at first too; 0: 10.
    pub retry_burst: f64,
    /// Further attempts earned by each first one; 0: 0.1.
    pub retry_ratio: f64,
    /// The most requests a second that this gateway sends to one cold server; 0: what one that is warm gets, by
    /// the share of its capacity that it surely has.
    pub max_cold_rate: f64,
    /// Mean answer times after which a second copy goes out; 0: 8.
    pub hedge_after: f64,
    /// Mean answer time, as a share of the aim, at which the concurrency limit starts to fall; 0: 0.27. Where the work
    /// alone takes such a share, time says nothing of a queue below it.
    pub slow_threshold: f64,
    /// The concurrency limit never falls below this; 0: two attempts a server, over all gateways.
    pub min_limit: f64,
    /// A gateway keeps to no fewer servers than this; 0: 8.
    pub min_subset_size: f64,
    /// The list is this gateway's part of a large service already, and it meets each server of it rarely: of all of them two
    /// are drawn, near ones more often, and compared.
    pub sparse: bool,
}

/// What a keeper of quotas is told at its start.
#[derive(Clone, Debug, Default)]
pub struct QuotaSettings {
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// The most units one request counts for.
    pub max_units: f64,
    /// There is a counter service.
    pub counter: bool,
    /// A call to it ends as timed out after this span.
    pub counter_timeout: Millis,
    /// Shortest time between two syncs of a customer; 0: 250 ms, a bucket.
    pub sync_every: Millis,
    /// Use that is too small for a sync is told after this; 0: 1000 ms.
    pub flush_after: Millis,
    /// Share of the burst that must be new for a sync; 0: a tenth. What each gateway has not told adds up over all.
    pub sync_share: f64,
}

impl From<&Settings> for QuotaSettings {
    fn from(set: &Settings) -> Self {
        let (plans, max_units) = (set.plans.clone(), set.max_units);
        let (counter, counter_timeout) = (set.counter, set.counter_timeout);
        QuotaSettings { plans, max_units, counter, counter_timeout, ..QuotaSettings::default() }
    }
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

/// How a server fares, as all gateways together have seen it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Well, or nothing is known against it.
    #[default]
    Well,
    /// It was ill and serves again: requests that may run again reach it now and then.
    Returning,
    /// Perhaps ill: nothing goes there while others can take it.
    Suspect,
    /// Surely ill: the same, and for longer.
    Ejected,
    /// Ill, and this gateway is the one that tries it, with requests that may run again.
    Probing,
}

/// One line of a server list.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// When it last started; 0: long ago.
    pub started: Millis,
    /// Its state.
    pub state: ServerState,
    /// How it fares; what is not told is well.
    pub standing: Standing,
}

/// How a server list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only what changed.
    Delta,
    /// The entire list.
    Full,
    /// The entire list as last seen before this start.
    Cached,
    /// A call for it failed; the old one holds.
    Failed,
}

/// What holds for a request to its end, whatever the settings become meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Its class as it was when the request came.
    pub class: Class,
    /// Attempts it may have; 0: no limit.
    pub max_attempts: u32,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// Its class.
    pub class: ClassId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Units it draws from the quota.
    pub units: f64,
    /// How long the client waits for this try.
    pub time_left: Millis,
    /// Number of gateways the customer comes in through.
    pub spread: f64,
    /// Marked as a client's repeat.
    pub repeat: bool,
    /// Its body is still coming. Its time counts from [`Event::Uploaded`].
    pub uploading: bool,
    /// Zones that its servers may stand in, a bit for each by its number; 0: all. A zone past the 64th is in none.
    pub within: u64,
    /// What it was read by; without, the settings of the moment hold.
    pub rules: Option<Arc<Rules>>,
}

/// What a request draws from its customer's quota.
#[derive(Clone, Debug, Default)]
pub struct QuotaRequest {
    /// Its customer.
    pub customer: CustomerId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Units it draws.
    pub units: f64,
    /// Number of gateways the customer comes in through.
    pub spread: f64,
    /// Marked as a client's repeat.
    pub repeat: bool,
    /// When it came; set by the keeper, as is what follows.
    pub arrived: Millis,
    /// It waits for its customer's count.
    pub asked: bool,
    /// It has passed the quota.
    pub passed: bool,
}

impl From<&Request> for QuotaRequest {
    fn from(request: &Request) -> Self {
        let Request { customer, plan, units, spread, repeat, .. } = *request;
        QuotaRequest { customer, plan, units, spread, repeat, ..QuotaRequest::default() }
    }
}

/// What a quota says of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may go on.
    Within,
    /// It is beyond the quota and may go on all the same, as it earns more than it costs.
    Beyond,
    /// Not now: the customer has too much out, its ceiling has no room yet, or its count is on its way.
    Wait,
    /// It is beyond the quota.
    Refuse {
        /// When the quota may have room.
        retry_after: Millis,
    },
}

/// How an attempt, a probe or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served or answered.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen; did not run.
    Full,
    /// No answer in time; may have run, may have been added.
    TimedOut,
    /// No connection; did not run.
    ConnectFailed,
    /// Connection lost; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What the gateway learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    Servers {
        /// How to read the entries.
        update: ListUpdate,
        /// The lines.
        entries: Vec<ServerEntry>,
    },
    /// From now on these settings hold for what comes in. Classes and plans stand where they stood before; a class
    /// that was dropped has no deadline, and its place may be another's later.
    Settings(Box<Settings>),
    /// This gateway uses this part of what is a gateway's own: another process is the rest of it.
    ProcessShare(f64),
    /// A request has come in.
    Request(Request),
    /// An attempt has ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u8,
        /// Its server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The request is over, by this or before.
        complete: bool,
        /// Time since the attempt was sent.
        took: Millis,
        /// Units it really counted for, where settled afterwards; 0: not told.
        settled: f64,
        /// The server's load report.
        load: Vec<f64>,
    },
    /// So much of a body that was coming has gone on with an attempt that the request cannot be sent again.
    NotReplayable(RequestId),
    /// The last byte of a body that was coming goes out with this attempt: now the request may run.
    Uploaded {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// A streamed answer has begun on this attempt.
    Streaming {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// The client has left.
    Gone(RequestId),
    /// A timer has come due.
    Timer(u64),
    /// A probe has ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Millis,
        /// The server's load report.
        load: Vec<f64>,
    },
    /// A call to the counter has ended.
    Counted {
        /// The number's name.
        name: CountName,
        /// How the call ended.
        outcome: Outcome,
        /// Time since the call.
        took: Millis,
        /// The total after the call, if it was answered.
        total: f64,
    },
}

/// What the gateway wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; attempts of a request are numbered from 0 in this order.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out; 0: until the client gives up.
        timeout: Millis,
    },
    /// Wait for an attempt whose body has gone out.
    Await {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
        /// Time-out from now; 0: until the client gives up.
        timeout: Millis,
    },
    /// Final answer: refused, harmless to try again.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long to stay away; 0: not told.
        retry_after: Millis,
    },
    /// Final answer: failed, no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u8,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Add to a number of the counter service and learn its total.
    Count {
        /// The number's name.
        name: CountName,
        /// The amount; 0 only reads.
        add: f64,
        /// A new name is forgotten after this span.
        ttl: Millis,
    },
    /// Ask for a timer event.
    Timer {
        /// From now.
        after: Millis,
        /// Returned with the event.
        name: u64,
    },
    /// Ask for changes of the server list from now on.
    Watch,
}
