//! Synchronization with the counter service: when use is reported, and how totals are applied.

use super::*;

/// Customers checked for removal per tick, which bounds the time of a tick.
const IDLE_BATCH: usize = 32;
/// Lifetime of a counter key, ms; the longest that counter services keep one.
const KEY_TTL: Millis = 60_000.0;
/// Epoch of a sampled customer's key, in windows: long enough to average, short enough to follow spikes.
const SAMPLED_EPOCH: f64 = 1.5;
/// Age up to which a sampled customer's rate is used without waiting for a counter call, ms.
const MAX_RATE_AGE: Millis = 1000.0;
/// Minimum factor on a sampled customer's call probability while the counter is overloaded.
const MIN_CALL_FACTOR: f64 = 0.1;
/// Fraction of the timeout above which a call counts as slow.
const SLOW_CALL: f64 = 0.2;
/// Maximum backoff between calls to a failing counter, ms; its recovery is noticed within this time.
const MAX_BACKOFF: Millis = 800.0;
/// The counter counts as unavailable after a failed call if none succeeded for this long, ms; one that is
/// overloaded or lost a connection still answers other calls.
const OUTAGE_AFTER: Millis = 1000.0;
/// Time after an outage until every gateway has retried and reported its use, ms.
const SETTLE_TIME: Millis = MAX_BACKOFF + STALE;
/// Factors on the pace after a failed and after a fast call, and its maximum. A counter also processes calls
/// that have timed out, so an overloaded one answers almost none in time: they become rarer and larger until
/// about one in twenty fails.
const PACE_UP: f64 = 1.4;
const PACE_DOWN: f64 = 0.98;
const MAX_PACE: f64 = 50.0;
/// Minimum time between two increases of the pace, ms, because calls fail together.
const PACE_STEP: Millis = 200.0;
/// Maximum factor of the pace on sync threshold and interval, which bounds the unreported use.
const PACE_SHARE: f64 = 4.0;

impl CounterCaller {
    /// Returns the maximum age of a read, ms, up to which the use of other gateways is not estimated.
    pub(super) fn max_age(&self, now: Millis) -> Millis {
        match self.unavailable || now < self.settled_at {
            true => 0.0,
            false if self.pace > OVERLOADED => STALE,
            false => f64::INFINITY,
        }
    }
}

impl Quotas {
    /// Reports a sampled customer's request with a probability of about one call per tenth of a window's
    /// units. Returns whether the request should wait for the reply because the last reading is old. Sampling
    /// keeps hundreds of gateways from overloading the counter, also while it is slow, after restarts and for
    /// new customers, at the price of noise in the totals.
    pub(super) fn sample(&mut self, now: Millis, request: &QuotaRequest, actions: &mut Vec<Action>) -> bool {
        let (customer, units) = (request.customer, request.units);
        let random = self.chance();
        let counting = self.set.counter && now >= self.caller.after;
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.sampled && counting) else {
            return false;
        };
        let span = (SAMPLED_EPOCH * c.window()).min(EPOCH);
        let epoch = (now / span).floor();
        let old = c.reading.is_none_or(|(at, _)| now - at > MAX_RATE_AGE);
        let most = c.plan.burst.max(c.demand(now) * c.window() / 1000.0);
        let chance = (units / (SYNC_SHARE * most)).min(1.0)
            * (1.0 / c.pace(now, self.caller.pace)).max(MIN_CALL_FACTOR);
        let t = &mut c.syncs[ACCEPTED];
        if t.in_flight.is_some() {
            t.pending += units;
            return old;
        }
        if random >= chance {
            return false;
        }
        if t.epoch != epoch as i64 {
            (t.epoch, t.total, t.read_at) = (epoch as i64, 0.0, epoch * span);
        }
        let add = std::mem::take(&mut t.pending) + units / chance;
        t.in_flight = Some(add);
        let name = counter_key(customer, ACCEPTED, t.epoch);
        self.calls.insert(name, (customer, ACCEPTED));
        actions.push(Action::Count { name, add, ttl: KEY_TTL });
        old
    }

    /// Reports a customer's new use to the counter, if due. The first call also reads the use of others;
    /// while the counter is overloaded, it is delayed until the customer's use is significant.
    pub(super) fn sync(&mut self, now: Millis, customer: CustomerId, actions: &mut Vec<Action>) {
        if !self.set.counter || now < self.caller.after {
            return;
        }
        let epoch = (now / EPOCH).floor() as i64;
        let Some(c) = self.customers.get_mut(&customer).filter(|c| c.plan.rate > 0.0 && !c.sampled) else {
            self.unreported.remove(&customer);
            return;
        };
        let new = c.syncs[ACCEPTED].pending + c.syncs[DECLINED].pending;
        let (pace, share) =
            (c.pace(now, self.caller.pace), setting_or(self.set.sync_share, SYNC_SHARE) * c.plan.burst);
        let first = !c.was_read && c.syncs[ACCEPTED].in_flight.is_none() && new >= (pace - 1.0) * share;
        let waited = now - c.last_sync;
        let every = setting_or(self.set.sync_every, SYNC_EVERY);
        let flush = waited >= (every + setting_or(self.set.flush_after, FLUSH_AFTER)) * pace;
        let least = if flush { 0.0 } else { share * pace.min(PACE_SHARE) };
        let due = new > 0.0 && new >= least && waited >= every * pace.min(PACE_SHARE);
        if !(first || due) {
            if new <= 0.0 && !c.call_pending() {
                self.unreported.remove(&customer);
            }
            return;
        }
        // All keys expire together: an overloaded counter gets final reads only of customers near their
        // quota.
        for kind in [ACCEPTED, DECLINED] {
            let t = &mut c.syncs[kind];
            if t.in_flight.is_some() || kind == DECLINED && (t.pending <= 0.0 || t.pending < least || !due) {
                continue;
            }
            if t.epoch != epoch {
                let old = counter_key(customer, kind, t.epoch);
                if !first && t.closing.is_none() && pace <= OVERLOADED {
                    t.closing = Some((old, t.total));
                    self.calls.insert(old, (customer, kind));
                    actions.push(Action::Count { name: old, add: 0.0, ttl: KEY_TTL });
                }
                (t.epoch, t.total, t.unacked) = (epoch, 0.0, 0.0);
            }
            let add = std::mem::take(&mut t.pending);
            t.in_flight = Some(add);
            let name = counter_key(customer, kind, epoch);
            self.calls.insert(name, (customer, kind));
            actions.push(Action::Count { name, add, ttl: KEY_TTL });
            c.last_sync = now;
        }
    }

    /// Handles the end of a counter call; `total` is used only with [`Outcome::Ok`].
    pub fn handle_reply(&mut self, now: Millis, name: CountName, outcome: Outcome, took: Millis, total: f64) {
        let ok = outcome == Outcome::Ok;
        let slow = took > SLOW_CALL * self.set.counter_timeout;
        let caller = &mut self.caller;
        if ok {
            if caller.unavailable && caller.ok_at > 0.0 {
                caller.settled_at = now + (now - caller.ok_at - OUTAGE_AFTER).min(SETTLE_TIME);
            }
            (caller.pause, caller.after, caller.ok_at, caller.unavailable) = (0.0, 0.0, now, false);
            caller.pace *= if slow { 1.0 } else { PACE_DOWN };
        } else if outcome != Outcome::Reset && now - caller.paced_at >= PACE_STEP {
            // A call lost with its connection does not indicate an overloaded counter.
            (caller.pace, caller.paced_at) = (caller.pace * PACE_UP, now);
        }
        caller.pace = caller.pace.clamp(1.0, MAX_PACE);
        if !ok && now - caller.ok_at >= OUTAGE_AFTER {
            caller.unavailable = true;
            if now >= caller.after {
                caller.pause = (caller.pause * 2.0).max(self.set.counter_timeout).min(MAX_BACKOFF);
                caller.after = now + caller.pause;
            }
        }
        let settled = now >= caller.settled_at;
        let Some((customer, kind)) = self.calls.remove(&name) else { return };
        let Some(c) = self.customers.get_mut(&customer) else { return };
        if c.sampled {
            let own = c.syncs[ACCEPTED].in_flight.take().unwrap_or(0.0);
            if ok {
                c.apply_sample(now, total, own);
            }
            return;
        }
        self.unreported.insert(customer);
        c.advance(now, self.part);
        c.was_read = true;
        if c.syncs[kind].closing.is_some_and(|(n, _)| n == name) {
            let Some((_, last)) = c.syncs[kind].closing.take() else { return };
            if ok {
                let since = c.syncs[kind].read_at;
                c.spread_rise(now, kind, (total - last).max(0.0), since, settled);
            }
        } else if ok {
            c.read(now, kind, total, settled);
        } else {
            // In an outage, units that left the window are dropped; reported later, they would look current.
            let own = if kind == ACCEPTED { c.counts.own() } else { c.counts.units(kind) };
            let kept = if self.caller.unavailable { own } else { f64::INFINITY };
            let t = &mut c.syncs[kind];
            let sent = t.in_flight.take().unwrap_or(0.0);
            (t.pending, t.unacked) = (t.pending.min(kept), t.unacked.min(kept));
            let unsure = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
            *if unsure { &mut t.unacked } else { &mut t.pending } += sent;
        }
    }

    /// Periodic work, to be called about every 20 ms: reports due use and drops idle customers.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.forget(now);
        for id in self.unreported.iter().copied().collect::<Vec<_>>() {
            self.sync(now, id, actions);
        }
    }

    /// Drops idle customers, one batch per call.
    fn forget(&mut self, now: Millis) {
        let batch: Vec<CustomerId> =
            self.customers.range(self.cursor..).take(IDLE_BATCH).map(|(id, _)| *id).collect();
        self.cursor = CustomerId(batch.last().filter(|_| batch.len() == IDLE_BATCH).map_or(0, |id| id.0 + 1));
        for id in batch {
            if self.customers.get(&id).is_some_and(|c| c.is_idle(now)) {
                self.customers.remove(&id);
                self.unreported.remove(&id);
            }
        }
    }
}
