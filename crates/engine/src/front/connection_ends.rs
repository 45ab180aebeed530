//! Counts how clients' connections end, and how many requests that were begun had no answer then.

use std::cell::Cell;

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The client closed or reset it.
    ClientClosed,
    /// Nothing more could be written to the client.
    WriteFailed,
    /// An answer said that it is the last one.
    LastAnswer,
    /// It was asked to end between two requests.
    Idle,
    /// A streamed answer broke off.
    AnswerCut,
    /// It made no progress, or gave way to another connection.
    Dropped,
}

impl ConnectionEnd {
    /// All of them, in the order of their numbers.
    pub const ALL: [ConnectionEnd; 6] = [
        ConnectionEnd::ClientClosed,
        ConnectionEnd::WriteFailed,
        ConnectionEnd::LastAnswer,
        ConnectionEnd::Idle,
        ConnectionEnd::AnswerCut,
        ConnectionEnd::Dropped,
    ];

    /// A name for logs and tables.
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

/// How many connections ended in one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCount {
    /// Connections.
    pub connections: u64,
    /// Requests that had been begun on them and had no answer.
    pub unanswered: u64,
}

/// How many connections ended in each way.
#[derive(Debug, Default)]
pub struct ConnectionEnds {
    counts: [Cell<EndCount>; ConnectionEnd::ALL.len()],
    crossings: Cell<u64>,
}

impl ConnectionEnds {
    /// A connection has ended with so many requests begun and not answered.
    pub fn record(&self, end: ConnectionEnd, unanswered: usize) {
        let count = &self.counts[end as usize];
        let before = count.get();
        count.set(EndCount {
            connections: before.connections + 1,
            unanswered: before.unanswered + unanswered as u64,
        });
    }

    /// How many ended in this way.
    pub fn count(&self, end: ConnectionEnd) -> EndCount {
        self.counts[end as usize].get()
    }

    /// A request has crossed the end of its idle connection, and was left unread.
    pub fn record_crossing(&self) {
        self.crossings.set(self.crossings.get() + 1);
    }

    /// How many requests have crossed the end of their idle connection.
    pub fn crossings(&self) -> u64 {
        self.crossings.get()
    }
}
