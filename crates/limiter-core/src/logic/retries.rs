//! Ends of attempts, the concurrency limit, retries, hedging and final responses.

use super::*;

/// Hedging delay as a multiple of the mean response time; long enough to hedge only lost attempts.
const HEDGE_AFTER: f64 = 8.0;
/// Mean response time, as a fraction of the target, above which the concurrency limit decreases.
const SLOW_THRESHOLD: f64 = 0.27;
/// Lower bound of the concurrency limit in attempts per server, over all gateways.
const MIN_LIMIT: f64 = 2.0;

impl Gateway {
    /// Starts the time limits of a request whose body has been sent completely.
    pub(super) fn body_sent(&mut self, now: Millis, id: RequestId, attempt: u8) {
        let Some(open) = self.open.get_mut(&id).filter(|o| o.ends_at == f64::INFINITY) else { return };
        let Some(a) = open.attempts.get_mut(usize::from(attempt)).filter(|a| a.live && !a.whole) else {
            return;
        };
        (a.whole, a.sent) = (true, now);
        let server = a.server;
        let left = open.request.time_left;
        (open.due_at, open.ends_at) = (now + open.class.target.min(left), now + left);
        let (timeout, customer) = (open.time_out(now), open.request.customer);
        self.actions.push(Action::Await { id, attempt, timeout });
        self.count_out(customer, server);
    }

    /// Counts an attempt in progress for its customer, its server and this gateway.
    pub(super) fn count_out(&mut self, customer: CustomerId, server: ServerId) {
        self.quotas.adjust_open_attempts(customer, 1.0);
        if let Some(s) = self.servers.get_mut(&server) {
            s.out += 1.0;
        }
        self.stats.out += 1.0;
    }

    /// Adjusts the outcome of an attempt that ended before its body was complete: it did not count towards
    /// concurrency, says nothing about the server's speed, and was executed only if servers start early.
    pub(super) fn adjust_early_end(
        &mut self,
        id: RequestId,
        attempt: u8,
        server: ServerId,
        outcome: Outcome,
    ) -> Outcome {
        let attempt_of = |open: &OpenRequest| open.attempts.get(usize::from(attempt)).copied();
        let is_early = |open: &&OpenRequest| attempt_of(open).is_some_and(|a| !a.whole && a.live);
        let Some(open) = self.open.get(&id).filter(is_early) else { return outcome };
        // The common handling of ended attempts subtracts it again.
        self.count_out(open.request.customer, server);
        match outcome {
            Outcome::Cancelled | Outcome::TimedOut if self.set.starts_early => Outcome::Cancelled,
            Outcome::Cancelled | Outcome::TimedOut => Outcome::NotSent,
            outcome => outcome,
        }
    }

    /// Handles the end of an attempt: adapts the concurrency limit, then retries or answers the request.
    pub(super) fn attempt_ended(
        &mut self,
        now: Millis,
        id: RequestId,
        attempt: u8,
        outcome: Outcome,
        complete: bool,
    ) {
        self.stats.out = (self.stats.out - 1.0).max(0.0);
        let Some(open) = self.open.get_mut(&id) else { return };
        // A cold server is slow without a queue, so its response times are scaled before the limit sees them.
        let at = open.attempts.get(usize::from(attempt)).and_then(|a| self.servers.get(&a.server));
        let warmth = at.map_or(1.0, |s| Self::warmth(&self.set, now, s));
        let Some(a) = open.attempts.get_mut(usize::from(attempt)) else { return };
        let took = (now - a.sent) * warmth;
        a.live = false;
        a.may_have_run = !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        self.quotas.adjust_open_attempts(open.request.customer, -1.0);
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            let ratio = (took / open.class.target.max(1.0)).min(2.0);
            let (gain, step) = if self.stats.subset { (0.1, 0.05) } else { (0.03, 0.01) };
            self.stats.slowness += gain * (ratio - self.stats.slowness);
            if let Some(mean) = self.class_mean.get_mut(open.request.class.0) {
                *mean += 0.03 * (took - *mean);
            }
            if self.stats.slowness > setting_or(self.set.slow_threshold, SLOW_THRESHOLD) {
                // Below the floor slowness has other causes than our queue; a lower limit only serves less.
                let floor = MIN_LIMIT * self.servers.len() as f64 / self.set.gateways.max(1.0);
                let floor = if self.stats.subset { floor } else { floor.max(2.0) }.max(self.set.min_limit);
                self.stats.limit = (self.stats.limit * (1.0 - step)).max(floor);
            } else if self.stats.subset && self.stats.out + 1.0 > 0.6 * self.stats.limit {
                let most = START_LIMIT * self.servers.len() as f64 / self.set.gateways.max(1.0);
                self.stats.limit = (self.stats.limit * (1.0 + step)).min(most.max(self.set.min_limit));
            } else if self.stats.out > 0.6 * self.stats.limit {
                self.stats.limit += 1.0 / self.stats.limit.max(1.0);
            }
            let rest = took * (1.0 / self.stats.limit - 1.0);
            self.stats.idle_until = if rest > 0.0 { now + rest } else { 0.0 };
        }
        let (over, live) = (open.ends_at == f64::NEG_INFINITY, open.attempts.iter().any(|a| a.live));
        if complete || over {
            if !over {
                self.close(id, now);
            } else if !live {
                self.open.remove(&id);
            }
            return;
        }
        if live {
            return;
        }
        // A failed connection loads no server, so its retry is free: an outdated list may cause many of them.
        let price = if outcome == Outcome::ConnectFailed { 0.0 } else { 1.0 };
        let again = outcome != Outcome::Cancelled && self.may_retry(now, id) && self.stats.retries >= price;
        if again && self.try_send(now, id) {
            self.stats.retries -= price;
            return;
        }
        self.reject(now, id);
    }

    /// Whether another attempt is allowed and can still finish within the target.
    pub(super) fn may_retry(&self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let mean = self.mean(open);
        let first_run = open.attempts.iter().filter(|a| a.may_have_run).map(|a| a.sent).next();
        let allowed = match (open.class.repeat, first_run) {
            (_, None) | (Repeat::Safe, _) => true,
            (Repeat::Unsafe, Some(_)) => false,
            (Repeat::Keyed { window, .. }, Some(sent)) => now - sent < window - TICK,
        };
        let attempts_left = open.max_tries == 0 || (open.attempts.len() as u32) < open.max_tries;
        allowed && attempts_left && !open.streaming && !open.not_replayable && open.due_at - now > mean
    }

    /// Sends the final response: refused if the request did not run or may safely be repeated, else failed.
    pub(super) fn reject(&mut self, now: Millis, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let ran = open.attempts.iter().any(|a| a.may_have_run);
        let harmless = match open.class.repeat {
            Repeat::Safe | Repeat::Keyed { group: Group::All, .. } => true,
            _ => !ran,
        };
        let retry_after = self.retry_after_for(open);
        self.held.retain(|h| *h != id);
        if self.close(id, now) {
            self.actions.push(if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) });
        }
    }

    /// Returns the retry-after time: until the quota has refilled, at least a mean response time.
    pub(super) fn retry_after_for(&self, open: &OpenRequest) -> Millis {
        // Without servers response times are no guide; responses faster than a tick would give about 0.
        let least = if self.ready(open.request.allowed_zones).next().is_none() {
            open.class.target
        } else {
            self.mean(open).max(TICK)
        };
        let customer = self.quotas.customers.get(&open.request.customer);
        customer.map_or(0.0, |c| c.refill_time(open.request.units)).max(least).min(self.set.max_retry_after)
    }

    /// Periodic work: restarts the timer, reports quota use and sends hedged attempts.
    pub(super) fn tick(&mut self, now: Millis) {
        self.actions.push(Action::Timer { after: TICK, name: 0 });
        self.quotas.tick(now, &mut self.actions);
        let spare = self.stats.out < 0.8 * self.stats.limit && self.set.parallel_tries;
        let hedge_after = setting_or(self.set.hedge_after, HEDGE_AFTER);
        let hedges = self.open.iter().filter(|(_, open)| {
            let late = open.attempts.last().is_some_and(|a| now - a.sent > hedge_after * self.mean(open));
            late && !open.request.uploading
                && open.ends_at > now
                && open.attempts.iter().filter(|a| a.live).count() == 1
        });
        let hedges: Vec<RequestId> = hedges.map(|(id, _)| *id).collect();
        for id in hedges {
            let may = spare && self.stats.retries >= 1.0 && self.may_retry(now, id);
            if may && self.try_send(now, id) {
                self.stats.retries -= 1.0;
            }
        }
    }
}
