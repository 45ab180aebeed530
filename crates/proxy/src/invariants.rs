//! Invariants that a running proxy checks itself. The number of violations is logged and shown by `oatbankctl invariants`.

use crate::front_adapter::FrontAdapter;
use crate::request_handler::RequestHandler;
use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::messages::Table;
use oatbank_engine::front::connection_ends::{ConnectionEnd, EndReport};
use oatbank_engine::front::Front;
use oatbank_node_runtime::log::{self, RateLimitedLog};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Delay of the periodic check from which on a stall is logged: requests are delayed as long.
const STALL: Duration = Duration::from_millis(150);

/// Ways in which this proxy itself ends connections. Interrupted streamed answers are caused by the server and excluded.
const OWN_ENDS: [ConnectionEnd; 3] = [ConnectionEnd::LastAnswer, ConnectionEnd::Idle, ConnectionEnd::Dropped];

/// Conditions that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Attempts of a repeatable request are cancelled when its client leaves.
    NoAbandonedAttempts,
    /// Connections that this proxy closes have no unanswered request.
    NoUnansweredAtClose,
    /// Reported admissions of each tenant whose counters this proxy owns stay within its quota in every window.
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
    front: Rc<Front<FrontAdapter>>,
    logged: RefCell<[u64; Invariant::ALL.len()]>,
    ends_log: RateLimitedLog,
}

impl InvariantMonitor {
    /// Creates a monitor of the proxy with this handler and front.
    pub fn new(handler: Rc<RequestHandler>, front: Rc<Front<FrontAdapter>>) -> Rc<Self> {
        Rc::new(InvariantMonitor {
            handler,
            front,
            logged: RefCell::default(),
            ends_log: RateLimitedLog::default(),
        })
    }

    /// Number of violations of an invariant since the process started.
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

    /// Logs the connections that ended since the last call with requests that were read and not answered.
    pub fn log_ends(&self) {
        for report in self.front.ends().take_reports() {
            if let Some(suppressed) = self.ends_log.allow() {
                let text = end_text(&report, self.handler.configuration_age());
                // What a client gives up itself is its own decision.
                if OWN_ENDS.contains(&report.end) && report.started() > 0 {
                    log::warn!("{} ({} lines suppressed)", text, suppressed);
                } else {
                    log::debug!("{} ({} lines suppressed)", text, suppressed);
                }
            }
        }
    }

    /// Logs each invariant whose number of violations has increased since the last call.
    pub fn log_new(&self) {
        let mut logged = self.logged.borrow_mut();
        for (invariant, before) in Invariant::ALL.into_iter().zip(logged.iter_mut()) {
            let violations = self.violations(invariant);
            if violations > *before {
                let details = self.details(invariant);
                log::warn!(
                    "invariant violated: {}, {} times since the start{}",
                    invariant.name(),
                    violations,
                    details
                );
                *before = violations;
            }
        }
    }

    /// Additional text for the log line of an invariant: unanswered requests by the way in which the connection ended.
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

    /// Logs a stall if a timer that was due after `expected` fired after `elapsed`, more than [`STALL`] late. No request was
    /// handled during the delay.
    pub fn log_stall(&self, expected: Duration, elapsed: Duration) {
        let late = elapsed.saturating_sub(expected);
        if late > STALL {
            log::warn!("stalled for {} ms: requests were delayed", late.as_millis());
        }
    }

    /// The `invariants` table: number of violations of each.
    pub fn table(&self) -> Table {
        let row =
            |invariant: Invariant| vec![invariant.name().to_owned(), self.violations(invariant).to_string()];
        let rows = Invariant::ALL.into_iter().map(row).collect();
        table("violations since the start", &["invariant", "violations"], rows)
    }

    /// The `connections` table: number of client connections and unanswered requests by the way in which connections ended.
    pub fn connections_table(&self) -> Table {
        let row = |end: ConnectionEnd| {
            let count = self.front.ends().count(end);
            vec![end.name().to_owned(), count.connections.to_string(), count.unanswered.to_string()]
        };
        let departures = self.handler.departures();
        let title = format!(
            "{} open; {} clients left before their answer, {} attempts were cancelled because of that; {} requests \
             arrived while their connection was being closed and were not read; {} reads were discarded behind a last \
             answer",
            self.front.open(),
            departures.clients,
            departures.cancelled_attempts,
            self.front.ends().crossings(),
            self.front.ends().discarded_reads()
        );
        table(title, &["end", "connections", "unanswered"], ConnectionEnd::ALL.into_iter().map(row).collect())
    }
}

/// Describes a connection's end and each request that it left without an answer.
fn end_text(report: &EndReport, configuration_age: f64) -> String {
    let mut text = format!(
        "connection ended: {}, open for {:.0} ms, silent for {:.0} ms, configuration in force for {:.0} ms",
        report.end.name(),
        report.open_for,
        report.silent_for,
        configuration_age
    );
    for request in &report.requests {
        text += &format!("; {} read {:.0} ms ago, {}", request.id, request.age, request.stage.name());
    }
    if report.is_next_begun {
        text += "; a further request was partly read";
    }
    text
}
