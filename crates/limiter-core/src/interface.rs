//! Events, actions and settings of a gateway's decision module. Data types only, without logic.
//!
//! All times and spans are milliseconds on the caller's monotonic clock ([`Millis`]).

use std::sync::Arc;

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// Identifies one request at a gateway; a client's repeat gets a new id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);
/// Identifies a server of the fleet; every gateway uses the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);
/// Identifies a customer, whose quota all gateways enforce together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);
/// Key of one counter in the counter service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CountName(pub u64);
/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// Index of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Repeat {
    /// Idempotent: it may run any number of times.
    #[default]
    Safe,
    /// Servers of one group drop duplicates by key within a window after the first send.
    Keyed {
        /// Servers that share the keys they have seen.
        group: Group,
        /// How long they remember a key.
        window: Millis,
    },
    /// It may run at most once.
    Unsafe,
}

/// Scope within which servers share the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All servers of the fleet.
    #[default]
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// A service class: latency target, deadline, value and retry rule of its requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Target response time; a response within it earns the full worth.
    pub target: Millis,
    /// How long a client waits in total, over all of its tries.
    pub deadline: Millis,
    /// Fraction of the worth that a response after the target still earns.
    pub late_worth: f64,
    /// Value of one served unit.
    pub worth: f64,
    /// Whether its requests may be executed more than once.
    pub repeat: Repeat,
}

/// A plan: limits that apply to each customer across all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Sustained rate in units per second; 0: no rate quota.
    pub rate: f64,
    /// Burst size in units.
    pub burst: f64,
    /// Maximum concurrent attempts; 0: unlimited.
    pub max_open: f64,
    /// Rate of the hard ceiling in units per second; 0: no ceiling.
    pub ceiling_rate: f64,
    /// Capacity in units of the ceiling's token bucket, full at first.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's bucket may be overdrawn.
    pub ceiling_slack: f64,
    /// Multiplier on the class's worth.
    pub price: f64,
    /// Fraction of the worth that a request beyond the quota earns.
    pub over_worth: f64,
    /// Fraction of the worth charged for an attempt sent beyond the quota.
    pub over_cost: f64,
    /// Limit, in bursts, of the overuse that is remembered when requests passed before the gateways learned of each
    /// other's use: nothing passes until it has been refilled. 0: overuse is forgotten.
    pub debt: f64,
}

/// Meaning of one value in a server's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Requests in progress.
    InFlight,
    /// Queued requests.
    Queue,
    /// CPU utilization, from 0 to 1.
    Util,
    /// Requests served per second.
    Qps,
    /// Recent service time, ms.
    Latency,
    /// Any other value; it is ignored.
    Other,
}

/// Operators' weights for the parts of the overall score.
#[derive(Clone, Copy, Debug, Default)]
pub struct Goal {
    /// Weight of the whole run.
    pub whole: f64,
    /// Weight of the worst time window.
    pub worst_window: f64,
    /// Weight of the worst class.
    pub worst_class: f64,
    /// Weight of the worst plan.
    pub worst_plan: f64,
}

/// Configuration of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: f64,
    /// Zone of this gateway.
    pub zone: u16,
    /// Request classes, indexed by [`ClassId`].
    pub classes: Vec<Class>,
    /// Customer plans, indexed by [`PlanId`].
    pub plans: Vec<Plan>,
    /// Largest number of units that one request may cost.
    pub max_units: f64,
    /// Maximum attempts per request; 0: unlimited.
    pub max_attempts: u32,
    /// Whether a request may have two concurrent attempts (hedging).
    pub parallel_tries: bool,
    /// Whether a server may begin to execute a request before it has received its whole body.
    pub starts_early: bool,
    /// Whether the time in which a streamed body is received is part of the request's time. Otherwise that starts once the
    /// body is complete.
    pub upload_time_counts: bool,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Whether refusals carry a retry-after time.
    pub retry_after: bool,
    /// Longest retry-after time that clients honour.
    pub max_retry_after: Millis,
    /// Whether a counter service is available.
    pub counter: bool,
    /// Timeout of a call to the counter service.
    pub counter_timeout: Millis,
    /// Whether server lists are sent only on request.
    pub list_on_request: bool,
    /// A server list that was not requested within this time counts as known.
    pub list_request_window: Millis,
    /// Fraction of its capacity that a server has when it starts.
    pub cold_start: f64,
    /// Time after its start at which a server reaches full capacity.
    pub warm_after: Millis,
    /// Multiple of its current capacity at which a cold server fails if sustained for `overload_window`.
    pub overload_factor: f64,
    /// How long a cold server withstands `overload_factor`.
    pub overload_window: Millis,
    /// Meanings of the values in a load report, in order.
    pub report: Vec<Load>,
    /// Operators' weights for the score.
    pub goal: Goal,
    /// Cost multiplier of a server, by zone number. A zone left out costs 1 if it is the gateway's own and slightly
    /// more otherwise.
    pub zone_cost: Vec<f64>,
    /// Capacity of the retry budget, in attempts; it is full at first. 0: 10.
    pub retry_burst: f64,
    /// Retries that each first attempt adds to the retry budget; 0: 0.1.
    pub retry_ratio: f64,
    /// Maximum requests per second from this gateway to one cold server; 0: the rate to a warm server, scaled by the
    /// capacity that the cold one is certain to have.
    pub max_cold_rate: f64,
    /// Hedging delay, as a multiple of the mean response time; 0: 8.
    pub hedge_after: f64,
    /// Mean response time, as a fraction of the target, above which the concurrency limit decreases; 0: 0.27. It has to
    /// exceed the fraction that the work itself takes, since shorter response times do not indicate a queue.
    pub slow_threshold: f64,
    /// Lower bound of the concurrency limit; 0: two attempts per server, over all gateways.
    pub min_limit: f64,
    /// Minimum number of servers in a gateway's subset; 0: 8.
    pub min_subset_size: f64,
    /// Whether the list is already this gateway's subset of a large service, so that each server is contacted rarely.
    /// The gateway then compares two servers drawn at random from the list, near ones with a higher probability.
    pub sparse: bool,
}

/// Configuration of [`Quotas`](crate::logic::Quotas).
#[derive(Clone, Debug, Default)]
pub struct QuotaSettings {
    /// Customer plans, indexed by [`PlanId`].
    pub plans: Vec<Plan>,
    /// Largest number of units that one request may cost.
    pub max_units: f64,
    /// Whether a counter service is available.
    pub counter: bool,
    /// Timeout of a call to the counter service.
    pub counter_timeout: Millis,
    /// Minimum time between two syncs of a customer; 0: 250 ms, one window bucket.
    pub sync_every: Millis,
    /// Time after which use that is too small for a sync is reported anyway; 0: 1000 ms.
    pub flush_after: Millis,
    /// Fraction of the burst that must be unreported before a sync; 0: a tenth. The unreported use of all gateways adds
    /// up.
    pub sync_share: f64,
}

impl From<&Settings> for QuotaSettings {
    fn from(set: &Settings) -> Self {
        let (plans, max_units) = (set.plans.clone(), set.max_units);
        let (counter, counter_timeout) = (set.counter, set.counter_timeout);
        QuotaSettings { plans, max_units, counter, counter_timeout, ..QuotaSettings::default() }
    }
}

/// Lifecycle state of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes open requests and accepts no new ones.
    Draining,
    /// Removed from the fleet.
    Gone,
}

/// Health of a server as all gateways together have observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Healthy, or without observations to the contrary.
    #[default]
    Well,
    /// Recovered recently: it gets a reduced share of the idempotent requests.
    Returning,
    /// Possibly unhealthy: it gets no requests while other servers are available.
    Doubtful,
    /// Unhealthy: it gets no requests while other servers are available, for longer than a doubtful one.
    Shunned,
    /// Unhealthy, and this gateway probes it with idempotent requests.
    Tried,
}

/// One entry of a server list.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// Id of the server.
    pub server: ServerId,
    /// Capacity relative to the other servers.
    pub weight: f64,
    /// Zone of the server.
    pub zone: u16,
    /// Cell of the server.
    pub cell: u16,
    /// Time of its last start; 0: long ago.
    pub started: Millis,
    /// Lifecycle state.
    pub state: ServerState,
    /// Observed health; `Well` if none was reported.
    pub standing: Standing,
}

/// How the entries of a server list are to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only changed entries.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as stored before this start.
    Cached,
    /// The request for the list failed; the previous list stays in use.
    Failed,
}

/// Rules that apply to a request until its end, even if the settings change meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Class of the request at its arrival.
    pub class: Class,
    /// Maximum attempts; 0: unlimited.
    pub max_attempts: u32,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Customer that the request is charged to.
    pub customer: CustomerId,
    /// Class of the request.
    pub class: ClassId,
    /// Plan of the customer.
    pub plan: PlanId,
    /// Units that the request costs.
    pub units: f64,
    /// How long the client waits for this try, from the arrival.
    pub time_left: Millis,
    /// Number of gateways that receive this customer's requests.
    pub spread: f64,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// Whether the body is still being received; the module's time limits then start at [`Event::Uploaded`].
    pub uploading: bool,
    /// Bit mask of the allowed zones, by zone number; 0: all. Zones numbered 64 and above match no mask.
    pub allowed_zones: u64,
    /// Rules in force at the arrival; without them, the current settings apply.
    pub rules: Option<Arc<Rules>>,
}

/// A request as quota admission sees it.
#[derive(Clone, Debug, Default)]
pub struct QuotaRequest {
    /// Customer that the request is charged to.
    pub customer: CustomerId,
    /// Plan of the customer.
    pub plan: PlanId,
    /// Units that the request costs.
    pub units: f64,
    /// Number of gateways that receive this customer's requests.
    pub spread: f64,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// Time of arrival. This and the following fields are set by `Quotas`.
    pub arrived: Millis,
    /// Whether it waits for a counter reply about its customer.
    pub awaits_reply: bool,
    /// Whether it has passed the quota check.
    pub admitted: bool,
}

impl From<&Request> for QuotaRequest {
    fn from(request: &Request) -> Self {
        let Request { customer, plan, units, spread, repeat, .. } = *request;
        QuotaRequest { customer, plan, units, spread, repeat, ..QuotaRequest::default() }
    }
}

/// Decision of quota admission on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Admitted within the quota.
    Within,
    /// Beyond the quota, but admitted because it earns more than it costs.
    Beyond,
    /// Not yet: too many attempts are open, the ceiling's bucket is empty, or a counter reply is outstanding.
    Wait,
    /// Beyond the quota.
    Refuse {
        /// Time until the quota may admit it.
        retry_after: Millis,
    },
}

/// How an attempt, a probe or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Succeeded.
    Ok,
    /// Error response; it may have been executed.
    Error,
    /// Rejected by an overloaded receiver; it was not executed.
    Full,
    /// No response in time; it may have been executed, and a counter may have been increased.
    TimedOut,
    /// Connection failed; it was not executed.
    ConnectFailed,
    /// Connection lost; it may have been executed.
    Reset,
    /// Cancelled by the gateway; it may have been executed.
    Cancelled,
    /// Never sent; it was not executed.
    NotSent,
}

/// Input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the server list.
    Servers {
        /// How to apply the entries.
        update: ListUpdate,
        /// Entries of the update.
        entries: Vec<ServerEntry>,
    },
    /// New settings for requests that arrive from now on. Classes and plans keep their indexes; a removed class has
    /// deadline 0, and its index may be reused later.
    Settings(Box<Settings>),
    /// Fraction of the gateway's own limits that this process may use; other processes use the rest.
    ProcessShare(f64),
    /// A request has arrived.
    Request(Request),
    /// An attempt has ended.
    Ended {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
        /// Server of the attempt.
        server: ServerId,
        /// Result.
        outcome: Outcome,
        /// Whether the request is finished, by this attempt or earlier.
        complete: bool,
        /// Time since the attempt was sent.
        took: Millis,
        /// Units that it actually cost, where known afterwards; 0: unknown.
        settled: f64,
        /// The server's load report.
        load: Vec<f64>,
    },
    /// Part of a streamed body was forwarded and dropped from the buffer, so the request cannot be sent again.
    NotReplayable(RequestId),
    /// The last byte of a streamed body was forwarded with this attempt; from now on the request may be executed.
    Uploaded {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// A streamed response has started on this attempt.
    Streaming {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// The client has disconnected.
    Gone(RequestId),
    /// A timer has expired; carries its name.
    Timer(u64),
    /// A probe has ended.
    Probed {
        /// Id of the server.
        server: ServerId,
        /// Result.
        outcome: Outcome,
        /// Time since it was sent.
        took: Millis,
        /// The server's load report.
        load: Vec<f64>,
    },
    /// A call to the counter has ended.
    Counted {
        /// Key of the counter.
        name: CountName,
        /// How the call ended.
        outcome: Outcome,
        /// Time since the call.
        took: Millis,
        /// Counter value after the call; meaningful only with [`Outcome::Ok`].
        total: f64,
    },
}

/// Output of the decision module, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; attempts of a request are numbered from 0 in this order.
    Send {
        /// Id of the request.
        id: RequestId,
        /// Server to send it to.
        server: ServerId,
        /// Timeout; 0: until the client gives up.
        timeout: Millis,
    },
    /// Start the timeout of an attempt whose body has been sent completely.
    Await {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
        /// Timeout from now; 0: until the client gives up.
        timeout: Millis,
    },
    /// Final response: refused; the client may safely retry.
    Refuse {
        /// Id of the request.
        id: RequestId,
        /// Time after which the client may retry; 0: not stated.
        retry_after: Millis,
    },
    /// Final response: failed; the request may have been executed.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u8,
    },
    /// Send a probe to a server.
    Probe(ServerId),
    /// Add to a counter of the counter service and read its value.
    Count {
        /// Key of the counter.
        name: CountName,
        /// Amount to add; 0 only reads.
        add: f64,
        /// Lifetime of a newly created counter.
        ttl: Millis,
    },
    /// Request a timer event.
    Timer {
        /// Delay from now.
        after: Millis,
        /// Value returned with the event.
        name: u64,
    },
    /// Subscribe to changes of the server list.
    Watch,
}
