//! Invariants that a running proxy checks of itself: how often each was violated, for `oatbankctl invariants` and the log.

use crate::front_desk::FrontDesk;
use crate::request_handler::RequestHandler;
use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::messages::Table;
use oatbank_engine::front::connection_ends::ConnectionEnd;
use oatbank_engine::front::Front;
use oatbank_node_runtime::log;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// What is due every so often may come this much later; beyond it requests have waited too.
const STALL: Duration = Duration::from_millis(150);

/// Ends of connections that are this proxy's decision. A streamed answer that broke off is its server's.
const OWN_ENDS: [ConnectionEnd; 3] = [ConnectionEnd::LastAnswer, ConnectionEnd::Idle, ConnectionEnd::Dropped];

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// No server works on for a client that has left, where the request may be repeated.
    NoAbandonedAttempts,
    /// A connection that this proxy ends of its own has no request that was begun and not answered.
    NoUnansweredAtClose,
    /// Of no tenant whose counters this proxy owns, more ran in a window than its quota allows, as far as was reported.
    NoQuotaOverrun,
}

impl Invariant {
    const ALL: [Invariant; 3] =
        [Invariant::NoAbandonedAttempts, Invariant::NoUnansweredAtClose, Invariant::NoQuotaOverrun];

    fn name(self) -> &'static str {
        match self {
            Invariant::NoAbandonedAttempts => "no abandoned attempts",
            Invariant::NoUnansweredAtClose => "no unanswered at close",
            Invariant::NoQuotaOverrun => "no quota overrun",
        }
    }
}

/// Checks the invariants of a proxy.
pub struct InvariantMonitor {
    handler: Rc<RequestHandler>,
    front: Rc<Front<FrontDesk>>,
    logged: RefCell<[u64; Invariant::ALL.len()]>,
}

impl InvariantMonitor {
    /// Of the proxy that these belong to.
    pub fn new(handler: Rc<RequestHandler>, front: Rc<Front<FrontDesk>>) -> Rc<Self> {
        Rc::new(InvariantMonitor { handler, front, logged: RefCell::default() })
    }

    /// How often an invariant was violated since the process started.
    pub fn violations(&self, invariant: Invariant) -> u64 {
        match invariant {
            Invariant::NoAbandonedAttempts => self.handler.departures().abandoned_attempts,
            Invariant::NoUnansweredAtClose => OWN_ENDS.into_iter().map(|end| self.unanswered(end)).sum(),
            Invariant::NoQuotaOverrun => self.handler.quota_overrun(),
        }
    }

    fn unanswered(&self, end: ConnectionEnd) -> u64 {
        self.front.ends().count(end).unanswered
    }

    /// Logs violations that are new.
    pub fn log_new(&self) {
        let mut logged = self.logged.borrow_mut();
        for (invariant, before) in Invariant::ALL.into_iter().zip(logged.iter_mut()) {
            let violations = self.violations(invariant);
            if violations > *before {
                let details = self.details(invariant);
                log::warn!(
                    "invariant violated: {}, {} times by now{}",
                    invariant.name(),
                    violations,
                    details
                );
                *before = violations;
            }
        }
    }

    /// What else is known of violations of this invariant, for the log.
    fn details(&self, invariant: Invariant) -> String {
        if invariant != Invariant::NoUnansweredAtClose {
            return String::new();
        }
        let mut text = String::new();
        for end in OWN_ENDS {
            let unanswered = self.unanswered(end);
            if unanswered > 0 {
                text += &format!("; {}: {unanswered}", end.name());
            }
        }
        text
    }

    /// Logs that what was due after `expected` came after `elapsed`: so long no request was looked at.
    pub fn log_stall(&self, expected: Duration, elapsed: Duration) {
        let late = elapsed.saturating_sub(expected);
        if late > STALL {
            log::warn!("stalled for {} ms: requests have waited", late.as_millis());
        }
    }

    /// The table of invariants.
    pub fn table(&self) -> Table {
        let row =
            |invariant: Invariant| vec![invariant.name().to_owned(), self.violations(invariant).to_string()];
        let rows = Invariant::ALL.into_iter().map(row).collect();
        table("violations since the start", &["invariant", "violations"], rows)
    }

    /// The table of how clients' connections ended.
    pub fn connections_table(&self) -> Table {
        let row = |end: ConnectionEnd| {
            let count = self.front.ends().count(end);
            vec![end.name().to_owned(), count.connections.to_string(), count.unanswered.to_string()]
        };
        let departures = self.handler.departures();
        let title = format!(
            "{} open; {} clients left before their answer, {} attempts were cancelled for that; {} requests crossed \
             the end of an idle connection, unread",
            self.front.open(),
            departures.clients,
            departures.cancelled_attempts,
            self.front.ends().crossings()
        );
        table(title, &["end", "connections", "unanswered"], ConnectionEnd::ALL.into_iter().map(row).collect())
    }
}
