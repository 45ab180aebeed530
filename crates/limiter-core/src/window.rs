//! Sliding-window counter made of buckets. The caller chooses the widths of the window and of a bucket.

use crate::interface::Millis;
use std::collections::VecDeque;

/// Counts of one bucket.
#[derive(Clone, Copy, Default)]
struct Bucket {
    index: i64,
    /// Units of this gateway.
    own: f64,
    /// Units of all gateways by kind, observed or estimated.
    seen: [f64; 2],
    /// Part of `seen` that is an estimate, until the next read of the counter.
    estimated: [f64; 2],
}

/// Counts of accepted and declined units by time.
#[derive(Default)]
pub(crate) struct Window {
    buckets: VecDeque<Bucket>,
}

impl Window {
    /// Drops the buckets that began at or before `from`.
    pub(crate) fn drop_before(&mut self, from: Millis, width: Millis) {
        let first = (from / width).floor() as i64;
        while self.buckets.front().is_some_and(|b| b.index <= first) {
            self.buckets.pop_front();
        }
    }

    /// Adds `units` of one kind at time `at`, `own` of them by this gateway.
    pub(crate) fn add(&mut self, at: Millis, width: Millis, kind: usize, units: f64, own: f64) {
        let bucket = self.bucket(at, width);
        bucket.seen[kind] += units;
        bucket.own += own;
    }

    /// Adds estimated units of one kind, which [`Window::remove_estimates`] removes.
    pub(crate) fn add_estimate(&mut self, at: Millis, width: Millis, kind: usize, units: f64) {
        let bucket = self.bucket(at, width);
        bucket.seen[kind] += units;
        bucket.estimated[kind] += units;
    }

    /// Removes the estimated units of one kind and returns their sum.
    pub(crate) fn remove_estimates(&mut self, kind: usize) -> f64 {
        let mut taken = 0.0;
        for bucket in &mut self.buckets {
            let estimated = std::mem::take(&mut bucket.estimated[kind]);
            bucket.seen[kind] -= estimated;
            taken += estimated;
        }
        taken
    }

    fn bucket(&mut self, at: Millis, width: Millis) -> &mut Bucket {
        let index = (at / width).floor() as i64;
        let place = self.buckets.partition_point(|b| b.index < index);
        if self.buckets.get(place).is_none_or(|b| b.index != index) {
            self.buckets.insert(place, Bucket { index, ..Bucket::default() });
        }
        &mut self.buckets[place]
    }

    /// Returns the units of one kind in the window.
    pub(crate) fn units(&self, kind: usize) -> f64 {
        self.buckets.iter().map(|b| b.seen[kind]).sum()
    }

    /// Returns the units of both kinds in the window.
    pub(crate) fn total(&self) -> f64 {
        self.units(0) + self.units(1)
    }

    /// Returns this gateway's units in the window.
    pub(crate) fn own(&self) -> f64 {
        self.buckets.iter().map(|b| b.own).sum()
    }

    /// Returns the units of both kinds in the buckets that began after `from`.
    pub(crate) fn since(&self, from: Millis, width: Millis) -> f64 {
        let first = (from / width).floor() as i64;
        self.buckets.iter().filter(|b| b.index > first).map(|b| b.seen[0] + b.seen[1]).sum()
    }
}
