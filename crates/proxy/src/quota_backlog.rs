//! What an owner keeps of each tenant's quota: a leaky bucket over the admissions of all limiters. Pure; the time is handed in.
//!
//! A bucket is kept as its backlog: the time in which it would be empty at the quota's rate (GCRA). So it stays meaningful when the
//! rate changes, or the part of a quota that is given out.
//!
//! An owner never takes a quota to be unused because it knows nothing of it. A bucket that it meets for the first time is as full
//! as it can have been left when this limiter became its owner, and limiters report the backlog that they have received last.

use crate::counter_owner::owner_of;
use crate::quota_credit::Report;
use oatbank_limiter_core::interface::{CustomerId, Millis};
use std::collections::{HashMap, VecDeque};

/// Reports from limiters that see other owners may come this much sooner than this limiter hears that it owns a bucket, or
/// later than it hears that it does not, ms.
const VIEW_LAG: Millis = 1000.0;
/// Limiters that owned counters and do so no more are remembered for this long, ms: longer than any bucket takes to be empty.
const FORMER_OWNER_RETENTION: Millis = 30_000.0;
/// A bucket that is empty and was not reported to for this long is forgotten, ms: longer than the rule's window.
const IDLE: Millis = 10_000.0;
/// Width of the parts in which the last window of admissions is kept, ms.
const PART_WIDTH: Millis = 250.0;
/// The longest backlog that a report may raise a bucket to, in bursts: what was admitted beyond a quota is owed no longer.
const MAX_BACKLOG_BURSTS: f64 = 5.0;

/// What a tenant's admissions are bounded by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaBounds {
    /// How much is given out in all, requests a second.
    pub rate: f64,
    /// How much of it may be given out at once, requests.
    pub burst: f64,
    /// How much each limiter may admit ahead of the owner's answer, requests; also a fraction of one.
    pub credit: f64,
    /// Limiters that share what is given out.
    pub limiters: f64,
    /// How much may be reported to the owner in a window of the rule, requests.
    pub reported: f64,
    /// The window, ms.
    pub window: Millis,
}

impl QuotaBounds {
    /// How long so many requests take at the quota's rate.
    pub fn time_of(&self, requests: f64) -> Millis {
        requests * 1000.0 / self.rate.max(f64::MIN_POSITIVE)
    }

    /// What is left of the burst at a backlog, for each limiter.
    pub fn shared_burst(&self, backlog: Millis) -> f64 {
        let left = (self.burst - backlog * self.rate / 1000.0).max(0.0);
        left / self.limiters.max(1.0)
    }
}

/// One tenant's bucket.
#[derive(Debug, Default)]
struct Bucket {
    /// As of `at`.
    backlog: Millis,
    at: Millis,
    /// Admissions in the last window, by the part of it in which they were reported.
    reported: VecDeque<ReportedPart>,
}

/// What was reported in a part of a window.
#[derive(Debug)]
struct ReportedPart {
    /// When the part began.
    from: Millis,
    /// Admissions.
    requests: f64,
    /// The most that might then be reported in a window: a lower bound holds one window after it was set.
    allowed: f64,
}

impl Bucket {
    fn leak(&mut self, now: Millis) {
        self.backlog = (self.backlog - (now - self.at).max(0.0)).max(0.0);
        self.at = self.at.max(now);
    }

    /// Notes what was reported, and returns how much of it is beyond what may run in a window.
    fn note(&mut self, now: Millis, requests: f64, bounds: &QuotaBounds) -> f64 {
        let from = (now / PART_WIDTH).floor() * PART_WIDTH;
        match self.reported.back_mut().filter(|part| part.from >= from) {
            Some(part) => {
                part.requests += requests;
                part.allowed = part.allowed.max(bounds.reported);
            }
            None => self.reported.push_back(ReportedPart { from, requests, allowed: bounds.reported }),
        }
        // Whole parts within the window only: what is counted too much would be a false alarm.
        while self.reported.front().is_some_and(|part| part.from < now - bounds.window) {
            self.reported.pop_front();
        }
        let sum: f64 = self.reported.iter().map(|part| part.requests).sum();
        let allowed = self.reported.iter().map(|part| part.allowed).fold(0.0, f64::max);
        (sum - allowed).clamp(0.0, requests.max(0.0))
    }
}

/// The buckets of the tenants that this limiter owns.
#[derive(Debug)]
pub struct OwnedBacklogs {
    own_name: String,
    /// The limiters that own counters as known here; none yet if empty.
    owners: Vec<String>,
    buckets: HashMap<CustomerId, Bucket>,
    /// Since when this limiter counts together with the others.
    since: Millis,
    /// Limiters that owned counters until then; what one of them owned, this one may have taken over.
    former_owners: Vec<(Millis, Vec<String>)>,
    forgotten_at: Millis,
    overrun: f64,
}

impl OwnedBacklogs {
    /// None yet, for the limiter of this name, which starts now.
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

    /// Whether a tenant's bucket is known. Before a report to one that is not, the owners have to be up to date.
    pub fn has(&self, tenant: CustomerId) -> bool {
        self.buckets.contains_key(&tenant)
    }

    /// Since when this limiter has owned a tenant's counters. One that others take for the owner before it does itself begins to
    /// own them now.
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

    /// Takes in a limiter's report; returns the backlog after it, and how many of the requests that wait are granted.
    pub fn report(
        &mut self,
        now: Millis,
        tenant: CustomerId,
        report: Report,
        bounds: &QuotaBounds,
    ) -> (Millis, u32) {
        self.forget_idle(now);
        if !self.buckets.contains_key(&tenant) {
            // Whoever owned it before may have left it full; since then it has leaked.
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

    /// The limiters that own counters are these now: what is not owned any more is forgotten, as another counts on from here.
    pub fn set_owners(&mut self, now: Millis, owners: Vec<String>) {
        let before = std::mem::replace(&mut self.owners, owners);
        if before == self.owners || before.is_empty() {
            return;
        }
        let is_alone = |names: &[String]| names == [self.own_name.as_str()];
        if is_alone(&before) || is_alone(&self.owners) {
            // What it counts alone is its own part, and not what others count meanwhile.
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

    /// How many admissions were reported here beyond what may run in a window, since the start.
    pub fn overrun(&self) -> f64 {
        self.overrun
    }

    /// How many tenants are owned and in use.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

#[cfg(test)]
mod tests;
