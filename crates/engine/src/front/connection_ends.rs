//! How client connections end, and which requests had no answer then.

use super::request_progress::RequestStage;
use oatbank_limiter_core::interface::Millis;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

/// Most reports that are kept until they are taken; older ones are dropped.
const MAX_REPORTS: usize = 64;

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

/// A request that was read and had no answer when its connection ended.
#[derive(Clone, Debug, PartialEq)]
pub struct UnansweredRequest {
    /// Value of its id header; empty if it has none.
    pub id: String,
    /// How far it had come.
    pub stage: RequestStage,
    /// Time since its head was read, ms.
    pub age: Millis,
}

/// The end of a connection that left requests without an answer, or bytes that were read and belong to no request.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// Why it ended.
    pub end: ConnectionEnd,
    /// The requests without an answer, in the order in which they were read.
    pub requests: Vec<UnansweredRequest>,
    /// Whether a part of a further request had been read.
    pub is_next_begun: bool,
    /// Time since the last bytes were received, ms.
    pub silent_for: Millis,
    /// Time since the connection was accepted, ms.
    pub open_for: Millis,
}

impl EndReport {
    /// Number of started requests without an answer.
    pub fn started(&self) -> usize {
        self.requests.iter().filter(|request| request.stage != RequestStage::WaitingForTurn).count()
    }

    /// Whether anything that was read is left without an answer.
    fn is_notable(&self) -> bool {
        !self.requests.is_empty() || self.is_next_begun
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

/// Counts of ended connections by reason, and reports on those that left something unanswered.
#[derive(Debug, Default)]
pub struct ConnectionEnds {
    counts: [Cell<EndCount>; ConnectionEnd::ALL.len()],
    crossings: Cell<u64>,
    discarded_reads: Cell<u64>,
    reports: RefCell<VecDeque<EndReport>>,
}

impl ConnectionEnds {
    /// Records the end of a connection.
    pub fn record(&self, report: EndReport) {
        let count = &self.counts[report.end as usize];
        let before = count.get();
        count.set(EndCount {
            connections: before.connections + 1,
            unanswered: before.unanswered + report.started() as u64,
        });
        if report.is_notable() {
            let mut reports = self.reports.borrow_mut();
            if reports.len() == MAX_REPORTS {
                reports.pop_front();
            }
            reports.push_back(report);
        }
    }

    /// Takes the reports since the last call, oldest first.
    pub fn take_reports(&self) -> Vec<EndReport> {
        self.reports.borrow_mut().drain(..).collect()
    }

    /// Count for a reason.
    pub fn count(&self, end: ConnectionEnd) -> EndCount {
        self.counts[end as usize].get()
    }

    /// Records a request that crossed the close of its connection and was left unread.
    pub fn record_crossing(&self) {
        self.crossings.set(self.crossings.get() + 1);
    }

    /// Number of requests that crossed the close of their connection.
    pub fn crossings(&self) -> u64 {
        self.crossings.get()
    }

    /// Records bytes that were read and discarded because no further request is started on their connection.
    pub fn record_discarded_read(&self) {
        self.discarded_reads.set(self.discarded_reads.get() + 1);
    }

    /// Number of reads whose bytes were discarded because no further request is started on their connection.
    pub fn discarded_reads(&self) -> u64 {
        self.discarded_reads.get()
    }
}
