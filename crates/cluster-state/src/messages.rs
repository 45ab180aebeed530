//! Messages between the system's own processes (the store's own stand in `oatbank-config-store`).

use prost::Message;

/// Kinds of calls, the first byte of each.
pub mod call {
    /// [`super::Follow`] is answered with [`super::News`], at once or when there is some.
    pub const FOLLOW: u8 = 40;
    /// [`super::Counts`] is answered with [`super::Totals`].
    pub const COUNT: u8 = 41;
    /// [`super::Query`] is answered with [`super::Table`].
    pub const QUERY: u8 = 42;
    /// [`super::OutcomeAsk`] is answered with [`super::OutcomeTold`].
    pub const OUTCOME: u8 = 43;
}

/// A server as it was last told.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServerRow {
    /// Its id: a life of its own.
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
    /// Requests it works on at a time.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// 0 ready, 1 draining, 2 left.
    #[prost(uint32, tag = "7")]
    pub state: u32,
    /// How much longer it is cold, ms, as of the sending of this row.
    #[prost(uint32, tag = "8")]
    pub cold_ms: u32,
    /// Its last call's number.
    #[prost(uint64, tag = "9")]
    pub calls: u64,
    /// Nothing was heard of it for too long since that call.
    #[prost(bool, tag = "10")]
    pub silent: bool,
    /// How long ago it was heard, ms, as of the sending of this row.
    #[prost(uint32, tag = "11")]
    pub heard_ago: u32,
}

/// A limiter as it was last told.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberRow {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Drawn at its start.
    #[prost(uint64, tag = "2")]
    pub life: u64,
    /// Rises with each word of this life.
    #[prost(uint64, tag = "3")]
    pub beat: u64,
    /// Where clients reach it.
    #[prost(string, tag = "4")]
    pub front: String,
    /// Where other limiters reach it.
    #[prost(string, tag = "5")]
    pub inner: String,
    /// Its zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// Its region.
    #[prost(string, tag = "7")]
    pub region: String,
    /// 0 starting, 1 ready, 2 leaving.
    #[prost(uint32, tag = "8")]
    pub state: u32,
    /// Its session has ended since that word.
    #[prost(bool, tag = "9")]
    pub lapsed: bool,
    /// How long ago it was heard, ms, as of the sending of this row.
    #[prost(uint32, tag = "10")]
    pub heard_ago: u32,
    /// The edition that it acts by.
    #[prost(uint64, tag = "11")]
    pub edition: u64,
}

/// What one limiter has seen of one server. Weights are hundredths of natural logarithms, as of `ago`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct NoticeRow {
    /// The server's id.
    #[prost(string, tag = "1")]
    pub server: String,
    /// The limiter's name.
    #[prost(string, tag = "2")]
    pub observer: String,
    /// The limiter's life.
    #[prost(fixed64, tag = "3")]
    pub life: u64,
    /// Rises with each word of this life on this server.
    #[prost(uint32, tag = "4")]
    pub seq: u32,
    /// Failing, by the quick and the long fading.
    #[prost(sint32, repeated, tag = "5")]
    pub failing: Vec<i32>,
    /// Slow, by the quick and the long fading.
    #[prost(sint32, repeated, tag = "6")]
    pub slow: Vec<i32>,
    /// Attempts without a connection, in hundredths.
    #[prost(uint32, tag = "7")]
    pub unreached: u32,
    /// Good answers since it stopped being well.
    #[prost(uint32, tag = "8")]
    pub goods: u32,
    /// How long ago that was, ms, as of the sending of this row.
    #[prost(uint32, tag = "9")]
    pub ago: u32,
}

impl NoticeRow {
    /// It makes a server doubtful by itself: worth telling at once.
    pub fn is_strong(&self) -> bool {
        self.failing.iter().chain(&self.slow).any(|w| *w >= 700)
    }
}

/// A version that was taken, and what was sent under its number.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Taken {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Of the proposal.
    #[prost(uint64, tag = "2")]
    pub digest: u64,
}

/// What the core has decided: one value, agreed whole.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Decided {
    /// The configuration as it is read back; empty before the first.
    #[prost(string, tag = "1")]
    pub config: String,
    /// Versions that were taken, the newest last, as programs before kept them; only read.
    #[prost(message, repeated, tag = "2")]
    pub taken: Vec<Taken>,
    /// Zones that are to be empty.
    #[prost(string, repeated, tag = "3")]
    pub empty: Vec<String>,
    /// Versions that were taken, the newest last: each by its step from the one before it, the first one's from 0.
    #[prost(uint64, repeated, tag = "4")]
    pub steps: Vec<u64>,
    /// The digest of what was sent under each.
    #[prost(fixed64, repeated, tag = "5")]
    pub digests: Vec<u64>,
}

/// The longest configuration, in bytes, as it is read back. Whoever holds one tells it in one frame, together with all
/// servers and limiters, to as many as ask at a time.
pub const LONGEST_CONFIG: usize = 2 << 20;

/// The core machines that vote.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Core {
    /// Rises with each change of them; 0 for none known.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Their addresses.
    #[prost(fixed32, repeated, tag = "2")]
    pub ips: Vec<u32>,
}

/// Asks for what is new since.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Follow {
    /// The follower.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The teller's life that `seen` counts in.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// All up to this was taken in.
    #[prost(uint64, tag = "3")]
    pub seen: u64,
    /// The edition that the follower acts by.
    #[prost(uint64, tag = "4")]
    pub edition: u64,
    /// Wants each word of servers and members, not only what changes what they are used for.
    #[prost(bool, tag = "5")]
    pub each: bool,
    /// The answer may be held so long, ms.
    #[prost(uint32, tag = "6")]
    pub hold: u32,
    /// The follower, where this is a session.
    #[prost(message, optional, tag = "7")]
    pub member: Option<MemberRow>,
    /// [`Core::version`] as known to the follower.
    #[prost(uint64, tag = "11")]
    pub core: u64,
    /// What the follower has seen of servers, where it is to be told at once.
    #[prost(message, repeated, tag = "8")]
    pub notices: Vec<NoticeRow>,
    /// Of the servers that the follower knows; counts beside its edition.
    #[prost(fixed64, tag = "10")]
    pub digest: u64,
    /// What limiters have seen of servers is left out: the follower hears it elsewhere.
    #[prost(bool, tag = "12")]
    pub plain: bool,
    /// The follower's IPv4 address, where it is a core machine that keeps what it takes in; 0 otherwise.
    #[prost(uint32, tag = "13")]
    pub core_ip: u32,
    /// An order waits at the follower until limiters act by its edition: that more of them do is told soon.
    #[prost(bool, tag = "14")]
    pub keen: bool,
}

/// What is new.
#[derive(Clone, PartialEq, Message)]
pub struct News {
    /// The teller's life.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// All of that life up to this has been told.
    #[prost(uint64, tag = "2")]
    pub seen: u64,
    /// This is all there is, not only what changed.
    #[prost(bool, tag = "3")]
    pub whole: bool,
    /// The teller has listened for long enough to know all servers and members.
    #[prost(bool, tag = "4")]
    pub warm: bool,
    /// Servers.
    #[prost(message, repeated, tag = "5")]
    pub servers: Vec<ServerRow>,
    /// Limiters.
    #[prost(message, repeated, tag = "6")]
    pub members: Vec<MemberRow>,
    /// The newest edition known to the teller; 0 before the first.
    #[prost(uint64, tag = "7")]
    pub edition: u64,
    /// It, where the follower lacks it.
    #[prost(message, optional, tag = "8")]
    pub decided: Option<Decided>,
    /// So long ago, ms, a majority was asked and knew of nothing newer; none if never.
    #[prost(uint32, optional, tag = "9")]
    pub fresh_ago: Option<u32>,
    /// The call was held for so long, ms.
    #[prost(uint32, tag = "10")]
    pub held: u32,
    /// How many limiters there have been of late, all that may still act included.
    #[prost(uint32, tag = "11")]
    pub limiters: u32,
    /// The system's time as known to the teller, ms: it only runs forward, and is nobody's time of day.
    #[prost(double, tag = "12")]
    pub time: f64,
    /// The core machines, where the follower knows of an older version of them.
    #[prost(message, optional, tag = "16")]
    pub core: Option<Core>,
    /// What limiters have seen of servers.
    #[prost(message, repeated, tag = "13")]
    pub notices: Vec<NoticeRow>,
    /// Of the servers that the teller knows; counts beside its edition.
    #[prost(fixed64, tag = "15")]
    pub digest: u64,
}

/// One add to a number.
#[derive(Clone, PartialEq, Message)]
pub struct Count {
    /// Its name.
    #[prost(fixed64, tag = "1")]
    pub name: u64,
    /// The amount; 0 only reads.
    #[prost(double, tag = "2")]
    pub add: f64,
    /// A new name is forgotten after this, ms.
    #[prost(double, tag = "3")]
    pub ttl: f64,
}

/// Adds to numbers that the asked one keeps.
#[derive(Clone, PartialEq, Message)]
pub struct Counts {
    /// The adds.
    #[prost(message, repeated, tag = "1")]
    pub counts: Vec<Count>,
}

/// The totals after [`Counts`], in its order.
#[derive(Clone, PartialEq, Message)]
pub struct Totals {
    /// The totals.
    #[prost(double, repeated, tag = "1")]
    pub totals: Vec<f64>,
}

/// A question of the shell.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Query {
    /// The command and what follows it.
    #[prost(string, repeated, tag = "1")]
    pub words: Vec<String>,
    /// By what this process knows alone: no other is asked.
    #[prost(bool, tag = "2")]
    pub near: bool,
}

/// What a question is answered with.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Table {
    /// What it is of.
    #[prost(string, tag = "1")]
    pub title: String,
    /// Names of the columns.
    #[prost(string, repeated, tag = "2")]
    pub columns: Vec<String>,
    /// The rows.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<Row>,
    /// What is wrong with the question, and what is allowed; empty: nothing.
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

/// Asks a proxy what became of a try.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeAsk {
    /// Its id.
    #[prost(string, tag = "1")]
    pub try_id: String,
}

/// What a proxy knows of a try.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeTold {
    /// The proxy.
    #[prost(string, tag = "1")]
    pub proxy: String,
    /// [`oatbank_attempt_state::outcome_log::Fate`] by its number; 0: it knows nothing of the try.
    #[prost(uint32, tag = "2")]
    pub fate: u32,
    /// Why.
    #[prost(string, tag = "3")]
    pub why: String,
    /// The server's life.
    #[prost(string, tag = "4")]
    pub server: String,
    /// How long ago that was known, ms.
    #[prost(uint32, tag = "5")]
    pub age: u32,
}
