//! The shared counter: what is told it and when, and what its totals say.

use super::*;

/// Customers looked at for that in one housekeeping: however many there are, it takes no longer.
const IDLE_BATCH: usize = 32;
/// Life of a counter name, ms: the longest that counters keep one.
const NAME_TTL: Millis = 60_000.0;
/// Span of a thin customer's counter name, in windows: long enough to average, short enough to follow spikes.
const THIN_EPOCH: f64 = 1.5;
/// A thin customer's rate read within this, ms, is used as it is; after it, a call is waited for.
const FRESH: Millis = 1000.0;
/// Least chance of a thin customer's call, however crowded the counter is.
const CALL_LEAST: f64 = 0.1;
/// A call is slow past this share of its time-out.
const SLOW_CALL: f64 = 0.2;
/// Longest pause between calls to a failing counter, ms: it is noticed again within this.
const MAX_BACKOFF: Millis = 800.0;
/// The counter is silent once calls have failed and none was answered for this long, ms: one that is crowded
/// or loses a connection still answers others.
const SILENT_AFTER: Millis = 1000.0;
/// After a silence the counter holds what all have used only once each has tried it again and told, ms.
const SETTLE: Millis = MAX_BACKOFF + STALE;
/// Factors of the pace between calls on a failed and on a quick one, and its bound. A counter works on calls
/// that nobody waits for any more, so one that is asked too much answers next to none in time: calls are made
/// rarer and larger until about one in twenty fails.
const PACE_UP: f64 = 1.4;
const PACE_DOWN: f64 = 0.98;
const PACE_MOST: f64 = 50.0;
/// Calls fail together: the pace rises once in this time, ms.
const PACE_STEP: Millis = 200.0;
/// Share of the burst, in SYNC_SHAREs, that is never left untold for the pace.
const PACE_SHARE: f64 = 4.0;

impl Calling {
    /// How old what was read of a customer may be, ms, for the others' use not to be presumed.
    pub(super) fn trusted(&self, now: Millis) -> Millis {
        match self.silent || now < self.settles_at {
            true => 0.0,
            false if self.pace > CROWDED => STALE,
            false => f64::INFINITY,
        }
    }
}

impl Quotas {
    /// Counts a thin customer's request by chance, a call for each tenth of what may be or is asked in a
    /// window: by its answer this request is decided, if what is known is old. The danger is that hundreds
    /// of gateways drown the counter; it covers a slow counter, restarts and new customers, and it hurts
    /// by the noise of what is counted for others.
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

    /// Tells the counter what is new of a customer, if that is due. The first call also reads what others
    /// have told; while the counter is crowded it waits until the customer's use could matter.
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
        // All customers' names end together, so while the counter is crowded only those that may be near
        // their quota are read once more.

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

    /// A call to the counter has ended.
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
            // A call that was lost with its connection tells nothing of how crowded the counter is.
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
            // Through a silence, what has left the window is nobody's concern any more: told at its end, all
            // that each gateway kept would stand for use of the moment.
            let mine = if kind == ACCEPTED { c.counts.mine() } else { c.counts.of(kind) };
            let kept = if self.calling.silent { mine } else { f64::INFINITY };
            let t = &mut c.tallies[kind];
            let sent = t.in_flight.take().unwrap_or(0.0);
            (t.pending, t.doubt) = (t.pending.min(kept), t.doubt.min(kept));
            let unsure = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
            *if unsure { &mut t.doubt } else { &mut t.pending } += sent;
        }
    }

    /// Housekeeping, every 20 ms or so: tells the counter what is due, and forgets who has not come for long.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.forget(now);
        for id in self.untold.iter().copied().collect::<Vec<_>>() {
            self.sync(now, id, actions);
        }
    }

    /// Forgets customers that have not come for long, some at a time.
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
