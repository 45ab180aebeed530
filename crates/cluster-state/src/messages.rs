//! Messages between the system's own processes, except those of the store, which are in `oatbank-config-store`. Field tags
//! and call kinds are fixed, because two versions run side by side during a rolling update (`tests/compatibility.rs`).

use prost::Message;

/// Call kinds, as encoded in a frame.
pub mod call {
    /// [`super::FollowRequest`], answered with [`super::StateUpdate`], at once or as a long poll.
    pub const FOLLOW: u8 = 40;
    /// [`super::QuotaAdds`], answered with [`super::QuotaTotals`].
    pub const COUNT: u8 = 41;
    /// [`super::AdminQuery`], answered with [`super::Table`].
    pub const QUERY: u8 = 42;
    /// [`super::OutcomeRequest`], answered with [`super::OutcomeResponse`].
    pub const OUTCOME: u8 = 43;
}

/// A server as of its last heartbeat.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServerRow {
    /// Id of this incarnation of the server.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The service that it belongs to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The address that it listens on.
    #[prost(string, tag = "3")]
    pub address: String,
    /// The zone that it runs in.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Version of the server's software.
    #[prost(string, tag = "5")]
    pub version: String,
    /// Number of requests that it processes concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// One of [`crate::state::server_state`].
    #[prost(uint32, tag = "7")]
    pub state: u32,
    /// Remaining warm-up time when this row was sent, ms.
    #[prost(uint32, tag = "8")]
    pub warmup_ms: u32,
    /// Number of its last heartbeat.
    #[prost(uint64, tag = "9")]
    pub call_count: u64,
    /// Whether its next heartbeat did not arrive in time.
    #[prost(bool, tag = "10")]
    pub timed_out: bool,
    /// Time since its last heartbeat when this row was sent, ms.
    #[prost(uint32, tag = "11")]
    pub age_ms: u32,
}

/// A limiter as of the last heartbeat of its session.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRow {
    /// Name of the limiter.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Random number drawn at each start of the limiter.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Heartbeat number, increasing within an incarnation.
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
    /// Address for clients.
    #[prost(string, tag = "4")]
    pub front: String,
    /// Address for other processes of the system.
    #[prost(string, tag = "5")]
    pub inner: String,
    /// The zone that it runs in.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// The region that it runs in.
    #[prost(string, tag = "7")]
    pub region: String,
    /// One of [`crate::state::member_state`].
    #[prost(uint32, tag = "8")]
    pub state: u32,
    /// Whether its session has expired since that heartbeat.
    #[prost(bool, tag = "9")]
    pub expired: bool,
    /// Time since its last heartbeat when this row was sent, ms.
    #[prost(uint32, tag = "10")]
    pub age_ms: u32,
    /// The edition that the limiter has applied.
    #[prost(uint64, tag = "11")]
    pub edition: u64,
}

/// One limiter's observation of one server. Weights of evidence are hundredths of natural logarithms, as of `ago`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ObservationRow {
    /// Id of the observed server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Name of the observing limiter.
    #[prost(string, tag = "2")]
    pub observer: String,
    /// Incarnation of the observing limiter.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Update number, increasing within an incarnation of the limiter.
    #[prost(uint32, tag = "4")]
    pub seq: u32,
    /// Weights of the evidence that the server fails, with fast and with slow decay.
    #[prost(sint32, repeated, tag = "5")]
    pub failing: Vec<i32>,
    /// Weights of the evidence that the server is slow, with fast and with slow decay.
    #[prost(sint32, repeated, tag = "6")]
    pub slow: Vec<i32>,
    /// Number of attempts that got no connection, in hundredths.
    #[prost(uint32, tag = "7")]
    pub unreached: u32,
    /// Number of successes since the server stopped being healthy.
    #[prost(uint32, tag = "8")]
    pub goods: u32,
    /// Age of the observation when this row was sent, ms.
    #[prost(uint32, tag = "9")]
    pub ago: u32,
}

/// Weight from which a single limiter's evidence makes a server suspect, in hundredths of a natural logarithm.
const STRONG_EVIDENCE: i32 = 700;

impl ObservationRow {
    /// Returns whether the evidence alone makes the server suspect, and should be sent at once.
    pub fn is_strong(&self) -> bool {
        self.failing.iter().chain(&self.slow).any(|weight| *weight >= STRONG_EVIDENCE)
    }
}

/// An accepted version, with the digest of its proposal.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AcceptedVersion {
    /// Number of the version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the proposal.
    #[prost(uint64, tag = "2")]
    pub digest: u64,
}

/// The state that the core has agreed on, stored as the value of the register.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AgreedState {
    /// Text of the configuration; empty before the first one.
    #[prost(string, tag = "1")]
    pub config: String,
    /// Accepted versions, the newest last, in the format of earlier releases. Read but no longer written.
    #[prost(message, repeated, tag = "2")]
    pub accepted: Vec<AcceptedVersion>,
    /// Zones under evacuation.
    #[prost(string, repeated, tag = "3")]
    pub evacuated_zones: Vec<String>,
    /// Accepted versions, the newest last, delta-encoded starting from 0.
    #[prost(uint64, repeated, tag = "4")]
    pub steps: Vec<u64>,
    /// Digests of the proposals of the versions in `steps`.
    #[prost(fixed64, repeated, tag = "5")]
    pub digests: Vec<u64>,
}

/// Maximum length of the configuration's text, in bytes. A process sends it in one frame, together with all servers and
/// limiters, to any number of followers at once.
pub const MAX_CONFIG_BYTES: usize = 2 << 20;

/// The voting core machines.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CoreMembership {
    /// Increases with each change of the voters; 0 if none are known.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// IPv4 addresses of the voters.
    #[prost(fixed32, repeated, tag = "2")]
    pub ips: Vec<u32>,
}

/// Long poll for the changes since a position.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FollowRequest {
    /// The follower's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The source's epoch to which `seen` belongs.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// All changes up to this sequence number were merged.
    #[prost(uint64, tag = "3")]
    pub seen: u64,
    /// The edition that the follower has applied.
    #[prost(uint64, tag = "4")]
    pub edition: u64,
    /// Whether to send every change of servers and limiters, not only those that affect their use.
    #[prost(bool, tag = "5")]
    pub every_change: bool,
    /// How long the source may hold the response, ms.
    #[prost(uint32, tag = "6")]
    pub hold_ms: u32,
    /// The follower's own row, if this is a session's heartbeat.
    #[prost(message, optional, tag = "7")]
    pub member: Option<MemberRow>,
    /// [`CoreMembership::version`] as known to the follower.
    #[prost(uint64, tag = "11")]
    pub core: u64,
    /// The follower's observations of servers that should be sent at once.
    #[prost(message, repeated, tag = "8")]
    pub observations: Vec<ObservationRow>,
    /// Digest of the servers known to the follower; comparable at equal editions.
    #[prost(fixed64, tag = "10")]
    pub digest: u64,
    /// Whether to omit observations, because the follower receives them from another source.
    #[prost(bool, tag = "12")]
    pub without_observations: bool,
    /// The follower's IPv4 address, if it is a core machine; 0 otherwise.
    #[prost(uint32, tag = "13")]
    pub core_ip: u32,
    /// Whether to send acknowledgements of editions promptly, because a command waits for them at the follower.
    #[prost(bool, tag = "14")]
    pub wants_prompt_acks: bool,
}

/// The changes since the position in a [`FollowRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct StateUpdate {
    /// The source's epoch.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// After merging this update, the follower has all changes of the epoch up to this sequence number.
    #[prost(uint64, tag = "2")]
    pub seen: u64,
    /// Whether the update holds all rows, not only the changed ones.
    #[prost(bool, tag = "3")]
    pub is_snapshot: bool,
    /// Whether the source has run for long enough to have heard from all servers and limiters.
    #[prost(bool, tag = "4")]
    pub source_is_warm: bool,
    /// Rows of servers.
    #[prost(message, repeated, tag = "5")]
    pub servers: Vec<ServerRow>,
    /// Rows of limiters.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<MemberRow>,
    /// The newest edition known to the source; 0 before the first.
    #[prost(uint64, tag = "7")]
    pub edition: u64,
    /// The agreed state of `edition`, if the follower lacks it.
    #[prost(message, optional, tag = "8")]
    pub agreed: Option<AgreedState>,
    /// Time since a majority last confirmed that nothing newer is known, ms; absent if never.
    #[prost(uint32, optional, tag = "9")]
    pub confirmed_ago: Option<u32>,
    /// How long the source held the request, ms.
    #[prost(uint32, tag = "10")]
    pub held_ms: u32,
    /// Number of limiters that may be active, including those whose session ended recently.
    #[prost(uint32, tag = "11")]
    pub limiters: u32,
    /// The cluster's time as known to the source, ms. It is monotonic and unrelated to wall clocks.
    #[prost(double, tag = "12")]
    pub time: f64,
    /// The core machines, if the follower knows an older version of them.
    #[prost(message, optional, tag = "16")]
    pub core: Option<CoreMembership>,
    /// Limiters' observations of servers.
    #[prost(message, repeated, tag = "13")]
    pub observations: Vec<ObservationRow>,
    /// Digest of the servers known to the source; comparable at equal editions.
    #[prost(fixed64, tag = "15")]
    pub digest: u64,
}

/// One addition to a quota counter.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaAdd {
    /// Name of the counter, a 64-bit number.
    #[prost(fixed64, tag = "1")]
    pub name: u64,
    /// Amount to add; 0 only reads the total.
    #[prost(double, tag = "2")]
    pub add: f64,
    /// Lifetime of a counter that this addition creates, ms.
    #[prost(double, tag = "3")]
    pub ttl: f64,
    /// Tenant whose admissions are reported with this addition; 0 if none are.
    #[prost(fixed64, tag = "4")]
    pub tenant: u64,
    /// Backlog of the tenant's quota as known to the sender, ms; 0 if it knows of none.
    #[prost(uint32, tag = "5")]
    pub backlog: u32,
    /// Number of the tenant's requests admitted since the last report.
    #[prost(uint32, tag = "6")]
    pub admitted: u32,
    /// Number of the tenant's requests that wait for a grant of the counter's owner.
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

/// The response to [`QuotaAdds`].
#[derive(Clone, PartialEq, Message)]
pub struct QuotaTotals {
    /// Totals after the additions, in their order.
    #[prost(double, repeated, tag = "1")]
    pub totals: Vec<f64>,
    /// For each addition that names a tenant, in order: the backlog of its quota in ms plus 1, or 0 if the tenant is unknown.
    #[prost(uint32, repeated, tag = "2")]
    pub backlogs: Vec<u32>,
    /// For each addition that names a tenant, in order: the number of waiting requests that are granted.
    #[prost(uint32, repeated, tag = "3")]
    pub granted: Vec<u32>,
}

/// A command of `oatbankctl`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AdminQuery {
    /// The command and its arguments.
    #[prost(string, repeated, tag = "1")]
    pub words: Vec<String>,
    /// Whether to answer from this process's state alone, without asking other processes.
    #[prost(bool, tag = "2")]
    pub local_only: bool,
}

/// The answer to a command.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Table {
    /// Title of the table.
    #[prost(string, tag = "1")]
    pub title: String,
    /// Names of the columns.
    #[prost(string, repeated, tag = "2")]
    pub columns: Vec<String>,
    /// Rows of cells.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<Row>,
    /// Error in the command, with what is allowed; empty if the command is valid.
    #[prost(string, tag = "4")]
    pub error: String,
}

/// A row of a table.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Row {
    /// One cell for each column.
    #[prost(string, repeated, tag = "1")]
    pub cells: Vec<String>,
}

/// Asks a proxy for the outcome of an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeRequest {
    /// Id of the attempt.
    #[prost(string, tag = "1")]
    pub try_id: String,
}

/// The outcome of an attempt as known to one proxy.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeResponse {
    /// Name of the answering proxy.
    #[prost(string, tag = "1")]
    pub proxy: String,
    /// Number of the outcome; 0 if the proxy knows nothing of the attempt.
    #[prost(uint32, tag = "2")]
    pub outcome: u32,
    /// Reason for the outcome.
    #[prost(string, tag = "3")]
    pub why: String,
    /// Id of the server that got the attempt.
    #[prost(string, tag = "4")]
    pub server: String,
    /// Time since the outcome was recorded, ms.
    #[prost(uint32, tag = "5")]
    pub age: u32,
}
