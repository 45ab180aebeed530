//! Tests of the parent module.

use super::*;
use crate::clock::MonotonicClock;
use crate::messages::{MemberRow, ServerRow};
use crate::outcome_service::{add_outcome_command, OutcomeService};
use bytes::Bytes;
use oatbank_attempt_state::outcome_log::{ExecutionOutcome, OutcomeLog, OutcomeLogLimits};
use oatbank_node_runtime::rpc;
use std::cell::RefCell;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn view() -> Rc<ClusterView> {
    ClusterView::new(MonotonicClock::start(), 500.0)
}

async fn ask(commands: &Commands, words: &[&str]) -> Table {
    let words = words.iter().map(|w| (*w).to_owned()).collect();
    commands.answer(AdminQuery { words, local_only: false }).await
}

/// Starts a proxy that knows the outcome of the attempt `t-1`, and returns its row.
async fn proxy(name: &str, outcome: ExecutionOutcome) -> MemberRow {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let inner = listener.local_addr().unwrap().to_string();
    let mut log = OutcomeLog::new(OutcomeLogLimits::default());
    log.record(1.0, "t-1", outcome, "answered", &"i-9".into());
    let service = OutcomeService::new(view(), name.to_owned(), Some(Rc::new(RefCell::new(log))));
    let handler = Rc::new(move |_: u8, body: Bytes| -> rpc::ResponseFuture {
        let service = service.clone();
        Box::pin(async move { service.answer_bytes(body) })
    });
    tokio::task::spawn_local(rpc::serve(listener, handler));
    MemberRow { name: name.to_owned(), inner, heartbeat: 1, ..MemberRow::default() }
}

#[test]
fn outcome_asks_all_limiters_and_shows_the_strongest_outcome() {
    run_local(async {
        let view = view();
        let mut commands = Commands::of(&view, "oatbank-registry", "core-1");
        add_outcome_command(&mut commands, &OutcomeService::new(view.clone(), "core-1".into(), None));
        let rows = [
            proxy("e1", ExecutionOutcome::NotExecuted).await,
            proxy("e2", ExecutionOutcome::Succeeded).await,
        ];
        for row in &rows {
            view.change(|table, now| table.merge_member(now, row));
        }
        let response = ask(&commands, &["outcome", "t-1"]).await;
        assert_eq!(response.title, "t-1: done (2 of 2 answer)");
        assert_eq!(response.rows[0].cells[..4], ["e2", "done", "answered", "i-9"]);
        let response = ask(&commands, &["outcome", "t-2"]).await;
        assert!(
            response.title.starts_with("t-2: not known") && response.rows.is_empty(),
            "{}",
            response.title
        );
        let other = proxy("e3", ExecutionOutcome::Succeeded).await;
        view.change(|table, now| table.merge_member(now, &other));
        assert!(ask(&commands, &["outcome", "t-1"]).await.title.contains("ALARM"));
        // An unreachable limiter is listed, and the outcome is unknown because the limiter may know it.
        let unreachable = MemberRow { inner: "127.0.0.1:9".into(), name: "e4".into(), ..rows[0].clone() };
        view.change(|table, now| table.merge_member(now, &unreachable));
        let response = ask(&commands, &["outcome", "t-2"]).await;
        assert!(response.title.starts_with("t-2: unknown") && response.title.ends_with("(3 of 4 answer)"));
    });
}

#[test]
fn invalid_commands_are_rejected_with_what_is_allowed() {
    run_local(async {
        let view = view();
        let mut commands = Commands::of(&view, "oatbank-registry", "core-1");
        add_outcome_command(&mut commands, &OutcomeService::new(view.clone(), "core-1".into(), None));
        let row =
            ServerRow { id: "i-1".into(), service: "halls".into(), call_count: 1, ..ServerRow::default() };
        view.merge_server(&row);
        for (words, named, allowed) in [
            (vec!["outcom"], "\"outcom\"", "outcome TRY-ID"),
            (vec!["outcome"], "missing argument", "outcome TRY-ID"),
            (vec!["limiters", "x"], "\"x\"", "limiters"),
            (vec!["servers", "hall"], "\"hall\"", "halls"),
            (vec![], "no command", "servers [SERVICE]"),
        ] {
            let error = ask(&commands, &words).await.error;
            assert!(error.contains(named) && error.contains(allowed), "{words:?}: {error}");
        }
        let response = ask(&commands, &["servers", "halls"]).await;
        assert_eq!((response.rows.len(), response.columns.len()), (1, response.rows[0].cells.len()));
        assert_eq!(response.rows[0].cells[4], "ready");
    });
}
