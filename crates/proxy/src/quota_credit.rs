//! Bounds what a limiter may admit of a tenant's requests before the owner of the tenant's counter has answered. No I/O; the
//! current time is a parameter.
//!
//! Each limiter has credit for a few requests, or a fraction of one. Admissions use it up and the owner's answer to their
//! report restores it. Without credit, the owner is asked first: its bucket is charged for the requests that it grants. While
//! the owner does not answer, credit recovers only at this limiter's share of the quota's rate.
//!
//! However long an owner is slow, down or unreachable, a window T therefore sees at most R·T + B + `limiters`·`credit` with
//! rate R and burst B given out. [`crate::quota_plan::bounds`] leaves room for that. The bound assumes nothing about the time
//! that an answer takes.

use crate::quota_backlog::QuotaBounds;
use oatbank_limiter_core::interface::{CustomerId, Millis};
use std::collections::HashMap;

/// Time without any answer after which an owner counts as silent, ms: longer than the timeout of a call.
const OWNER_TIMEOUT: Millis = 800.0;
/// Age beyond which a received backlog is not reported to an owner, ms: it has leaked, or another owner has counted on.
const BACKLOG_MAX_AGE: Millis = 5000.0;
/// Lifetime of a grant, ms: the request that asked for it may have been rejected meanwhile.
const GRANT_VALIDITY: Millis = 1000.0;
/// Time without requests after which a tenant's credit is removed, ms.
const IDLE: Millis = 30_000.0;

/// Decision on a request by its tenant's credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CreditVerdict {
    /// The request may be admitted.
    Granted,
    /// The owner has to be asked first.
    AskOwner,
    /// The quota is used up: the time after which to retry, ms.
    UsedUp(Millis),
}

/// A limiter's report on a tenant to the owner of its counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests admitted since the last report.
    pub admitted: u32,
    /// Requests that wait for a grant.
    pub wanted: u32,
    /// The backlog last received from an owner, less what has leaked since, ms; 0 if none is known.
    pub backlog: u32,
}

/// A backlog received from an owner, with the times of its request and answer.
#[derive(Clone, Copy, Debug)]
struct ReceivedBacklog {
    backlog: Millis,
    asked_at: Millis,
    answered_at: Millis,
}

/// One tenant's credit at this limiter.
#[derive(Clone, Debug)]
pub struct TenantCredit {
    /// Admissions that no owner has acknowledged, as of `outstanding_at`. Negative where the recovered credit is less than one
    /// request.
    outstanding: f64,
    outstanding_at: Millis,
    /// Outstanding admissions that have not been reported.
    unreported: f64,
    /// Outstanding admissions reported in calls whose answers were lost.
    in_doubt: f64,
    /// Requests whose grant has not been asked for yet.
    wanted: u32,
    /// Unused grants of an owner; received at `granted_at`.
    granted: u32,
    granted_at: Millis,
    /// Start of the time without any answer to outstanding reports.
    unanswered_since: Option<Millis>,
    received: Option<ReceivedBacklog>,
    limiter_since: Millis,
    /// Rounding offset in [0, 1). Limiters round the same fraction of a request differently, so that the total is correct on
    /// average.
    rounding: f64,
    used_at: Millis,
}

impl TenantCredit {
    /// Creates full credit at a limiter that started at `limiter_since`. `rounding` is a random number in [0, 1).
    pub fn new(now: Millis, limiter_since: Millis, rounding: f64) -> Self {
        TenantCredit {
            limiter_since,
            outstanding: 0.0,
            outstanding_at: now,
            unreported: 0.0,
            in_doubt: 0.0,
            wanted: 0,
            granted: 0,
            granted_at: now,
            unanswered_since: None,
            received: None,
            rounding,
            used_at: now,
        }
    }

    /// Recovers credit at this limiter's share of the rate while the owner is silent: no other limiter gives that share out.
    fn recover(&mut self, now: Millis, bounds: &QuotaBounds) {
        let timed_out_from = self.unanswered_since.map_or(f64::INFINITY, |since| since + OWNER_TIMEOUT);
        let passed = (now - self.outstanding_at.max(timed_out_from)).max(0.0) / 1000.0;
        self.outstanding_at = now;
        let least = (bounds.credit + self.rounding - 1.0).min(0.0);
        let left = self.outstanding - passed * bounds.rate / bounds.limiters.max(1.0);
        self.outstanding = left.max(least.min(self.outstanding));
    }

    /// Whether this limiter has run for less than a window.
    fn is_new(&self, now: Millis, bounds: &QuotaBounds) -> bool {
        now - self.limiter_since < bounds.window
    }

    /// Decides whether one more request may be admitted.
    pub fn check(&mut self, now: Millis, bounds: &QuotaBounds) -> CreditVerdict {
        self.used_at = now;
        if self.granted > 0 && now - self.granted_at <= GRANT_VALIDITY {
            return CreditVerdict::Granted;
        }
        self.granted = 0;
        self.recover(now, bounds);
        // A limiter that has just started does not know the last window, nor what it had outstanding before.
        let mut credit = if self.is_new(now, bounds) {
            bounds.credit.min(1.0)
        } else {
            bounds.credit + bounds.shared_burst(0.0)
        };
        if let Some(received) = self.received {
            let backlog = (received.backlog - (now - received.answered_at)).max(0.0);
            let excess = backlog + bounds.time_of(self.outstanding.max(0.0) + 1.0 - bounds.burst);
            if excess > 0.0 {
                return CreditVerdict::UsedUp(excess);
            }
            credit = bounds.credit + bounds.shared_burst(backlog);
        }
        if self.outstanding + 1.0 > credit + self.rounding {
            return CreditVerdict::AskOwner;
        }
        CreditVerdict::Granted
    }

    /// Charges one admitted request to a grant, or else to the credit.
    pub fn spend(&mut self) {
        if self.granted > 0 {
            self.granted -= 1;
            return;
        }
        self.unanswered_since.get_or_insert(self.outstanding_at);
        self.outstanding += 1.0;
        self.unreported += 1.0;
    }

    /// Adds a request that waits for the owner's grant to the next report.
    pub fn request_grant(&mut self) {
        self.unanswered_since.get_or_insert(self.outstanding_at);
        self.wanted += 1;
    }

    /// Whether there is anything to report to an owner.
    pub fn has_report(&self) -> bool {
        self.unreported >= 1.0 || self.wanted > 0
    }

    /// Whether a report cannot wait for the decision module's next addition: an owner counts admissions only once they are
    /// reported.
    pub fn is_report_due(&self, bounds: &QuotaBounds) -> bool {
        self.unreported >= bounds.credit.max(1.0) + 1.0
    }

    /// Removes and returns the pending report.
    pub fn take_report(&mut self, now: Millis) -> Report {
        let admitted = self.unreported.floor();
        self.unreported -= admitted;
        // Leaks from the time of the request: the reported backlog must not grow by the round trip.
        let received = self.received.filter(|received| now - received.asked_at < BACKLOG_MAX_AGE);
        let backlog = received.map_or(0.0, |received| received.backlog - (now - received.asked_at)).max(0.0);
        Report {
            admitted: admitted as u32,
            wanted: std::mem::take(&mut self.wanted),
            backlog: backlog as u32,
        }
    }

    /// Applies an owner's answer to a report that was sent `took` ms ago: its backlog, `None` if it does not know the tenant,
    /// and the number of granted requests.
    pub fn on_answer(
        &mut self,
        now: Millis,
        took: Millis,
        report: Report,
        backlog: Option<Millis>,
        granted: u32,
    ) {
        if self.outstanding > 0.0 {
            self.outstanding = (self.outstanding - f64::from(report.admitted)).max(0.0);
        }
        // Reports whose answers were lost may not have arrived: their outstanding admissions are reported again.
        let unreported = self.unreported + std::mem::take(&mut self.in_doubt);
        self.unreported = unreported.min(self.outstanding.max(0.0));
        self.unanswered_since = (self.outstanding > 0.0).then_some(now);
        if granted > 0 {
            (self.granted, self.granted_at) = (self.granted + granted, now);
        }
        if let Some(backlog) = backlog {
            self.received = Some(ReceivedBacklog { backlog, asked_at: now - took, answered_at: now });
        }
    }

    /// Marks a report as in doubt: its answer was lost, so it may have been received.
    pub fn on_answer_lost(&mut self, report: Report) {
        self.in_doubt += f64::from(report.admitted);
    }

    /// Returns the still outstanding admissions of a report that certainly was not received to the next report.
    pub fn on_report_not_received(&mut self, report: Report) {
        let unreported = self.unreported + f64::from(report.admitted);
        self.unreported = unreported.min(self.outstanding.max(0.0));
    }

    /// Whether no request has been checked for [`IDLE`].
    pub fn is_idle(&self, now: Millis) -> bool {
        now - self.used_at > IDLE
    }

    /// Number of admissions that no owner has acknowledged.
    pub fn outstanding(&self) -> f64 {
        self.outstanding.max(0.0)
    }
}

/// Credit and bounds of all tenants at this limiter.
#[derive(Debug)]
pub struct TenantCredits {
    started_at: Millis,
    bounds: HashMap<CustomerId, QuotaBounds>,
    credits: HashMap<CustomerId, TenantCredit>,
    forgotten_at: Millis,
}

impl TenantCredits {
    /// Creates an empty set for a limiter that starts now.
    pub fn new(now: Millis) -> Self {
        let (bounds, credits) = Default::default();
        TenantCredits { started_at: now, bounds, credits, forgotten_at: now }
    }

    /// Replaces the bounds of all tenants. Outstanding admissions are kept.
    pub fn set_bounds(&mut self, bounds: HashMap<CustomerId, QuotaBounds>) {
        self.bounds = bounds;
    }

    /// A tenant's bounds; `None` if it has no quota or is unknown here.
    pub fn bounds(&self, tenant: CustomerId) -> Option<QuotaBounds> {
        self.bounds.get(&tenant).copied()
    }

    /// Decides whether one more request of a tenant may be admitted; always if it has no bounds. `rounding` supplies a random
    /// number in [0, 1) for a tenant without credit yet.
    pub fn check(
        &mut self,
        now: Millis,
        tenant: CustomerId,
        rounding: impl FnOnce() -> f64,
    ) -> CreditVerdict {
        self.forget_idle(now);
        let Some(bounds) = self.bounds.get(&tenant) else { return CreditVerdict::Granted };
        let new = || TenantCredit::new(now, self.started_at, rounding());
        let credit = self.credits.entry(tenant).or_insert_with(new);
        credit.check(now, bounds)
    }

    /// Charges one admitted request of a tenant. Returns whether it has to be reported at once.
    pub fn spend(&mut self, tenant: CustomerId) -> bool {
        let (credit, bounds) = (self.credits.get_mut(&tenant), self.bounds.get(&tenant));
        let Some((credit, bounds)) = credit.zip(bounds) else { return false };
        credit.spend();
        credit.is_report_due(bounds)
    }

    /// A tenant's credit, if one of its requests was checked and it is not idle.
    pub fn of(&mut self, tenant: CustomerId) -> Option<&mut TenantCredit> {
        self.credits.get_mut(&tenant)
    }

    fn forget_idle(&mut self, now: Millis) {
        if now - self.forgotten_at >= IDLE {
            self.forgotten_at = now;
            self.credits.retain(|_, credit| !credit.is_idle(now));
        }
    }

    /// Number of admissions that no owner has acknowledged, over all tenants.
    pub fn outstanding(&self) -> f64 {
        self.credits.values().map(TenantCredit::outstanding).sum()
    }
}

#[cfg(test)]
mod tests;
