//! Tests of the parent module.

use super::*;
use crate::clock::MonotonicClock;
use crate::messages::FollowRequest;
use std::net::Ipv4Addr;

#[test]
fn core_membership_is_sent_once_and_never_replaced_by_an_older_one() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let (source, follower) = (
        ClusterView::new(MonotonicClock::start(), 1500.0),
        ClusterView::new(MonotonicClock::start(), 1500.0),
    );
    let ips = |last: u8| (1..=last).map(|n| Ipv4Addr::new(10, 0, 0, n));
    let replicate = |from: &ClusterView, to: &ClusterView| {
        let follow = FollowRequest { core: to.core_version(), ..FollowRequest::default() };
        let update = runtime.block_on(from.answer_follow(follow));
        let has_core = update.core.is_some();
        to.apply_update(to.now(), update);
        has_core
    };
    assert!(!replicate(&source, &follower));
    source.set_core_members(1, ips(3));
    assert!(replicate(&source, &follower) && !replicate(&source, &follower));
    source.set_core_members(7, ips(5));
    assert!(!replicate(&follower, &source) && replicate(&source, &follower));
    follower.set_core_members(6, ips(2));
    assert_eq!(follower.core_addresses(), ips(5).collect::<Vec<_>>());
}
