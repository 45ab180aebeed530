//! Records the outcomes of requests that run at most once, as the engines report them.

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

/// A server stops at the deadline that it was handed; its answer to that is waited for this much longer, ms: the latency there
/// and back between regions, several times.
const LATE_ANSWER_SLACK: Millis = 400.0;

/// The outcomes that this proxy has seen.
pub struct OutcomeRecorder {
    view: Rc<ClusterView>,
    log: Rc<RefCell<OutcomeLog>>,
}

impl OutcomeRecorder {
    /// Nothing is recorded yet.
    pub fn new(view: Rc<ClusterView>) -> Self {
        let log = OutcomeLog::new(OutcomeLogLimits::default());
        OutcomeRecorder { view, log: Rc::new(RefCell::new(log)) }
    }

    /// The outcomes.
    pub fn log(&self) -> &Rc<RefCell<OutcomeLog>> {
        &self.log
    }

    /// Records from now on what becomes of this engine's requests that run at most once.
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

    /// Whether a request of this id was sent to a server and nothing proves that it did not run.
    pub fn may_have_run(&self, try_id: &str) -> bool {
        self.server_if_may_have_run(try_id).is_some()
    }

    /// The server that a request of this id may have run at, if it is known.
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
