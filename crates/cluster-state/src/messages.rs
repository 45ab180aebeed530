//! Messages between the system's own processes (the store's own are in `oatbank-config-store`). Field tags and kinds of calls
//! are fixed: a roll runs two versions side by side (`tests/compatibility.rs`).

use prost::Message;

/// Kinds of calls, as they stand in a frame.
pub mod call {
    /// [`super::FollowRequest`], answered with [`super::StateUpdate`], at once or when there is one.
    pub const FOLLOW: u8 = 40;
    /// [`super::QuotaAdds`], answered with [`super::QuotaTotals`].
    pub const COUNT: u8 = 41;
    /// [`super::AdminQuery`], answered with [`super::Table`].
    pub const QUERY: u8 = 42;
    /// [`super::OutcomeRequest`], answered with [`super::OutcomeResponse`].
    pub const OUTCOME: u8 = 43;
}

/// A server, by its last heartbeat.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServerRow {
    /// Its id: one incarnation of a server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it listens.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Version of its software.
    #[prost(string, tag = "5")]
    pub version: String,
    /// Requests that it processes at a time.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// One of [`crate::state::server_state`].
    #[prost(uint32, tag = "7")]
    pub state: u32,
    /// How much longer it warms up, ms, as of the sending of this row.
    #[prost(uint32, tag = "8")]
    pub warmup_ms: u32,
    /// The number of its last heartbeat.
    #[prost(uint64, tag = "9")]
    pub call_count: u64,
    /// No further heartbeat came in time.
    #[prost(bool, tag = "10")]
    pub timed_out: bool,
    /// How long ago it was heard, ms, as of the sending of this row.
    #[prost(uint32, tag = "11")]
    pub age_ms: u32,
}

/// A limiter, by the last heartbeat of its session.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRow {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Random; it differs between its starts.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Rises with each heartbeat of this incarnation.
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
    /// Where clients reach it.
    #[prost(string, tag = "4")]
    pub front: String,
    /// Where other processes of the system reach it.
    #[prost(string, tag = "5")]
    pub inner: String,
    /// Its zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Its region.
    #[prost(string, tag = "7")]
    pub region: String,
    /// One of [`crate::state::member_state`].
    #[prost(uint32, tag = "8")]
    pub state: u32,
    /// Its session has expired since that heartbeat.
    #[prost(bool, tag = "9")]
    pub expired: bool,
    /// How long ago it was heard, ms, as of the sending of this row.
    #[prost(uint32, tag = "10")]
    pub age_ms: u32,
    /// The edition that it has applied.
    #[prost(uint64, tag = "11")]
    pub edition: u64,
}

/// What one limiter has observed of one server. Weights are hundredths of natural logarithms, as of `ago`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ObservationRow {
    /// The server's id.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The limiter's name.
    #[prost(string, tag = "2")]
    pub observer: String,
    /// The limiter's incarnation.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Rises with each update of this incarnation on this server.
    #[prost(uint32, tag = "4")]
    pub seq: u32,
    /// Evidence that it fails: with quick and with slow decay.
    #[prost(sint32, repeated, tag = "5")]
    pub failing: Vec<i32>,
    /// Evidence that it is slow: with quick and with slow decay.
    #[prost(sint32, repeated, tag = "6")]
    pub slow: Vec<i32>,
    /// Attempts that got no connection, in hundredths.
    #[prost(uint32, tag = "7")]
    pub unreached: u32,
    /// Successes since it stopped being healthy.
    #[prost(uint32, tag = "8")]
    pub goods: u32,
    /// How long ago that was, ms, as of the sending of this row.
    #[prost(uint32, tag = "9")]
    pub ago: u32,
}

/// Evidence of this weight makes a server suspect by itself.
const STRONG_EVIDENCE: i32 = 700;

impl ObservationRow {
    /// Whether it makes a server suspect by itself: worth telling at once.
    pub fn is_strong(&self) -> bool {
        self.failing.iter().chain(&self.slow).any(|weight| *weight >= STRONG_EVIDENCE)
    }
}

/// A version that was accepted, and what was sent under its number.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AcceptedVersion {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The digest of the proposal.
    #[prost(uint64, tag = "2")]
    pub digest: u64,
}

/// What the core has agreed on: the value of the register.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AgreedState {
    /// The configuration as it is read back; empty before the first.
    #[prost(string, tag = "1")]
    pub config: String,
    /// Accepted versions, the newest last, as earlier versions of the program wrote them; only read.
    #[prost(message, repeated, tag = "2")]
    pub accepted: Vec<AcceptedVersion>,
    /// Zones that are evacuated.
    #[prost(string, repeated, tag = "3")]
    pub evacuated_zones: Vec<String>,
    /// Accepted versions, the newest last: each as its difference from the one before it, the first one from 0.
    #[prost(uint64, repeated, tag = "4")]
    pub steps: Vec<u64>,
    /// The digest of the proposal of each.
    #[prost(fixed64, repeated, tag = "5")]
    pub digests: Vec<u64>,
}

/// The longest configuration, in bytes, as it is read back. A process that holds one sends it in one frame, together with all
/// servers and limiters, to as many followers as ask at a time.
pub const MAX_CONFIG_BYTES: usize = 2 << 20;

/// The core machines that vote.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CoreMembership {
    /// Rises with each change of them; 0 if none are known.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Their IPv4 addresses.
    #[prost(fixed32, repeated, tag = "2")]
    pub ips: Vec<u32>,
}

/// Asks for what is new since a position: a long poll.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FollowRequest {
    /// The follower's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The source's epoch that `seen` counts in.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// All changes up to this sequence number were merged.
    #[prost(uint64, tag = "3")]
    pub seen: u64,
    /// The edition that the follower has applied.
    #[prost(uint64, tag = "4")]
    pub edition: u64,
    /// It wants every change of servers and members, not only what changes their use.
    #[prost(bool, tag = "5")]
    pub every_change: bool,
    /// The response may be held for this long, ms.
    #[prost(uint32, tag = "6")]
    pub hold_ms: u32,
    /// The follower itself, if this is a session's heartbeat.
    #[prost(message, optional, tag = "7")]
    pub member: Option<MemberRow>,
    /// [`CoreMembership::version`] as known to the follower.
    #[prost(uint64, tag = "11")]
    pub core: u64,
    /// What the follower has observed of servers, if that is to be told at once.
    #[prost(message, repeated, tag = "8")]
    pub observations: Vec<ObservationRow>,
    /// The digest of the servers that the follower knows; it counts at equal editions.
    #[prost(fixed64, tag = "10")]
    pub digest: u64,
    /// Leave out what limiters have observed of servers: the follower hears it elsewhere.
    #[prost(bool, tag = "12")]
    pub without_observations: bool,
    /// The follower's IPv4 address, if it is a core machine; 0 otherwise.
    #[prost(uint32, tag = "13")]
    pub core_ip: u32,
    /// A command waits at the follower until limiters have applied its edition: tell soon that more of them have.
    #[prost(bool, tag = "14")]
    pub wants_prompt_acks: bool,
}

/// What is new.
#[derive(Clone, PartialEq, Message)]
pub struct StateUpdate {
    /// The source's epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// With this, the follower has all changes of the epoch up to this sequence number.
    #[prost(uint64, tag = "2")]
    pub seen: u64,
    /// This is all there is, not only what has changed.
    #[prost(bool, tag = "3")]
    pub is_snapshot: bool,
    /// The source has listened for long enough to know all servers and members.
    #[prost(bool, tag = "4")]
    pub source_is_warm: bool,
    /// Servers.
    #[prost(message, repeated, tag = "5")]
    pub servers: Vec<ServerRow>,
    /// Limiters.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<MemberRow>,
    /// The newest edition known to the source; 0 before the first.
    #[prost(uint64, tag = "7")]
    pub edition: u64,
    /// The agreed state of that edition, if the follower lacks it.
    #[prost(message, optional, tag = "8")]
    pub agreed: Option<AgreedState>,
    /// How long ago, ms, a majority was asked and knew of nothing newer; none if never.
    #[prost(uint32, optional, tag = "9")]
    pub confirmed_ago: Option<u32>,
    /// The request was held for this long, ms.
    #[prost(uint32, tag = "10")]
    pub held_ms: u32,
    /// How many limiters there have been of late, including all that may still be active.
    #[prost(uint32, tag = "11")]
    pub limiters: u32,
    /// The cluster's time as known to the source, ms: it only runs forward, and is nobody's time of day.
    #[prost(double, tag = "12")]
    pub time: f64,
    /// The core machines, if the follower knows an older version of them.
    #[prost(message, optional, tag = "16")]
    pub core: Option<CoreMembership>,
    /// What limiters have observed of servers.
    #[prost(message, repeated, tag = "13")]
    pub observations: Vec<ObservationRow>,
    /// The digest of the servers that the source knows; it counts at equal editions.
    #[prost(fixed64, tag = "15")]
    pub digest: u64,
}

/// One addition to a quota counter.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaAdd {
    /// The counter's name.
    #[prost(fixed64, tag = "1")]
    pub name: u64,
    /// The amount; 0 only reads.
    #[prost(double, tag = "2")]
    pub add: f64,
    /// A new counter is forgotten after this, ms.
    #[prost(double, tag = "3")]
    pub ttl: f64,
    /// The tenant of whose admissions this is a report too; 0 if it is none.
    #[prost(fixed64, tag = "4")]
    pub tenant: u64,
    /// The backlog of that tenant's quota that the sender knows of, ms; 0 if it knows of none.
    #[prost(uint32, tag = "5")]
    pub backlog: u32,
    /// So many of its requests were admitted since the last report.
    #[prost(uint32, tag = "6")]
    pub admitted: u32,
    /// So many of its requests wait for the owner's grant.
    #[prost(uint32, tag = "7")]
    pub wanted: u32,
}

/// Additions to counters that the called process owns.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaAdds {
    /// The additions.
    #[prost(message, repeated, tag = "1")]
    pub counts: Vec<QuotaAdd>,
}

/// The totals after [`QuotaAdds`], in its order.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaTotals {
    /// The totals.
    #[prost(double, repeated, tag = "1")]
    pub totals: Vec<f64>,
    /// For each addition that names a tenant, in their order, the backlog of its quota, ms, and 1; 0 if the tenant is not known.
    #[prost(uint32, repeated, tag = "2")]
    pub backlogs: Vec<u32>,
    /// For each of these, how many requests are granted of those that wait.
    #[prost(uint32, repeated, tag = "3")]
    pub granted: Vec<u32>,
}

/// A command of `oatbankctl`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AdminQuery {
    /// The command and its arguments.
    #[prost(string, repeated, tag = "1")]
    pub words: Vec<String>,
    /// Answer by what this process knows alone: ask no other.
    #[prost(bool, tag = "2")]
    pub local_only: bool,
}

/// The answer to a command.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Table {
    /// What it shows.
    #[prost(string, tag = "1")]
    pub title: String,
    /// Names of the columns.
    #[prost(string, repeated, tag = "2")]
    pub columns: Vec<String>,
    /// The rows.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<Row>,
    /// What is wrong with the command, and what is allowed; empty if nothing is.
    #[prost(string, tag = "4")]
    pub error: String,
}

/// A row of a table.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Row {
    /// A cell for each column.
    #[prost(string, repeated, tag = "1")]
    pub cells: Vec<String>,
}

/// Asks a proxy for the outcome of an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeRequest {
    /// The attempt's id.
    #[prost(string, tag = "1")]
    pub try_id: String,
}

/// What a proxy knows of an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeResponse {
    /// The proxy.
    #[prost(string, tag = "1")]
    pub proxy: String,
    /// The outcome by its number; 0: it knows nothing of the attempt.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
    /// Why.
    #[prost(string, tag = "3")]
    pub why: String,
    /// The server's id.
    #[prost(string, tag = "4")]
    pub server: String,
    /// For how long that has been known, ms.
    #[prost(uint32, tag = "5")]
    pub age: u32,
}
