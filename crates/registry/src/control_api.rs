//! The API for servers, operators, and clients that look up limiters, as specified in `docs/api/control.yaml`. Sockets and
//! HTTP are in [`crate::control_server`].

use crate::api_answer::{object, ApiAnswer};
use crate::directory;
use crate::heartbeat;
use crate::operator_command::{OperatorCommand, Rejection};
use crate::quorum_client::QuorumClient;
use miniserde::json::{Array, Number, Value};
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::state::server_state;
use oatbank_config_model::{ApiCall, Proposal, ValidationError};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_node_runtime::log;
use std::rc::Rc;
use std::time::Duration;

/// How long the acknowledgement of a leaving server waits for a majority of the core to know of it. Servers time out their
/// call after one second.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(650);
/// A command without a version is executed only if its caller stays connected for this long. A command that waited in a
/// socket while this machine was paused or cut off arrives together with the end of its connection, and may have been
/// reversed since.
const CALLER_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for limiters to apply a command before it is acknowledged. Usually all have applied it sooner.
const APPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long clients may use the answer to a lookup, s.
const LOOKUP_VALID_S: f64 = 2.0;

/// Executes the calls of the API.
pub struct ControlApi {
    view: Rc<ClusterView>,
    quorum: Rc<QuorumClient>,
    zones: Vec<String>,
    lookup_valid_s: f64,
}

impl ControlApi {
    /// Creates the API on top of `view` and `quorum`. A positive `ttl_max_s` limits how long lookups are valid, in seconds.
    pub fn new(
        view: Rc<ClusterView>,
        quorum: Rc<QuorumClient>,
        zones: Vec<String>,
        ttl_max_s: f64,
    ) -> Rc<Self> {
        let lookup_valid_s = if ttl_max_s > 0.0 { LOOKUP_VALID_S.min(ttl_max_s) } else { LOOKUP_VALID_S };
        Rc::new(ControlApi { view, quorum, zones, lookup_valid_s })
    }

    /// Executes a call with its complete body.
    pub async fn carry_out(&self, call: ApiCall, body: &[u8]) -> ApiAnswer {
        match call {
            ApiCall::Heartbeat(id) => self.heartbeat(&id, body).await,
            ApiCall::Leave(id) => self.leave(&id).await,
            ApiCall::Replace => self.configure(Proposal::replace(body)).await,
            ApiCall::Change => self.configure(Proposal::change(body)).await,
            ApiCall::Read => self.read().await,
            ApiCall::EmptyBegin(zone) => self.evacuate(zone, true).await,
            ApiCall::EmptyEnd(zone) => self.evacuate(zone, false).await,
            ApiCall::Lookup { region, zone, .. } => self.lookup(&zone, &region),
            ApiCall::Ready => ApiAnswer::ok(),
        }
    }

    // ---- Servers ------------------------------------------------------------------------------

    async fn heartbeat(&self, id: &str, body: &[u8]) -> ApiAnswer {
        let row = match heartbeat::parse(id, body) {
            Ok(row) => row,
            Err(error) => return ApiAnswer::error(ErrorKind::Invalid, error.to_string()),
        };
        let is_leaving = row.state != server_state::READY;
        if !self.view.has_caught_up() && !is_leaving {
            // The heartbeat may be old, and would keep a server that has ended since in use.
            return ApiAnswer::error(ErrorKind::NotReady, "this core machine was paused");
        }
        // Merged even without a majority, for limiters that reach no other core machine.
        self.view.merge_server(&row);
        if !self.quorum.is_alone() && !self.view.in_touch() {
            // Other core machines do not receive this heartbeat and would time the server out.
            return ApiAnswer::error(
                ErrorKind::NotReady,
                "this core machine is not in touch with a majority",
            );
        }
        if is_leaving {
            return self.acknowledge_leaving(id).await;
        }
        ApiAnswer::ok()
    }

    async fn leave(&self, id: &str) -> ApiAnswer {
        self.view.change(|table, now| table.mark_server_left(now, id));
        self.acknowledge_leaving(id).await
    }

    /// Waits until a majority of the core has merged this server's last change. An acknowledged change must not be lost with
    /// this machine, nor stay on the minority side of a partition. Draining and left are final states, so the age of the
    /// acknowledgement does not matter.
    async fn acknowledge_leaving(&self, id: &str) -> ApiAnswer {
        let sequence = self.view.with(|table, _| table.changed_at(id));
        let is_replicated = |followers: &_| self.quorum.is_replicated(followers, sequence);
        if self.view.wait_for(REPLICATION_TIMEOUT, is_replicated).await {
            return ApiAnswer::ok();
        }
        ApiAnswer::error(ErrorKind::Overloaded, "no majority of the core has confirmed the change in time")
    }

    // ---- Operators ----------------------------------------------------------------------------

    async fn configure(&self, proposal: Result<Proposal, ValidationError>) -> ApiAnswer {
        match proposal {
            Ok(proposal) => self.execute(OperatorCommand::Configure(proposal)).await,
            Err(error) => {
                log::info!("command: rejected, {}", error);
                ApiAnswer::error(ErrorKind::Invalid, error.to_string())
            }
        }
    }

    async fn evacuate(&self, zone: String, begin: bool) -> ApiAnswer {
        if !self.zones.contains(&zone) {
            let problem = format!("no such zone: {zone}; there are {}", self.zones.join(", "));
            return ApiAnswer::error(ErrorKind::NotFound, problem);
        }
        // If the connection ends during the sleep, this future is dropped.
        tokio::time::sleep(CALLER_CHECK_DELAY).await;
        self.execute(OperatorCommand::Evacuate { zone, begin }).await
    }

    async fn execute(&self, command: OperatorCommand) -> ApiAnswer {
        let name = describe(&command);
        match self.quorum.execute(&command).await {
            Ok(edition) => {
                let behind = self.view.wait_until_applied(APPLY_TIMEOUT, edition).await;
                log_applied(&name, edition, &behind);
                ApiAnswer::ok()
            }
            Err(Rejection { kind, problem }) => {
                log::info!("command: {} rejected, {}: {}", name, kind.code(), problem);
                ApiAnswer::error(kind, problem)
            }
        }
    }

    async fn read(&self) -> ApiAnswer {
        match self.quorum.newest().await {
            Ok(state) if state.config.is_empty() => {
                ApiAnswer::error(ErrorKind::NotFound, "there is no configuration yet")
            }
            Ok(state) => ApiAnswer::with_text(state.config.clone()),
            Err(Rejection { kind, problem }) => ApiAnswer::error(kind, problem),
        }
    }

    // ---- Clients ------------------------------------------------------------------------------

    fn lookup(&self, zone: &str, region: &str) -> ApiAnswer {
        let fronts = self.view.with(|table, now| directory::fronts(table.members(now), zone, region));
        if fronts.is_empty() {
            return ApiAnswer::error(ErrorKind::NotReady, "no ready limiter is known here");
        }
        let mut addresses = Array::new();
        fronts.into_iter().for_each(|front| addresses.push(Value::String(front)));
        let valid = Value::Number(Number::F64(self.lookup_valid_s));
        ApiAnswer::with_value(&object(vec![("addresses", Value::Array(addresses)), ("validS", valid)]))
    }
}

/// Returns the command's name for log lines.
fn describe(command: &OperatorCommand) -> String {
    match command {
        OperatorCommand::Configure(proposal) => format!("r{}", proposal.version()),
        OperatorCommand::Evacuate { zone, begin } => {
            format!("zone {zone} {}", if *begin { "evacuation" } else { "end of evacuation" })
        }
    }
}

fn log_applied(name: &str, edition: u64, behind: &[String]) {
    match behind.first() {
        None => log::info!("command: {} in force, edition {}, applied by all limiters", name, edition),
        Some(first) => log::info!(
            "command: {} in force, edition {}; {} limiters are not known to have applied it yet, {} among them",
            name,
            edition,
            behind.len(),
            first
        ),
    }
}
