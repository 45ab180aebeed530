//! Load shedding: sends attempts within the concurrency limit and orders held requests by value.

use super::*;

/// Maximum held requests, as a fraction of the concurrency limit; beyond it the least valuable are refused.
const HELD_SHARE: f64 = 0.5;

impl OpenRequest {
    /// Returns the timeout of an attempt from now: as long as a response may still earn something.
    pub(super) fn time_out(&self, now: Millis) -> Millis {
        let until = if self.class.late_worth > 0.0 { self.ends_at } else { self.due_at };
        (until - now).max(1.0)
    }
}

impl Gateway {
    /// Sends a request's next attempt if the concurrency limit and some server allow it.
    pub(super) fn try_send(&mut self, now: Millis, id: RequestId) -> bool {
        let Some(open) = self.open.remove(&id) else { return false };
        let free = self.stats.out < self.stats.limit.max(1.0) && now >= self.stats.idle_until;
        let chosen = if free { self.choose(now, &open) } else { None };
        let open = self.open.entry(id).or_insert(open);
        let Some(server) = chosen else { return false };
        // While a body is being received, its server is idle: the attempt counts towards concurrency, also of
        // the customer, and its timeout starts once the body is complete.
        let whole = !open.request.uploading;
        let counts = f64::from(u8::from(whole));
        if let Some(s) = self.servers.get_mut(&server) {
            s.out += counts;
            s.tokens -= 1.0;
            s.sent_at = now;
        }
        let timeout = if whole { open.time_out(now) } else { 0.0 };
        self.actions.push(Action::Send { id, server, timeout });
        let first = open.attempts.is_empty();
        open.attempts.push(Attempt { server, sent: now, live: true, may_have_run: true, whole });
        if !whole {
            (open.due_at, open.ends_at) = (f64::INFINITY, f64::INFINITY);
        }
        self.stats.out += counts;
        self.quotas.adjust_open_attempts(open.request.customer, counts);
        if first {
            self.quotas.add(now, open.request.customer, open.request.units, !open.beyond);
            let (earn, most) = (
                setting_or(self.set.retry_ratio, RETRY_RATIO),
                setting_or(self.set.retry_burst, RETRY_BURST),
            );
            self.stats.retries = (self.stats.retries + earn).min(most);
            let fade = (-(now - self.stats.sent_at).max(0.0) / 2000.0).exp();
            self.stats.send_rate = self.stats.send_rate * fade + 1.0 / 2000.0;
            self.stats.sent_at = now;
        }
        true
    }

    /// Sends held requests, most valuable first, and refuses those that can no longer meet their target.
    pub(super) fn serve_held(&mut self, now: Millis) {
        let mut order: Vec<(f64, RequestId)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            let Some(open) = self.open.get(&id) else { continue };
            let mean = self.mean(open);
            if open.due_at - now < 2.0 * mean + 2.0 * TICK {
                self.reject(now, id);
                continue;
            }
            let price = self.set.plans.get(open.request.plan.0).map_or(1.0, |p| p.price);
            let worth = open.class.worth * price * open.request.units / mean.max(1.0);
            // Newer requests first among equals: under overload the oldest would just miss their target.
            order.push((worth * (1.2 - (now - open.quota.arrived) / (open.due_at - open.quota.arrived)), id));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        for (place, (_, id)) in order.into_iter().enumerate() {
            if (!self.stats.subset || self.stats.out >= self.stats.limit)
                && place as f64 > HELD_SHARE * self.stats.limit
            {
                self.reject(now, id);
            } else if self.open.get(&id).is_some_and(|o| o.attempts.is_empty()) {
                self.decide(now, id);
            } else if !self.try_send(now, id) {
                self.hold(id);
            }
        }
    }
}
