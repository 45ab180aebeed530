//! What a limiter may admit of a tenant's requests before its counter's owner has answered. Pure; the time is handed in.
//!
//! Each limiter has credit for a few requests, or a fraction of one. Admissions use it up, the owner's answer to their report gives it
//! back. Where it does not reach, the owner is asked first: what it grants is charged to its bucket already. While the owner is
//! silent, credit comes back at this limiter's part of the quota's rate alone.
//!
//! So however long an owner takes, is away or is cut off, a window T sees at most R·T + B + `limiters`·`credit` with rate R and burst B
//! given out, for which [`crate::quota_plan::bounds`] leaves room. Nothing that is only assumed of an answer's time is part of it.

use crate::quota_backlog::QuotaBounds;
use oatbank_limiter_core::interface::{CustomerId, Millis};
use std::collections::HashMap;

/// An owner that has not answered to anything for this long is silent, ms: longer than an answer may take.
const OWNER_TIMEOUT: Millis = 800.0;
/// A backlog that was received longer ago is not reported to an owner, ms: it has leaked, or another has counted on.
const BACKLOG_MAX_AGE: Millis = 5000.0;
/// What was granted is to be used within this, ms: its request may have been given up.
const GRANT_VALIDITY: Millis = 1000.0;
/// What was not asked for this long is forgotten, ms.
const IDLE: Millis = 30_000.0;

/// What a tenant's credit says of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CreditVerdict {
    /// It may be admitted.
    Granted,
    /// The owner is to be asked first.
    AskOwner,
    /// The quota is used up: when to come back, ms.
    UsedUp(Millis),
}

/// What a limiter tells an owner of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that were admitted since the last report.
    pub admitted: u32,
    /// Requests that wait for its grant.
    pub wanted: u32,
    /// The backlog that is known here, ms; 0 if none is.
    pub backlog: u32,
}

/// A backlog as an owner has told it.
#[derive(Clone, Copy, Debug)]
struct ReceivedBacklog {
    backlog: Millis,
    asked_at: Millis,
    answered_at: Millis,
}

/// One tenant's credit at this limiter.
#[derive(Clone, Debug)]
pub struct TenantCredit {
    /// Admissions to which no owner has answered, as of `outstanding_at`. Below 0 where credit for less than one request has
    /// come back.
    outstanding: f64,
    outstanding_at: Millis,
    /// Of these, not yet reported.
    unreported: f64,
    /// Of these, reported in calls whose answers were lost.
    in_doubt: f64,
    /// Requests for which the owner is still to be asked.
    wanted: u32,
    /// Granted by an owner and not yet used, and when.
    granted: u32,
    granted_at: Millis,
    /// Since when an answer is outstanding and none has come.
    unanswered_since: Option<Millis>,
    received: Option<ReceivedBacklog>,
    limiter_since: Millis,
    /// From 0 to 1: limiters round the same fraction of a request differently, so that their sum is right.
    rounding: f64,
    used_at: Millis,
}

impl TenantCredit {
    /// Nothing is known of the tenant, at a limiter that started at `limiter_since`. `rounding` is drawn from 0 to 1.
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

    /// While the owner is silent, credit comes back at this limiter's part of the rate: nobody else gives that part out.
    fn recover(&mut self, now: Millis, bounds: &QuotaBounds) {
        let timed_out_from = self.unanswered_since.map_or(f64::INFINITY, |since| since + OWNER_TIMEOUT);
        let passed = (now - self.outstanding_at.max(timed_out_from)).max(0.0) / 1000.0;
        self.outstanding_at = now;
        let least = (bounds.credit + self.rounding - 1.0).min(0.0);
        let left = self.outstanding - passed * bounds.rate / bounds.limiters.max(1.0);
        self.outstanding = left.max(least.min(self.outstanding));
    }

    /// Whether this limiter has not yet run for a window.
    fn is_new(&self, now: Millis, bounds: &QuotaBounds) -> bool {
        now - self.limiter_since < bounds.window
    }

    /// Whether one more request may be admitted.
    pub fn check(&mut self, now: Millis, bounds: &QuotaBounds) -> CreditVerdict {
        self.used_at = now;
        if self.granted > 0 && now - self.granted_at <= GRANT_VALIDITY {
            return CreditVerdict::Granted;
        }
        self.granted = 0;
        self.recover(now, bounds);
        // Who has just started knows nothing of the last window, and what it had outstanding before is forgotten.
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

    /// One request was admitted.
    pub fn spend(&mut self) {
        if self.granted > 0 {
            self.granted -= 1;
            return;
        }
        self.unanswered_since.get_or_insert(self.outstanding_at);
        self.outstanding += 1.0;
        self.unreported += 1.0;
    }

    /// One request waits for the owner.
    pub fn want(&mut self) {
        self.unanswered_since.get_or_insert(self.outstanding_at);
        self.wanted += 1;
    }

    /// Whether there is something to tell an owner.
    pub fn has_report(&self) -> bool {
        self.unreported >= 1.0 || self.wanted > 0
    }

    /// Whether that cannot wait for the decision module's own report: an owner that hears of admissions late counts them late.
    pub fn is_report_due(&self, bounds: &QuotaBounds) -> bool {
        self.unreported >= bounds.credit.max(1.0) + 1.0
    }

    /// Takes what is to be told.
    pub fn take_report(&mut self, now: Millis) -> Report {
        let admitted = self.unreported.floor();
        self.unreported -= admitted;
        // From when it was asked for: what an owner hears must not grow on its way there and back.
        let received = self.received.filter(|received| now - received.asked_at < BACKLOG_MAX_AGE);
        let backlog = received.map_or(0.0, |received| received.backlog - (now - received.asked_at)).max(0.0);
        Report {
            admitted: admitted as u32,
            wanted: std::mem::take(&mut self.wanted),
            backlog: backlog as u32,
        }
    }

    /// An owner has answered a report that was sent `took` ago, with its backlog (none: it knows no such tenant) and how many
    /// requests it grants.
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
        // Whether the reports before it had arrived is not known: what is still outstanding of them is reported again.
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

    /// The answer to a report was lost: it may have been received.
    pub fn on_lost(&mut self, report: Report) {
        self.in_doubt += f64::from(report.admitted);
    }

    /// A report was certainly not received: what is still outstanding of it is made again.
    pub fn on_not_sent(&mut self, report: Report) {
        let unreported = self.unreported + f64::from(report.admitted);
        self.unreported = unreported.min(self.outstanding.max(0.0));
    }

    /// Whether nothing is left to remember.
    pub fn is_idle(&self, now: Millis) -> bool {
        now - self.used_at > IDLE
    }

    /// Admissions to which no owner has answered.
    pub fn outstanding(&self) -> f64 {
        self.outstanding.max(0.0)
    }
}

/// The credit of all tenants at this limiter, and what bounds each.
#[derive(Debug)]
pub struct TenantCredits {
    started_at: Millis,
    bounds: HashMap<CustomerId, QuotaBounds>,
    credits: HashMap<CustomerId, TenantCredit>,
    forgotten_at: Millis,
}

impl TenantCredits {
    /// No tenant yet, at a limiter that starts now.
    pub fn new(now: Millis) -> Self {
        let (bounds, credits) = Default::default();
        TenantCredits { started_at: now, bounds, credits, forgotten_at: now }
    }

    /// Sets the bounds, by tenant. What is outstanding stays so.
    pub fn set_bounds(&mut self, bounds: HashMap<CustomerId, QuotaBounds>) {
        self.bounds = bounds;
    }

    /// What bounds a tenant; none: it has no quota, or is not known here.
    pub fn bounds(&self, tenant: CustomerId) -> Option<QuotaBounds> {
        self.bounds.get(&tenant).copied()
    }

    /// Whether one more request of a tenant may be admitted. `rounding` is drawn from 0 to 1 for one that is not known yet.
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

    /// One request of a tenant was admitted; whether that is to be reported at once.
    pub fn spend(&mut self, tenant: CustomerId) -> bool {
        let (credit, bounds) = (self.credits.get_mut(&tenant), self.bounds.get(&tenant));
        let Some((credit, bounds)) = credit.zip(bounds) else { return false };
        credit.spend();
        credit.is_report_due(bounds)
    }

    /// The credit of a tenant, if it was ever used.
    pub fn of(&mut self, tenant: CustomerId) -> Option<&mut TenantCredit> {
        self.credits.get_mut(&tenant)
    }

    fn forget_idle(&mut self, now: Millis) {
        if now - self.forgotten_at >= IDLE {
            self.forgotten_at = now;
            self.credits.retain(|_, credit| !credit.is_idle(now));
        }
    }

    /// Admissions to which no owner has answered, over all tenants.
    pub fn outstanding(&self) -> f64 {
        self.credits.values().map(TenantCredit::outstanding).sum()
    }
}

#[cfg(test)]
mod tests;
