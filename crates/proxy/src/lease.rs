//! For how long a limiter may act by what it knows.

use oatbank_cluster_state::state::Millis;
use oatbank_node_runtime::log;
use oatbank_node_runtime::settings::Bounds;
use std::cell::Cell;

/// Share of `revokeMs` for which a limiter acts by what a majority confirmed. The rest is for a request's way through it.
const SHARE: f64 = 0.7;
/// Without leases a limiter that has just started waits so long, ms, for a confirmed edition; then any will do.
const PATIENCE: Millis = 2500.0;

/// Whether keys that were taken away must fail where news does not get through, and for how long no news is good news.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// None: for ever.
    span: Option<Millis>,
}

impl Lease {
    /// By the rules' figures.
    pub fn new(bounds: &Bounds) -> Self {
        Lease { span: bounds.revoked_fail.then_some(bounds.revoke_ms * SHARE) }
    }

    /// May a limiter act that was confirmed so long ago?
    pub fn stands(&self, fresh_ago: Option<Millis>) -> bool {
        match self.span {
            None => true,
            Some(span) => fresh_ago.is_some_and(|ago| ago < span),
        }
    }

    /// May a limiter begin that has run for so long and was confirmed so long ago? One life never goes back, so it begins
    /// with the newest.
    pub fn may_begin(&self, ran: Millis, fresh_ago: Option<Millis>) -> bool {
        match self.span {
            None => fresh_ago.is_some() || ran >= PATIENCE,
            Some(_) => self.stands(fresh_ago),
        }
    }
}

/// Whether a limiter acts: it begins once, and goes on by what it knows as long as its lease stands.
#[derive(Debug)]
pub struct Acting {
    lease: Lease,
    began: Cell<bool>,
}

impl Acting {
    /// It has not begun.
    pub fn new(lease: Lease) -> Self {
        Acting { lease, began: Cell::new(false) }
    }

    /// Whether it acts now, after it has run for so long and was confirmed so long ago. It begins only where it `can`.
    pub fn acts(&self, ran: Millis, fresh_ago: Option<Millis>, can: impl FnOnce() -> bool) -> bool {
        if !self.began.get() && self.lease.may_begin(ran, fresh_ago) && can() {
            self.began.set(true);
            log::info!("proxy: ready");
        }
        self.began.get() && self.lease.stands(fresh_ago)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn lease(revoked_fail: bool) -> Lease {
        let text = include_str!("../../node-runtime/tests/node.toml");
        let text = text.replace("revokedFail = false", &format!("revokedFail = {revoked_fail}"));
        Lease::new(&oatbank_node_runtime::settings::Settings::parse(&text).expect("settings").bounds)
    }

    #[test]
    fn a_limiter_that_was_not_confirmed_stops_before_a_key_must_fail() {
        let lease = lease(true);
        assert!(lease.stands(Some(3400.0)) && !lease.stands(Some(3500.0)) && !lease.stands(None));
        assert!(!lease.may_begin(60_000.0, None), "however long it waits");
    }

    #[test]
    fn without_the_rule_it_goes_on_for_ever_but_begins_confirmed_if_it_can() {
        let lease = lease(false);
        assert!(lease.stands(None));
        assert!(
            !lease.may_begin(1000.0, None)
                && lease.may_begin(1000.0, Some(900.0))
                && lease.may_begin(2500.0, None)
        );
    }
}
