//! Synchronization with the counter service: when use is reported, and how totals are applied.

use super::*;

/// Customers checked for removal per tick, which bounds the time of a tick.
const IDLE_BATCH: usize = 32;
/// Lifetime of a counter key, ms; the longest that counter services keep one.
const NAME_TTL: Millis = 60_000.0;
/// Epoch of a sampled customer's key, in windows: long enough to average, short enough to follow spikes.
const THIN_EPOCH: f64 = 1.5;
/// Age up to which a sampled customer's rate is used without waiting for a counter call, ms.
const FRESH: Millis = 1000.0;
/// Minimum factor on a sampled customer's call probability while the counter is overloaded.
const CALL_LEAST: f64 = 0.1;
/// Fraction of the timeout above which a call counts as slow.
const SLOW_CALL: f64 = 0.2;
/// Maximum backoff between calls to a failing counter, ms; its recovery is noticed within this time.
const MAX_BACKOFF: Millis = 800.0;
/// The counter counts as unavailable after a failed call if none succeeded for this long, ms; one that is
/// overloaded or lost a connection still answers other calls.
const SILENT_AFTER: Millis = 1000.0;
/// Time after an outage until every gateway has retried and reported its use, ms.
const SETTLE: Millis = MAX_BACKOFF + STALE;
/// Factors on the pace after a failed and after a fast call, and its maximum. A counter also processes calls
/// that have timed out, so an overloaded one answers almost none in time: they become rarer and larger until
/// about one in twenty fails.
const PACE_UP: f64 = 1.4;
const PACE_DOWN: f64 = 0.98;
const PACE_MOST: f64 = 50.0;
/// Minimum time between two increases of the pace, ms, because calls fail together.
const PACE_STEP: Millis = 200.0;
/// Maximum factor of the pace on sync threshold and interval, which bounds the unreported use.
const PACE_SHARE: f64 = 4.0;

impl Calling {
    /// Returns the maximum age of a read, ms, up to which the use of other gateways is not estimated.
    pub(super) fn trusted(&self, now: Millis) -> Millis {
        match self.silent || now < self.settles_at {
            true => 0.0,
            false if self.pace > CROWDED => STALE,
            false => f64::INFINITY,
        }
    }
}

impl Quotas {
    /// Reports a sampled customer's request with a probability of about one call per tenth of a window's
    /// units. Returns whether the request should wait for the reply because the last reading is old. Sampling
    /// keeps hundreds of gateways from overloading the counter, also while it is slow, after restarts and for
    /// new customers, at the price of noise in the totals.
    pub(super) fn ask(&mut self, now: Millis, draw: &QuotaRequest, actions: &mut Vec<Action>) -> bool {
        let (customer, units) = (draw.customer, draw.units);
        let roll = self.chance();
        let counting = self.set.counter && now >= self.calling.after;
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.thin && counting) else { return false };
        let span = (THIN_EPOCH * c.window()).min(EPOCH);
        let epoch = (now / span).floor();
        let old = c.view.is_none_or(|(at, _)| now - at > FRESH);
        let most = c.plan.burst.max(c.habit(now) * c.window() / 1000.0);
        let chance =
            (units / (SYNC_SHARE * most)).min(1.0) * (1.0 / c.pace(now, self.calling.pace)).max(CALL_LEAST);
        let t = &mut c.tallies[ACCEPTED];
        if t.in_flight.is_some() {
            t.pending += units;
            return old;
        }
        if roll >= chance {
            return false;
        }
        if t.epoch != epoch as i64 {
            (t.epoch, t.total, t.read_at) = (epoch as i64, 0.0, epoch * span);
        }
        let add = std::mem::take(&mut t.pending) + units / chance;
        t.in_flight = Some(add);
        let name = count_name(customer, ACCEPTED, t.epoch);
        self.calls.insert(name, (customer, ACCEPTED));
        actions.push(Action::Count { name, add, ttl: NAME_TTL });
        old
    }

    /// Reports a customer's new use to the counter, if due. The first call also reads the use of others;
    /// while the counter is overloaded, it is delayed until the customer's use is significant.
    pub(super) fn sync(&mut self, now: Millis, customer: CustomerId, actions: &mut Vec<Action>) {
        if !self.set.counter || now < self.calling.after {
            return;
        }
        let epoch = (now / EPOCH).floor() as i64;
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.plan.rate > 0.0 && !c.thin) else {
            self.untold.remove(&customer);
            return;
        };
        let new = c.tallies[ACCEPTED].pending + c.tallies[DECLINED].pending;
        let (pace, share) =
            (c.pace(now, self.calling.pace), given(self.set.sync_share, SYNC_SHARE) * c.plan.burst);
        let first = !c.known && c.tallies[ACCEPTED].in_flight.is_none() && new >= (pace - 1.0) * share;
        let waited = now - c.last_sync;
        let every = given(self.set.sync_every, SYNC_EVERY);
        let flush = waited >= (every + given(self.set.flush_after, FLUSH_AFTER)) * pace;
        let least = if flush { 0.0 } else { share * pace.min(PACE_SHARE) };
        let due = new > 0.0 && new >= least && waited >= every * pace.min(PACE_SHARE);
        if !(first || due) {
            if new <= 0.0 && !c.busy() {
                self.untold.remove(&customer);
            }
            return;
        }
        // All keys expire together: an overloaded counter gets final reads only of customers near their
        // quota.
        for kind in [ACCEPTED, DECLINED] {
            let t = &mut c.tallies[kind];
            if t.in_flight.is_some() || kind == DECLINED && (t.pending <= 0.0 || t.pending < least || !due) {
                continue;
            }
            if t.epoch != epoch {
                let old = count_name(customer, kind, t.epoch);
                if !first && t.closing.is_none() && pace <= CROWDED {
                    t.closing = Some((old, t.total));
                    self.calls.insert(old, (customer, kind));
                    actions.push(Action::Count { name: old, add: 0.0, ttl: NAME_TTL });
                }
                (t.epoch, t.total, t.doubt) = (epoch, 0.0, 0.0);
            }
            let add = std::mem::take(&mut t.pending);
            t.in_flight = Some(add);
            let name = count_name(customer, kind, epoch);
            self.calls.insert(name, (customer, kind));
            actions.push(Action::Count { name, add, ttl: NAME_TTL });
            c.last_sync = now;
        }
    }

    /// Handles the end of a counter call; `total` is used only with [`Outcome::Ok`].
    pub fn handle_reply(&mut self, now: Millis, name: CountName, outcome: Outcome, took: Millis, total: f64) {
        let ok = outcome == Outcome::Ok;
        let slow = took > SLOW_CALL * self.set.counter_timeout;
        let calling = &mut self.calling;
        if ok {
            if calling.silent && calling.ok_at > 0.0 {
                calling.settles_at = now + (now - calling.ok_at - SILENT_AFTER).min(SETTLE);
            }
            (calling.pause, calling.after, calling.ok_at, calling.silent) = (0.0, 0.0, now, false);
            calling.pace *= if slow { 1.0 } else { PACE_DOWN };
        } else if outcome != Outcome::Reset && now - calling.paced_at >= PACE_STEP {
            // A call lost with its connection does not indicate an overloaded counter.
            (calling.pace, calling.paced_at) = (calling.pace * PACE_UP, now);
        }
        calling.pace = calling.pace.clamp(1.0, PACE_MOST);
        if !ok && now - calling.ok_at >= SILENT_AFTER {
            calling.silent = true;
            if now >= calling.after {
                calling.pause = (calling.pause * 2.0).max(self.set.counter_timeout).min(MAX_BACKOFF);
                calling.after = now + calling.pause;
            }
        }
        let settled = now >= calling.settles_at;
        let Some((customer, kind)) = self.calls.remove(&name) else { return };
        let Some(c) = self.customers.get_mut(&customer) else { return };
        if c.thin {
            let own = c.tallies[ACCEPTED].in_flight.take().unwrap_or(0.0);
            if ok {
                c.glimpse(now, total, own);
            }
            return;
        }
        self.untold.insert(customer);
        c.age(now, self.part);
        c.known = true;
        if c.tallies[kind].closing.is_some_and(|(n, _)| n == name) {
            let Some((_, last)) = c.tallies[kind].closing.take() else { return };
            if ok {
                let since = c.tallies[kind].read_at;
                c.even_out(now, kind, (total - last).max(0.0), since, settled);
            }
        } else if ok {
            c.read(now, kind, total, settled);
        } else {
            // In an outage, units that left the window are dropped; reported later, they would look current.
            let mine = if kind == ACCEPTED { c.counts.mine() } else { c.counts.of(kind) };
            let kept = if self.calling.silent { mine } else { f64::INFINITY };
            let t = &mut c.tallies[kind];
            let sent = t.in_flight.take().unwrap_or(0.0);
            (t.pending, t.doubt) = (t.pending.min(kept), t.doubt.min(kept));
            let unsure = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
            *if unsure { &mut t.doubt } else { &mut t.pending } += sent;
        }
    }

    /// Periodic work, to be called about every 20 ms: reports due use and drops idle customers.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.forget(now);
        for id in self.untold.iter().copied().collect::<Vec<_>>() {
            self.sync(now, id, actions);
        }
    }

    /// Drops idle customers, one batch per call.
    fn forget(&mut self, now: Millis) {
        let batch: Vec<CustomerId> =
            self.customers.range(self.looked..).take(IDLE_BATCH).map(|(id, _)| *id).collect();
        self.looked = CustomerId(batch.last().filter(|_| batch.len() == IDLE_BATCH).map_or(0, |id| id.0 + 1));
        for id in batch {
            if self.customers.get(&id).is_some_and(|c| c.forgettable(now)) {
                self.customers.remove(&id);
                self.untold.remove(&id);
            }
        }
    }
}
