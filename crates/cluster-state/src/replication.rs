//! Replication from another process: each call requests the changes since a position, and the response is merged.

use crate::cluster_view::{ClusterView, CONTACT_TIMEOUT};
use crate::messages::{call, FollowRequest, MemberRow, ObservationRow, StateUpdate};
use oatbank_node_runtime::log;
use oatbank_node_runtime::rpc::RpcClient;
use prost::Message;
use std::net::Ipv4Addr;
use std::time::Duration;

/// How long after the end of its hold time a call is given up.
pub(crate) const CALL_GRACE: Duration = Duration::from_millis(700);

/// A follower's position in the changes of one source.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicationPosition {
    /// The source's epoch.
    pub epoch: u64,
    /// All changes of that epoch up to this sequence number were merged.
    pub seen: u64,
}

/// Result of one call of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowResult {
    /// An update, which may be empty.
    Updated {
        /// Time since a majority last confirmed the source's state, ms; `None` if never.
        confirmed_ago: Option<u32>,
        /// Number of limiters that may be active, as counted by the source.
        limiters: u32,
    },
    /// No response, an empty one, or one that cannot be decoded.
    NoResponse,
}

/// The parameters of a follower's call.
#[derive(Clone, Debug, Default)]
pub struct FollowOptions {
    /// The follower's name.
    pub name: String,
    /// Whether every change is requested, as core machines do.
    pub every_change: bool,
    /// The follower's address, if it is a core machine.
    pub core_ip: Option<Ipv4Addr>,
    /// How long the source may hold the response, ms.
    pub hold_ms: u32,
    /// The follower's own row, if this call is a session's heartbeat.
    pub member: Option<MemberRow>,
    /// The follower's observations of servers.
    pub observations: Vec<ObservationRow>,
}

/// Requests the changes since `position` from a source, merges the response and advances `position`. If the servers have
/// differed from the source's for too long, `position` is reset so that the next call takes a snapshot.
pub async fn follow_once(
    view: &ClusterView,
    source: &RpcClient,
    position: &mut ReplicationPosition,
    options: FollowOptions,
) -> FollowResult {
    let requested = view.now();
    let is_session = options.member.is_some();
    let within = Duration::from_millis(u64::from(options.hold_ms)) + CALL_GRACE;
    let request = follow_request(view, position, options);
    let response = source.call(call::FOLLOW, request.encode_to_vec(), within).await;
    let response = response.ok().filter(|bytes| !bytes.is_empty());
    let Some(update) = response.and_then(|bytes| StateUpdate::decode(bytes).ok()) else {
        return FollowResult::NoResponse;
    };
    *position = ReplicationPosition { epoch: update.epoch, seen: update.seen };
    let (confirmed_ago, limiters) = (update.confirmed_ago, update.limiters);
    // The digests are not compared with a source that sends none or is itself behind.
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
    // A process in touch with the majority receives observations through its session with the core.
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
