//! An owner's record of each tenant's quota: a leaky bucket over the admissions of all limiters. No I/O; the current time is a
//! parameter.
//!
//! A bucket is stored as its backlog, the time in which it would drain at the quota's rate (GCRA), so that it stays valid when
//! the rate changes or the share of a quota that is given out.
//!
//! An owner never assumes that a quota it has no record of is unused. A new bucket starts as full as it can have been left
//! when this limiter became its owner, and limiters report the backlog that they last received.

use crate::counter_owner::owner_of;
use crate::quota_credit::Report;
use oatbank_limiter_core::interface::{CustomerId, Millis};
use std::collections::{HashMap, VecDeque};

/// Maximum difference between limiters in the time at which they see a change of owners, ms. Reports may arrive this long
/// before this limiter sees that it owns a bucket, or after it sees that it no longer does.
const VIEW_LAG: Millis = 1000.0;
/// How long former owners are remembered, ms: longer than any bucket takes to drain.
const FORMER_OWNER_RETENTION: Millis = 30_000.0;
/// Time without reports after which an empty bucket is removed, ms: longer than the quota window.
const IDLE: Millis = 10_000.0;
/// Width of the intervals in which the admissions of the last window are summed, ms.
const PART_WIDTH: Millis = 250.0;
/// Limit on the backlog that a report may set, in bursts. It bounds how long admissions beyond a quota have to be paid back.
const MAX_BACKLOG_BURSTS: f64 = 5.0;

/// Bounds on a tenant's admissions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaBounds {
    /// Rate that all limiters together give out, requests per second.
    pub rate: f64,
    /// Burst that may be given out at once, requests.
    pub burst: f64,
    /// Requests that each limiter may admit ahead of the owner's answer; may be a fraction.
    pub credit: f64,
    /// Number of limiters that share the rate and burst.
    pub limiters: f64,
    /// Most requests that may be reported to the owner in a window.
    pub reported: f64,
    /// Length of the quota window, ms.
    pub window: Millis,
}

impl QuotaBounds {
    /// Time that this number of requests takes at the quota's rate, ms.
    pub fn time_of(&self, requests: f64) -> Millis {
        requests * 1000.0 / self.rate.max(f64::MIN_POSITIVE)
    }

    /// Each limiter's share of the burst that is left at a backlog, requests.
    pub fn shared_burst(&self, backlog: Millis) -> f64 {
        let left = (self.burst - backlog * self.rate / 1000.0).max(0.0);
        left / self.limiters.max(1.0)
    }
}

/// One tenant's bucket.
#[derive(Debug, Default)]
struct Bucket {
    /// Time to drain as of `at`, ms.
    backlog: Millis,
    at: Millis,
    /// Admissions of the last window, summed by the interval in which they were reported.
    reported: VecDeque<ReportedPart>,
}

/// Sum of admissions reported in one interval of [`PART_WIDTH`].
#[derive(Debug)]
struct ReportedPart {
    /// Start of the interval, ms.
    from: Millis,
    /// Number of reported admissions.
    requests: f64,
    /// [`QuotaBounds::reported`] at that time: a bound that was lowered takes effect one window later.
    allowed: f64,
}

impl Bucket {
    fn leak(&mut self, now: Millis) {
        self.backlog = (self.backlog - (now - self.at).max(0.0)).max(0.0);
        self.at = self.at.max(now);
    }

    /// Records reported admissions and returns how many of them exceed the window's bound.
    fn note(&mut self, now: Millis, requests: f64, bounds: &QuotaBounds) -> f64 {
        let from = (now / PART_WIDTH).floor() * PART_WIDTH;
        match self.reported.back_mut().filter(|part| part.from >= from) {
            Some(part) => {
                part.requests += requests;
                part.allowed = part.allowed.max(bounds.reported);
            }
            None => self.reported.push_back(ReportedPart { from, requests, allowed: bounds.reported }),
        }
        // Only intervals that lie completely within the window: counting more would raise false alarms.
        while self.reported.front().is_some_and(|part| part.from < now - bounds.window) {
            self.reported.pop_front();
        }
        let sum: f64 = self.reported.iter().map(|part| part.requests).sum();
        let allowed = self.reported.iter().map(|part| part.allowed).fold(0.0, f64::max);
        (sum - allowed).clamp(0.0, requests.max(0.0))
    }
}

/// Buckets of the tenants whose counters this limiter owns.
#[derive(Debug)]
pub struct OwnedBacklogs {
    own_name: String,
    /// Sorted names of the limiters that own counters; empty until first set.
    owners: Vec<String>,
    buckets: HashMap<CustomerId, Bucket>,
    /// Since when this limiter has counted together with the others, ms.
    since: Millis,
    /// Limiters that ceased to own counters, with the time. This limiter may have taken over their tenants.
    former_owners: Vec<(Millis, Vec<String>)>,
    forgotten_at: Millis,
    overrun: f64,
}

impl OwnedBacklogs {
    /// Creates an empty set for the limiter of this name, which starts now.
    pub fn new(now: Millis, own_name: String) -> Self {
        let (owners, buckets, former_owners) = Default::default();
        OwnedBacklogs {
            own_name,
            owners,
            buckets,
            since: now,
            former_owners,
            forgotten_at: now,
            overrun: 0.0,
        }
    }

    fn is_own(&self, tenant: CustomerId) -> bool {
        owner_of(tenant.0, self.owners.iter().map(String::as_str)) == Some(&self.own_name)
    }

    /// Whether the tenant has a bucket. If not, [`Self::set_owners`] has to be called before [`Self::report`].
    pub fn contains(&self, tenant: CustomerId) -> bool {
        self.buckets.contains_key(&tenant)
    }

    /// Since when this limiter has owned a tenant's counters, ms; `now` if other limiters already take it for the owner but its
    /// own view does not.
    fn owned_since(&self, now: Millis, tenant: CustomerId) -> Millis {
        if !self.owners.is_empty() && !self.is_own(tenant) {
            return now;
        }
        let preceded = |names: &Vec<String>| {
            let mut names = names.iter().map(String::as_str);
            names.any(|name| owner_of(tenant.0, [name, &self.own_name].into_iter()) == Some(name))
        };
        let taken_over = self.former_owners.iter().rev().find(|(_, names)| preceded(names));
        taken_over.map_or(self.since, |(at, _)| self.since.max(*at))
    }

    /// Records a limiter's report. Returns the resulting backlog, ms, and how many of the waiting requests are granted.
    pub fn report(
        &mut self,
        now: Millis,
        tenant: CustomerId,
        report: Report,
        bounds: &QuotaBounds,
    ) -> (Millis, u32) {
        self.forget_idle(now);
        if !self.buckets.contains_key(&tenant) {
            // A previous owner may have left the bucket full; it has leaked since.
            let backlog = (bounds.time_of(bounds.burst) - (now - self.owned_since(now, tenant))).max(0.0);
            self.buckets.insert(tenant, Bucket { backlog, at: now, ..Bucket::default() });
        }
        let bucket = self.buckets.entry(tenant).or_default();
        bucket.leak(now);
        let max_backlog = MAX_BACKLOG_BURSTS * bounds.time_of(bounds.burst);
        let admitted = f64::from(report.admitted);
        bucket.backlog =
            bucket.backlog.max(f64::from(report.backlog).min(max_backlog)) + bounds.time_of(admitted);
        let room = (bounds.burst - bucket.backlog * bounds.rate / 1000.0).max(0.0).floor();
        let granted = room.min(f64::from(report.wanted));
        bucket.backlog += bounds.time_of(granted);
        self.overrun += bucket.note(now, admitted + granted, bounds);
        (bucket.backlog, granted as u32)
    }

    /// Sets the sorted names of the limiters that own counters. Drops buckets that this limiter no longer owns, as their new
    /// owner counts on.
    pub fn set_owners(&mut self, now: Millis, owners: Vec<String>) {
        let before = std::mem::replace(&mut self.owners, owners);
        if before == self.owners || before.is_empty() {
            return;
        }
        let is_alone = |names: &[String]| names == [self.own_name.as_str()];
        if is_alone(&before) || is_alone(&self.owners) {
            // Counts taken alone cover this limiter's share only, not what others admit meanwhile.
            self.buckets.clear();
            self.former_owners.clear();
            self.since = now;
            return;
        }
        let removed: Vec<String> =
            before.iter().filter(|name| self.owners.binary_search(name).is_err()).cloned().collect();
        self.former_owners.retain(|(at, _)| now - at < FORMER_OWNER_RETENTION);
        if !removed.is_empty() {
            self.former_owners.push((now, removed));
        }
        let mut buckets = std::mem::take(&mut self.buckets);
        buckets.retain(|tenant, bucket| {
            let owned_before = owner_of(tenant.0, before.iter().map(String::as_str)) == Some(&self.own_name);
            self.is_own(*tenant) && (owned_before || now - bucket.at <= VIEW_LAG)
        });
        self.buckets = buckets;
    }

    fn forget_idle(&mut self, now: Millis) {
        if now - self.forgotten_at >= IDLE {
            self.forgotten_at = now;
            self.buckets.retain(|_, bucket| now - bucket.at < IDLE + bucket.backlog);
        }
    }

    /// Number of admissions reported beyond a window's bound since the start.
    pub fn overrun(&self) -> f64 {
        self.overrun
    }

    /// Number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

#[cfg(test)]
mod tests;
