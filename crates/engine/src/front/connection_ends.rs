//! Counts how client connections end and how many started requests were unanswered.

use std::cell::Cell;

/// Why a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The client closed or reset it.
    ClientClosed,
    /// Writing to the client failed.
    WriteFailed,
    /// The last answer announced the close.
    LastAnswer,
    /// It was closed while idle.
    Idle,
    /// A streamed answer broke off.
    AnswerCut,
    /// It made no progress or was evicted in favour of another connection.
    Dropped,
}

impl ConnectionEnd {
    /// All variants in the order of their discriminants.
    pub const ALL: [ConnectionEnd; 6] = [
        ConnectionEnd::ClientClosed,
        ConnectionEnd::WriteFailed,
        ConnectionEnd::LastAnswer,
        ConnectionEnd::Idle,
        ConnectionEnd::AnswerCut,
        ConnectionEnd::Dropped,
    ];

    /// Name for logs and tables.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::ClientClosed => "client closed",
            ConnectionEnd::WriteFailed => "write failed",
            ConnectionEnd::LastAnswer => "last answer",
            ConnectionEnd::Idle => "idle",
            ConnectionEnd::AnswerCut => "answer cut",
            ConnectionEnd::Dropped => "dropped",
        }
    }
}

/// Count of connections that ended for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCount {
    /// Number of connections.
    pub connections: u64,
    /// Started requests on them without an answer.
    pub unanswered: u64,
}

/// Counts of ended connections by reason.
#[derive(Debug, Default)]
pub struct ConnectionEnds {
    counts: [Cell<EndCount>; ConnectionEnd::ALL.len()],
    crossings: Cell<u64>,
}

impl ConnectionEnds {
    /// Records the end of a connection with `unanswered` started requests without an answer.
    pub fn record(&self, end: ConnectionEnd, unanswered: usize) {
        let count = &self.counts[end as usize];
        let before = count.get();
        count.set(EndCount {
            connections: before.connections + 1,
            unanswered: before.unanswered + unanswered as u64,
        });
    }

    /// Count for a reason.
    pub fn count(&self, end: ConnectionEnd) -> EndCount {
        self.counts[end as usize].get()
    }

    /// Records a request that crossed the close of its idle connection and was left unread.
    pub fn record_crossing(&self) {
        self.crossings.set(self.crossings.get() + 1);
    }

    /// Number of requests that crossed the close of their idle connection.
    pub fn crossings(&self) -> u64 {
        self.crossings.get()
    }
}
