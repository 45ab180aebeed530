//! Following another process: one call asks for what is new there, and what comes is merged.

use crate::cluster_view::{ClusterView, CONTACT_TIMEOUT};
use crate::messages::{call, FollowRequest, MemberRow, ObservationRow, StateUpdate};
use oatbank_node_runtime::log;
use oatbank_node_runtime::rpc::RpcClient;
use prost::Message;
use std::net::Ipv4Addr;
use std::time::Duration;

/// A call is given up this long after it should have been answered at the latest.
pub(crate) const CALL_PATIENCE: Duration = Duration::from_millis(700);

/// How far a follower has come with one source.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicationPosition {
    /// The source's epoch.
    pub epoch: u64,
    /// All changes of that epoch up to this sequence number were merged.
    pub seen: u64,
}

/// What one call of a follower brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowResult {
    /// An update, which may be empty.
    Updated {
        /// How long ago, ms, a majority last confirmed the source's state; `None` if never.
        confirmed_ago: Option<u32>,
        /// How many limiters the source counts.
        limiters: u32,
    },
    /// No response, or one that cannot be read.
    NoResponse,
}

/// What a follower says with a call.
#[derive(Clone, Debug, Default)]
pub struct FollowOptions {
    /// The follower's name.
    pub name: String,
    /// It wants every change: it is a core machine.
    pub every_change: bool,
    /// Its address, if it is a core machine.
    pub core_ip: Option<Ipv4Addr>,
    /// The response may be held for this long, ms.
    pub hold_ms: u32,
    /// Itself, if this call is a session's heartbeat.
    pub member: Option<MemberRow>,
    /// What it has observed of servers.
    pub observations: Vec<ObservationRow>,
}

/// Asks a source once for what is new, and merges what comes.
pub async fn follow_once(
    view: &ClusterView,
    source: &RpcClient,
    position: &mut ReplicationPosition,
    options: FollowOptions,
) -> FollowResult {
    let requested = view.now();
    let is_session = options.member.is_some();
    let within = Duration::from_millis(u64::from(options.hold_ms)) + CALL_PATIENCE;
    let request = follow_request(view, position, options);
    let response = source.call(call::FOLLOW, request.encode_to_vec(), within).await;
    let response = response.ok().filter(|bytes| !bytes.is_empty());
    let Some(update) = response.and_then(|bytes| StateUpdate::decode(bytes).ok()) else {
        return FollowResult::NoResponse;
    };
    *position = ReplicationPosition { epoch: update.epoch, seen: update.seen };
    let (confirmed_ago, limiters) = (update.confirmed_ago, update.limiters);
    // A source of another version, or one that is behind itself, is nothing to compare with.
    let is_comparable = is_session
        && update.digest != 0
        && update.source_is_warm
        && confirmed_ago.is_some_and(|ago| f64::from(ago) <= CONTACT_TIMEOUT);
    let (edition, digest) = (update.edition, update.digest);
    view.apply_update(requested, update);
    if is_comparable && view.compare(edition, digest) {
        log::info!("replication: the servers known here differ from those of the source; taking a snapshot");
        *position = ReplicationPosition::default();
    }
    FollowResult::Updated { confirmed_ago, limiters }
}

fn follow_request(
    view: &ClusterView,
    position: &ReplicationPosition,
    options: FollowOptions,
) -> FollowRequest {
    // A process in touch with the core hears there what limiters have observed of servers.
    let without_observations = !options.every_change && options.member.is_none() && view.in_touch();
    FollowRequest {
        name: options.name,
        epoch: position.epoch,
        seen: position.seen,
        edition: view.edition(),
        every_change: options.every_change,
        hold_ms: options.hold_ms,
        core: view.core_version(),
        digest: view.with(|table, _| table.digest()),
        without_observations,
        core_ip: options.core_ip.map_or(0, u32::from),
        wants_prompt_acks: options.every_change && view.has_waiting_commands(),
        member: options.member,
        observations: options.observations,
    }
}
