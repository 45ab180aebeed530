//! Records the outcomes of at-most-once requests that the engines report.

use crate::request_handler::TRY_ID;
use crate::service_pool::ServiceEngine;
use oatbank_attempt_state::outcome_log::{ExecutionOutcome, OutcomeLog, OutcomeLogLimits};
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::state::Millis;
use oatbank_engine::engine::Note;
use oatbank_engine::upstreams::http1::Forward;
use oatbank_node_runtime::log;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// How long an answer is awaited after the deadline passed to the server, at which it stops, ms: several round trips between
/// regions.
const LATE_ANSWER_SLACK: Millis = 400.0;

/// Log of the outcomes that this proxy has observed.
pub struct OutcomeRecorder {
    view: Rc<ClusterView>,
    log: Rc<RefCell<OutcomeLog>>,
}

impl OutcomeRecorder {
    /// Creates a recorder with an empty log.
    pub fn new(view: Rc<ClusterView>) -> Self {
        let log = OutcomeLog::new(OutcomeLogLimits::default());
        OutcomeRecorder { view, log: Rc::new(RefCell::new(log)) }
    }

    /// The outcome log.
    pub fn log(&self) -> &Rc<RefCell<OutcomeLog>> {
        &self.log
    }

    /// Starts to record the outcomes of this engine's at-most-once requests, and logs violations of at-most-once execution.
    pub(crate) fn attach(&self, engine: &ServiceEngine) {
        let (log, view) = (self.log.clone(), self.view.clone());
        let no_server: Arc<str> = Arc::from("");
        engine.observe_executions(
            LATE_ANSWER_SLACK,
            Rc::new(move |forward: &Forward, server, note| {
                let try_id = forward.headers.get(&TRY_ID).and_then(|value| value.to_str().ok());
                let Some(try_id) = try_id else { return };
                match note {
                    Note::Outcome(outcome, why) => {
                        let server = server.unwrap_or(&no_server);
                        log.borrow_mut().record(view.now(), try_id, outcome, why, server);
                    }
                    Note::Violation(violation) => {
                        log::error!("proxy: {} (try {})", violation.text(), try_id);
                    }
                }
            }),
        );
    }

    /// Whether a request with this id was sent to a server and is not known not to have run.
    pub fn may_have_run(&self, try_id: &str) -> bool {
        self.server_if_may_have_run(try_id).is_some()
    }

    /// The server at which a request with this id may have run, if known.
    pub fn may_have_run_at(&self, try_id: &str) -> Option<Arc<str>> {
        self.server_if_may_have_run(try_id).filter(|server| !server.is_empty())
    }

    fn server_if_may_have_run(&self, try_id: &str) -> Option<Arc<str>> {
        let now = self.view.now();
        let mut log = self.log.borrow_mut();
        let known = log.get(now, try_id)?;
        (known.outcome != ExecutionOutcome::NotExecuted).then(|| known.server.clone())
    }
}
