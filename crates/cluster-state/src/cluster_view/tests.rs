//! Tests of the parent module.

use super::*;
use crate::clock::MonotonicClock;
use crate::messages::FollowRequest;
use std::net::Ipv4Addr;

#[test]
fn followers_hear_of_the_core_once_and_never_of_an_older_one() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let (one, two) = (
        ClusterView::new(MonotonicClock::start(), 1500.0),
        ClusterView::new(MonotonicClock::start(), 1500.0),
    );
    let ips = |last: u8| (1..=last).map(|n| Ipv4Addr::new(10, 0, 0, n));
    let tell = |from: &ClusterView, to: &ClusterView| {
        let follow = FollowRequest { core: to.core_version(), ..FollowRequest::default() };
        let update = runtime.block_on(from.answer_follow(follow));
        let has_core = update.core.is_some();
        to.apply_update(to.now(), update);
        has_core
    };
    assert!(!tell(&one, &two));
    one.set_core_members(1, ips(3));
    assert!(tell(&one, &two) && !tell(&one, &two));
    one.set_core_members(7, ips(5));
    assert!(!tell(&two, &one) && tell(&one, &two));
    two.set_core_members(6, ips(2));
    assert_eq!(two.core_addresses(), ips(5).collect::<Vec<_>>());
}
