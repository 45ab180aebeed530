//! Server selection: applies the server list, tracks server health and picks the cheapest server.

use super::*;

/// Weight of a new sample in a mean response time; about the last ten count.
const MEAN_GAIN: f64 = 0.1;
/// Weight of a new sample for servers that are contacted every few seconds; about the last three count.
const RARE_GAIN: f64 = 0.3;
/// Weight of an attempt without a response at servers that are contacted rarely.
const TIMEOUT_GAIN: f64 = 0.4;
/// Decay time constant, to the fleet's mean, of a server without samples, ms: slow periods are forgotten.
const MEAN_DECAY: Millis = 4000.0;
/// Upper bound of that time constant in rounds over all servers, so that an avoided server is retried.
const MEAN_DECAY_ROUNDS: f64 = 30.0;
/// A subset has as many servers as the gateway sends requests in this time, ms, or the minimum, so that each
/// is contacted every few seconds in a fleet of any size.
const SUBSET_SPAN: Millis = 1500.0;
const MIN_SUBSET: f64 = 8.0;
/// Factor on the retention of server statistics in a subset; reported load is retained its square longer.
const SUBSET_FACTOR: f64 = 3.0;
/// Consecutive failures that eject a server.
const EJECT_AFTER: u32 = 3;
/// Decay time constant of a server's failure ratio, ms; long beside the time between two requests to it.
const FAILURE_DECAY: Millis = 20_000.0;
/// Successes assumed before a server's first response, so that a single failure weighs little.
const FAILURE_PRIOR: f64 = 2.0;
/// Standard errors within which failures may be random, and the cost factor of the ratio beyond them.
const FAILURE_Z: f64 = 1.64;
const FAILURE_COST: f64 = 40.0;
/// Maximum added cost of failures, so that a server without alternatives is still used.
const MAX_FAILURE_COST: f64 = 0.5;
/// First ejection time, ms; it doubles up to eight times this.
const EJECTION_TIME: Millis = 1000.0;
/// Pause after a server rejected a request as overloaded, ms.
const FULL_PAUSE: Millis = 100.0;
/// Factor on that pause for servers that are contacted every few seconds.
const RARE_PAUSE: f64 = 20.0;
/// Response times below this are not distinguished, ms: they are mostly network time.
const MIN_MEAN: Millis = 1.0;
/// Effective number of samples in a mean response time with gain g = MEAN_GAIN: (2 - g) / g.
const SAMPLES: f64 = (2.0 - MEAN_GAIN) / MEAN_GAIN;
/// A server's mean within this many standard errors of the fleet's is treated as equal to it.
const NOISE: f64 = 2.0;
/// Relative cost of a server's last request, decaying over a round: equal ones rotate. Below CROSS_ZONE's.
const TURN_COST: f64 = 0.04;
/// A cold server that was sent nothing for this long, ms, costs no more than a warm one.
const COLD_IDLE_TIME: Millis = 1500.0;
/// Random relative cost, so that gateways do not rotate in step.
const RANDOM_COST: f64 = 0.06;
/// Cost multiplier of a remote zone; only a tie-breaker.
const CROSS_ZONE: f64 = 1.1;

impl Server {
    /// Returns the decayed numbers of responses and of failures among them.
    fn results(&self, now: Millis) -> (f64, f64) {
        let left = (-(now - self.results_at).max(0.0) / FAILURE_DECAY).exp();
        (self.results.0 * left, self.results.1 * left)
    }

    /// Returns the lower bound of the Wilson score interval of its failure ratio.
    fn failing(&self, now: Millis) -> f64 {
        let (answers, failures) = self.results(now);
        let (n, z) = (answers + FAILURE_PRIOR, FAILURE_Z);
        let share = failures / n;
        let middle = share + z * z / (2.0 * n);
        let off = z * ((share * (1.0 - share) + z * z / (4.0 * n)) / n).sqrt();
        ((middle - off) / (1.0 + z * z / n)).max(0.0)
    }
}

impl Gateway {
    /// Applies a server list update.
    pub(super) fn apply_list(&mut self, now: Millis, update: ListUpdate, entries: Vec<ServerEntry>) {
        if update == ListUpdate::Failed {
            self.actions.push(Action::Watch);
            return;
        }
        if update != ListUpdate::Delta {
            let named: Vec<ServerId> = entries.iter().map(|e| e.server).collect();
            self.servers.retain(|id, _| named.contains(id));
        }
        for entry in entries {
            if entry.state == ServerState::Gone {
                self.servers.remove(&entry.server);
                continue;
            }
            let (started, fleet, random) = (entry.started, self.stats.mean, self.chance());
            let known = self.servers.entry(entry.server).or_default();
            if known.sampled_at == 0.0 || known.entry.started != started {
                // The server restarted: old statistics are invalid, but open attempts will still end.
                let (out, mean) = (known.out, fleet);
                let sent_at = if self.set.max_cold_rate > 0.0 { known.sent_at } else { 0.0 };
                // A random first token, so that the gateways do not all send to it at the same moment.
                let own = Server { out, mean, sent_at, sampled_at: now, ..Server::default() };
                *known = Server { tokens: random, tokens_at: now, ..own };
            }
            known.entry = entry;
        }
        self.server_order = self.servers.keys().copied().collect();
        let salt = self.salt;
        self.server_order.sort_by_key(|s| (s.0 ^ salt).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29));
        if self.stats.limit <= 0.0 {
            self.stats.limit = START_LIMIT * self.servers.len() as f64 / self.set.gateways.max(1.0);
        }
    }

    /// Returns the fraction of its full capacity that a server is certain to have.
    pub(super) fn warmth(set: &Settings, now: Millis, server: &Server) -> f64 {
        let age = now - server.entry.started;
        if server.entry.started <= 0.0 || age >= set.warm_after {
            return 1.0;
        }
        set.cold_start + (1.0 - set.cold_start) * (age / set.warm_after).max(0.0)
    }

    /// Returns the eligible server with the lowest cost: mean response time times load, with corrections.
    pub(super) fn choose(&mut self, now: Millis, open: &OpenRequest) -> Option<ServerId> {
        let ran = open.attempts.iter().find(|a| a.may_have_run).copied();
        let bound = ran.and_then(|a| self.servers.get(&a.server)).map(|s| (s.entry.zone, s.entry.cell));
        let zones = open.request.allowed_zones;
        let (ready, in_reach) = (self.ready(0).count(), self.ready(zones).count());
        let is_healthy = |s: &Server| s.ejected_until <= now && (s.failures < EJECT_AFTER || s.out < 1.0);
        let healthy = self.servers.values().filter(|s| s.is_in(zones) && is_healthy(s)).count();
        // Subsetting: in a large fleet, samples of each server would be too rare to act on. Two servers of
        // the subset, in this gateway's own order, are compared; comparing all would send many gateways to
        // the same server. Shares become uneven, which load reports compensate.
        let most = (self.stats.send_rate * SUBSET_SPAN).max(setting_or(self.set.min_subset_size, MIN_SUBSET));
        let size = if self.set.sparse { ready as f64 } else { most };
        let subset = size < ready as f64 || self.set.sparse;
        self.stats.subset = subset;
        // Differences within the noise are ignored; otherwise the server with the luckiest samples would get
        // all requests and be the only one sampled. Only the excess over the noise counts.
        let fleet = self.stats.mean.max(MIN_MEAN);
        let noise = NOISE * (self.stats.spread / SAMPLES).sqrt();
        let denoised = |mean: Millis| match mean.max(MIN_MEAN) - fleet {
            _ if mean <= 0.0 => fleet,
            off => fleet + (off.abs() - noise).max(0.0).copysign(off),
        };
        let round = ready as f64 / self.stats.send_rate.max(1e-6);
        let decay = (MEAN_DECAY * if subset { SUBSET_FACTOR } else { 1.0 }).min(MEAN_DECAY_ROUNDS * round);
        self.stats.decay = decay;
        let warm = |s: &&Server| Self::warmth(&self.set, now, s) >= 1.0;
        let all_warm = || self.servers.values().filter(warm).count().max(1) as f64;
        let rate = self.stats.send_rate;
        let rate_to_warm = if subset { rate / size } else { (rate / all_warm()).max(0.0005) };
        // All gateways together must not overload a cold server, so each has its own rate limit.
        let cold_most = setting_or(self.set.max_cold_rate / 1000.0, f64::INFINITY);
        let mut candidates = Vec::new();
        for id in self.server_order.clone() {
            if subset && candidates.len() as f64 >= size {
                break;
            }
            let random = self.chance();
            let warmth = Self::warmth(&self.set, now, &self.servers[&id]);
            let Some(s) = self.servers.get_mut(&id) else { continue };
            if s.entry.state != ServerState::Ready || s.paused_until > now || !s.is_in(zones) {
                continue;
            }
            let allowed = match open.class.repeat {
                Repeat::Keyed { group: Group::Zone, .. } => bound.is_some_and(|b| b.0 == s.entry.zone),
                Repeat::Keyed { group: Group::Cell, .. } => bound.is_some_and(|b| b.1 == s.entry.cell),
                repeat => repeat != Repeat::Unsafe,
            };
            if ran.is_some() && !allowed
                || open.attempts.iter().any(|a| a.server == id && (a.live || in_reach > 1))
            {
                continue;
            }
            // Ejection applies while at least half of the servers in reach are healthy; below that the
            // problem is general, and only unreachable servers stay ejected.
            if !is_healthy(s) && (2 * healthy >= in_reach || s.unreachable) {
                continue;
            }
            if warmth < 1.0 {
                // Slow start: each gateway sends a cold server at most its mean rate to a warm one, scaled by
                // the certain capacity, so that neither a burst nor all gateways together overload it. With
                // 1.5 times that rate, a hundred gateways overloaded a server by chance.
                let rate = (warmth * rate_to_warm).min(cold_most);
                s.tokens = (s.tokens + (now - s.tokens_at).max(0.0) * rate).min(1.0);
                s.tokens_at = now;
                if s.tokens < 1.0 || (now - s.sent_at) * cold_most < 1.0 {
                    continue;
                }
            }
            // Only a configured zone cost also reduces the probability of drawing the server.
            let usual = if s.entry.zone == self.set.zone { 1.0 } else { CROSS_ZONE };
            let set = self.set.zone_cost.get(usize::from(s.entry.zone)).copied();
            let (zone, draw_divisor) = (set.unwrap_or(usual), set.unwrap_or(1.0));
            candidates.push(Candidate { id, warmth, zone, draw_divisor, random });
        }
        let mut candidates = self.filter_by_health(now, open, candidates);
        if subset && candidates.len() > 2 {
            // Drawn in proportion to warmth, so that all gateways together match a cold server's capacity.
            let first = self.pick(&candidates);
            let one = candidates.swap_remove(first);
            let other = candidates.swap_remove(self.pick(&candidates));
            candidates = vec![one, other];
        }
        let slack = if subset { SUBSET_FACTOR } else { 1.0 };
        let usual = if subset { self.stats.reported } else { 0.0 };
        let cost = |candidate: Candidate| {
            let s = &self.servers[&candidate.id];
            let stale = (-(now - s.sampled_at).max(0.0) / decay).exp();
            let mean = fleet + (denoised(s.mean) - fleet) * stale;
            let fade = (-(now - s.reported_at).max(0.0) / (FAST_SPAN * slack * slack)).exp();
            let reported = usual + (s.reported - usual) * fade;
            let turn =
                TURN_COST * (-(now - s.sent_at).max(0.0) / round).exp() + RANDOM_COST * candidate.random;
            // In a subset, the age of the oldest open attempt counts before it ends, and the draw has already
            // weighted warmth. An idle cold server costs as much as a warm one, since its tokens protect it.
            let (mean, warmth) = match subset {
                true => (mean.max(self.longest_out(now, candidate.id)), 1.0),
                false if now - s.sent_at > COLD_IDLE_TIME => (mean, 1.0),
                false => (mean, candidate.warmth),
            };
            let failing = 1.0 + (FAILURE_COST * s.failing(now)).min(MAX_FAILURE_COST);
            (mean * (1.0 + s.out + reported) * candidate.zone * (1.0 + turn) * failing / warmth, candidate.id)
        };
        candidates.into_iter().map(cost).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// Draws the index of a candidate with a probability proportional to warmth over zone cost.
    pub(super) fn pick(&mut self, candidates: &[Candidate]) -> usize {
        let mut left = self.chance() * candidates.iter().map(|a| a.warmth / a.draw_divisor).sum::<f64>();
        candidates
            .iter()
            .position(|a| {
                left -= a.warmth / a.draw_divisor;
                left < 0.0
            })
            .unwrap_or(0)
    }

    /// Applies a server's load report.
    pub(super) fn note_load(&mut self, now: Millis, server: ServerId, load: &[f64]) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        for (what, value) in self.set.report.iter().zip(load) {
            let reported = match what {
                Load::InFlight => value - s.out,
                Load::Queue => *value,
                Load::Util => value.min(0.95) / (1.0 - value.min(0.95)),
                Load::Qps => value * s.mean / 1000.0,
                Load::Latency | Load::Other => continue,
            };
            (s.reported, s.reported_at) = (reported.max(0.0) / 2.0, now);
            self.stats.reported += MEAN_GAIN * (s.reported - self.stats.reported);
        }
    }

    /// Updates a server's health and response time from the end of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: Millis,
        server: ServerId,
        outcome: Outcome,
        took: Millis,
        load: &[f64],
    ) {
        self.note_load(now, server, load);
        let rare = self.stats.subset;
        let warmth = self.servers.get(&server).map_or(1.0, |s| Self::warmth(&self.set, now, s));
        let took = took * warmth;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.out = (s.out - 1.0).max(0.0);
        if matches!(outcome, Outcome::Ok | Outcome::Error) && warmth >= 1.0 {
            let (answers, failures) = s.results(now);
            s.results = (answers + 1.0, failures + f64::from(u8::from(outcome != Outcome::Ok)));
            s.results_at = now;
        }
        match outcome {
            Outcome::NotSent => return,
            Outcome::Full => s.paused_until = now + FULL_PAUSE * if rare { RARE_PAUSE } else { 1.0 },
            Outcome::Ok => {
                (s.failures, s.ejections, s.unreachable) = (0, 0, false);
                let off = took - self.stats.mean;
                self.stats.mean += if self.stats.mean > 0.0 { 0.02 * off } else { took };
                self.stats.spread += 0.02 * (off * off - self.stats.spread);
            }
            Outcome::Cancelled => {}
            _ => {
                s.unreachable = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
                // A fast failure looks like a fast server, and a silent one costs a whole target time.
                // Servers contacted rarely are ejected at the first such failure, beyond their next request.
                s.failures += if rare && outcome != Outcome::Error { EJECT_AFTER } else { 1 };
                if s.failures >= EJECT_AFTER {
                    let span = EJECTION_TIME * if rare { SUBSET_FACTOR } else { 1.0 };
                    s.ejected_until = now + span * f64::from(1 << s.ejections.min(3));
                    s.ejections += 1;
                }
            }
        }
        // An abandoned attempt took at least this long; one cancelled early says nothing about speed.
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut)
            || outcome == Outcome::Cancelled && took > s.mean
        {
            // With few samples, an unfinished attempt may be the only sign of a slow server.
            let gain = match outcome {
                Outcome::Ok if rare => RARE_GAIN,
                _ if rare => TIMEOUT_GAIN,
                _ => MEAN_GAIN,
            };
            // A sample updates the decayed mean: it neither replaces it nor restores the decayed part.
            let (fleet, stale) =
                (self.stats.mean, (-(now - s.sampled_at).max(0.0) / self.stats.decay.max(1.0)).exp());
            let known = if s.mean > 0.0 { fleet + (s.mean - fleet) * stale } else { fleet.max(MIN_MEAN) };
            s.mean = known + gain * (took - known);
            s.sampled_at = now;
        }
    }
}
