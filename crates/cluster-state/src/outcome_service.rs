//! Outcomes of attempts that run at most once, from this process's log and from all other limiters.

use crate::admin_query::{error_table, table, CommandHandler, Commands};
use crate::admin_tables::seconds;
use crate::cluster_view::ClusterView;
use crate::messages::{call, OutcomeRequest, OutcomeResponse, Table};
use bytes::Bytes;
use oatbank_attempt_state::outcome_log::{merge, ExecutionOutcome, OutcomeLog, OutcomeReport};
use oatbank_node_runtime::rpc::RpcClient;
use prost::Message;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// How long another limiter may take to answer. Shorter than the timeout of `oatbankctl`.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Looks up the outcomes of attempts.
pub struct OutcomeService {
    view: Rc<ClusterView>,
    node_name: String,
    /// The outcomes recorded by this process; `None` on a core machine, which records none.
    log: Option<Rc<RefCell<OutcomeLog>>>,
    clients: RefCell<HashMap<SocketAddr, Rc<RpcClient>>>,
}

/// Another limiter that may know an outcome.
struct Peer {
    name: String,
    address: SocketAddr,
}

/// The answers of the limiters that were asked.
#[derive(Default)]
struct Answers {
    reports: Vec<OutcomeResponse>,
    asked: usize,
    /// Names of the limiters that did not answer.
    missing: Vec<String>,
}

impl OutcomeService {
    /// Creates the service of the process with this name.
    pub fn new(view: Rc<ClusterView>, node_name: String, log: Option<Rc<RefCell<OutcomeLog>>>) -> Rc<Self> {
        Rc::new(OutcomeService { view, node_name, log, clients: RefCell::default() })
    }

    /// Returns the outcome of an attempt recorded here; outcome 0 if there is none.
    fn local_outcome(&self, try_id: &str) -> OutcomeResponse {
        let now = self.view.now();
        let proxy = self.node_name.clone();
        let mut log = self.log.as_ref().map(|log| log.borrow_mut());
        match log.as_mut().and_then(|log| log.get(now, try_id)) {
            Some(known) => OutcomeResponse {
                proxy,
                outcome: known.outcome.number(),
                why: known.why.to_owned(),
                server: known.server.to_string(),
                age: (now - known.at).clamp(0.0, 1e9) as u32,
            },
            None => OutcomeResponse { proxy, ..OutcomeResponse::default() },
        }
    }

    /// Answers an encoded [`OutcomeRequest`]. The answer is empty if the request cannot be decoded.
    pub fn answer_bytes(&self, body: Bytes) -> Vec<u8> {
        let request = OutcomeRequest::decode(body);
        request.map(|request| self.local_outcome(&request.try_id).encode_to_vec()).unwrap_or_default()
    }

    /// Returns all other limiters, including those whose session has ended, since they may still run attempts that they
    /// accepted.
    fn peers(&self) -> Vec<Peer> {
        self.view.with(|state, now| {
            let others = state.members(now).filter(|(row, _)| row.name != self.node_name);
            let peer = |(row, _): (&crate::messages::MemberRow, _)| {
                Some(Peer { name: row.name.clone(), address: row.inner.parse().ok()? })
            };
            others.filter_map(peer).collect()
        })
    }

    fn client(&self, address: SocketAddr) -> Rc<RpcClient> {
        self.clients.borrow_mut().entry(address).or_insert_with(|| RpcClient::new(address)).clone()
    }

    /// Asks all limiters concurrently, or only this process with `local_only`.
    async fn ask(&self, try_id: &str, local_only: bool) -> Answers {
        let mut answers = Answers::default();
        if self.log.is_some() {
            answers.asked += 1;
            answers.reports.push(self.local_outcome(try_id));
        }
        let mut calls = JoinSet::new();
        if !local_only {
            let peers = self.peers();
            let is_peer = |address: &SocketAddr| peers.iter().any(|peer| peer.address == *address);
            self.clients.borrow_mut().retain(|address, _| is_peer(address));
            for Peer { name, address } in peers {
                answers.asked += 1;
                let client = self.client(address);
                let body = OutcomeRequest { try_id: try_id.to_owned() }.encode_to_vec();
                calls
                    .spawn_local(async move { (name, client.call(call::OUTCOME, body, CALL_TIMEOUT).await) });
            }
        }
        while let Some(done) = calls.join_next().await {
            let Ok((name, response)) = done else { continue };
            let response = response.ok().filter(|bytes| !bytes.is_empty());
            match response.and_then(|bytes| OutcomeResponse::decode(bytes).ok()) {
                Some(report) => answers.reports.push(report),
                None => answers.missing.push(name),
            }
        }
        answers.missing.sort();
        answers
    }
}

fn outcome_table(try_id: &str, answers: Answers) -> Table {
    let Answers { reports, asked, missing } = answers;
    let reports = reports.into_iter().filter_map(|report| {
        let outcome = ExecutionOutcome::from_number(report.outcome)?;
        let OutcomeResponse { proxy, why, server, age, .. } = report;
        Some(OutcomeReport { proxy, outcome, why, server, age: f64::from(age) })
    });
    let merged = merge(reports);
    let mut title = format!("{try_id}: ");
    title += match merged.outcome {
        Some(outcome) => outcome.text(),
        None if missing.is_empty() => "not known: never accepted, or its outcome is no longer kept",
        None => "unknown: not all limiters that may know it answered",
    };
    if merged.ran_twice {
        title += "; ALARM: it ran at more than one proxy";
    }
    title += &format!(" ({} of {asked} answer)", asked - missing.len());
    let mut rows: Vec<Vec<String>> = merged.reports.iter().map(report_cells).collect();
    rows.extend(missing.iter().map(|name| missing_cells(name)));
    table(title, &["proxy", "outcome", "why", "server", "known for"], rows)
}

fn report_cells(report: &OutcomeReport) -> Vec<String> {
    vec![
        report.proxy.clone(),
        report.outcome.text().to_owned(),
        report.why.clone(),
        report.server.clone(),
        seconds(report.age),
    ]
}

fn missing_cells(name: &str) -> Vec<String> {
    let unknown = ExecutionOutcome::Unknown.text().to_owned();
    vec![name.to_owned(), unknown, "does not answer".to_owned(), String::new(), String::new()]
}

/// Adds the command `outcome`, which shows the known outcomes of an attempt.
pub fn add_outcome_command(commands: &mut Commands, service: &Rc<OutcomeService>) {
    let service = service.clone();
    let handler: CommandHandler = Rc::new(move |words, local_only| {
        let service = service.clone();
        Box::pin(async move {
            match words.into_iter().next() {
                Some(try_id) => {
                    let answers = service.ask(&try_id, local_only).await;
                    outcome_table(&try_id, answers)
                }
                None => error_table("missing argument; allowed: outcome TRY-ID".into()),
            }
        })
    });
    commands.add_async("outcome", "outcome TRY-ID", 1, handler);
}
