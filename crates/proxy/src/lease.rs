//! For how long a limiter may act by what it knows (a lease).

use oatbank_cluster_state::state::Millis;
use oatbank_node_runtime::log;
use oatbank_node_runtime::settings::Bounds;
use std::cell::Cell;

/// Share of `revokeMs` for which a limiter acts by what a majority confirmed. The rest is for a request's way through it.
const LEASE_SHARE: f64 = 0.7;
/// Without leases, a limiter that has just started waits this long for a confirmed edition, ms; then any will do.
const START_PATIENCE: Millis = 2500.0;

/// For how long a limiter may act without a confirmation, if that is limited: revoked keys may have to fail also where
/// updates do not arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// `None`: without limit.
    duration: Option<Millis>,
}

impl Lease {
    /// The lease by the rules' figures.
    pub fn new(bounds: &Bounds) -> Self {
        Lease { duration: bounds.revoked_fail.then_some(bounds.revoke_ms * LEASE_SHARE) }
    }

    /// Whether a limiter may act that was confirmed this long ago.
    pub fn is_valid(&self, confirmed_ago: Option<Millis>) -> bool {
        match self.duration {
            None => true,
            Some(duration) => confirmed_ago.is_some_and(|ago| ago < duration),
        }
    }

    /// Whether a limiter may begin to act that has run for `uptime` and was confirmed this long ago. Its edition never goes
    /// back, so it has to begin with the newest.
    pub fn may_start(&self, uptime: Millis, confirmed_ago: Option<Millis>) -> bool {
        match self.duration {
            None => confirmed_ago.is_some() || uptime >= START_PATIENCE,
            Some(_) => self.is_valid(confirmed_ago),
        }
    }
}

/// Whether a limiter is active: it starts once, and goes on by what it knows while its lease is valid.
#[derive(Debug)]
pub struct LeaseState {
    lease: Lease,
    has_started: Cell<bool>,
}

impl LeaseState {
    /// It has not started.
    pub fn new(lease: Lease) -> Self {
        LeaseState { lease, has_started: Cell::new(false) }
    }

    /// Whether it is active now, after it has run for `uptime` and was confirmed this long ago. It starts only if it `can`.
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
