//! Lease on the confirmed configuration: how long a limiter may act on it without a new confirmation. No I/O.

use oatbank_cluster_state::state::Millis;
use oatbank_node_runtime::log;
use oatbank_node_runtime::settings::Bounds;
use std::cell::Cell;

/// Lease duration as a share of `revokeMs`. The rest is the time that a request spends in the limiter.
const LEASE_SHARE: f64 = 0.7;
/// Without a lease limit, how long a limiter that has just started waits for a confirmed edition before it uses any, ms.
const START_PATIENCE: Millis = 2500.0;

/// Maximum time for which a limiter may act without a confirmation, if there is one: revoked keys may have to be rejected even
/// where updates do not arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// Duration, ms; `None` for no limit.
    duration: Option<Millis>,
}

impl Lease {
    /// Derives the lease from the bounds: limited only if revoked keys must fail.
    pub fn new(bounds: &Bounds) -> Self {
        Lease { duration: bounds.revoked_fail.then_some(bounds.revoke_ms * LEASE_SHARE) }
    }

    /// Whether a limiter may act that was last confirmed this long ago, ms; `None` if never.
    pub fn is_valid(&self, confirmed_ago: Option<Millis>) -> bool {
        match self.duration {
            None => true,
            Some(duration) => confirmed_ago.is_some_and(|ago| ago < duration),
        }
    }

    /// Whether a limiter that has run for `uptime` ms and was last confirmed this long ago may start to act. Editions must not
    /// go back, so it has to start with the newest.
    pub fn may_start(&self, uptime: Millis, confirmed_ago: Option<Millis>) -> bool {
        match self.duration {
            None => confirmed_ago.is_some() || uptime >= START_PATIENCE,
            Some(_) => self.is_valid(confirmed_ago),
        }
    }
}

/// Tracks whether a limiter is active: it starts once and stays active while its lease is valid.
#[derive(Debug)]
pub struct LeaseState {
    lease: Lease,
    has_started: Cell<bool>,
}

impl LeaseState {
    /// Creates the state of a limiter that has not started.
    pub fn new(lease: Lease) -> Self {
        LeaseState { lease, has_started: Cell::new(false) }
    }

    /// Whether the limiter is active after `uptime` ms and the last confirmation this long ago. It starts only if `can` returns
    /// true.
    pub fn is_active(
        &self,
        uptime: Millis,
        confirmed_ago: Option<Millis>,
        can: impl FnOnce() -> bool,
    ) -> bool {
        if !self.has_started.get() && self.lease.may_start(uptime, confirmed_ago) && can() {
            self.has_started.set(true);
            log::info!("proxy: ready");
        }
        self.has_started.get() && self.lease.is_valid(confirmed_ago)
    }
}

#[cfg(test)]
mod tests;
