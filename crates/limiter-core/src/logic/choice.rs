//! Server choice: the list, what is known of each server, and the cheapest.

use super::*;

/// Weight of a new sample in a server's or class's mean answer time: about the last ten.
const MEAN_GAIN: f64 = 0.1;
/// The same where a server is met every few seconds only: its last three answers are all that counts.
const RARE_GAIN: f64 = 0.3;
/// The same for an attempt that was given up.
const LOST_GAIN: f64 = 0.4;
/// A server not heard of drifts back to the fleet's mean with this time constant, ms, so that a slow
/// spell is not remembered for ever.
const FORGET: Millis = 4000.0;
/// And with so many turns of all servers, where these take less time: one that is avoided is heard of again.
const FORGET_TURNS: f64 = 30.0;
/// A gateway keeps to as many servers as it sends requests in this time, ms, or to the least: so it hears of
/// each every few seconds, however many there are.
const SUBSET_SPAN: Millis = 1500.0;
const SUBSET_LEAST: f64 = 8.0;
/// With a subset, what is known of a server is kept this many times longer; reported crowding its square.
const SPARSE_FORGET: f64 = 3.0;
/// Failures in a row that eject a server.
const EJECT_AFTER: u32 = 3;
/// How long answers and failures of a server count, ms: long beside the time in which a gateway meets it.
const FAIL_KEEP: Millis = 20_000.0;
/// Answers that a server is believed to have served well before its first: one failure is no habit yet.
const FAIL_PRIOR: f64 = 2.0;
/// Standard errors within which failures may be an accident, and what each share beyond costs.
const FAIL_SURE: f64 = 1.64;
const FAIL_COST: f64 = 40.0;
/// And the most that they add: one that others cannot stand in for is used all the same.
const FAIL_MOST: f64 = 0.5;
/// First ejection, ms; doubles up to eight times this.
const EJECT_FOR: Millis = 1000.0;
/// A server that turned a request away as full is passed over for this long, ms.
const FULL_PAUSE: Millis = 100.0;
/// That pause is this many times longer where a server is met every few seconds only.
const RARE_PAUSE: f64 = 20.0;
/// Answer times are told apart from here on, ms: below it they are mostly the way there and back.
const LEAST_MEAN: Millis = 1.0;
/// Requests that a server's mean answer time stands on, with MEAN_GAIN: (2 - g) / g.
const SAMPLES: f64 = (2.0 - MEAN_GAIN) / MEAN_GAIN;
/// A server's mean within so many standard errors of the fleet's says nothing of the server.
const NOISE: f64 = 2.0;
/// Cost that a server's last request adds, fading while all others have their turn: equal ones take turns.
/// Less than CROSS_ZONE.
const TURN: f64 = 0.04;
/// A server that was sent nothing for this long, ms, is no dearer for being cold.
const OVERDUE: Millis = 1500.0;
/// The same for chance: gateways are not to take turns in step.
const CHANCE: f64 = 0.06;
/// Cost of another zone beside the near one: a tie-breaker only.
const CROSS_ZONE: f64 = 1.1;

impl Server {
    /// Answers and failures among them as they count by now.
    fn tried(&self, now: Millis) -> (f64, f64) {
        let left = (-(now - self.tried_at).max(0.0) / FAIL_KEEP).exp();
        (self.tried.0 * left, self.tried.1 * left)
    }

    /// Share of its answers that fail and are no accident: the lower end of Wilson's interval.
    fn failing(&self, now: Millis) -> f64 {
        let (answers, failures) = self.tried(now);
        let (n, z) = (answers + FAIL_PRIOR, FAIL_SURE);
        let share = failures / n;
        let middle = share + z * z / (2.0 * n);
        let off = z * ((share * (1.0 - share) + z * z / (4.0 * n)) / n).sqrt();
        ((middle - off) / (1.0 + z * z / n)).max(0.0)
    }
}

impl Gateway {
    pub(super) fn list(&mut self, now: Millis, update: ListUpdate, entries: Vec<ServerEntry>) {
        if update == ListUpdate::Failed {
            self.acts.push(Action::Watch);
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
            let (started, fleet, roll) = (entry.started, self.flow.mean, self.chance());
            let known = self.servers.entry(entry.server).or_default();
            if known.heard == 0.0 || known.entry.started != started {
                // A new process: what was known of the old one is void, but its attempts still end.
                let (out, mean) = (known.out, fleet);
                let sent_at = if self.set.max_cold_rate > 0.0 { known.sent_at } else { 0.0 };
                // Its first token comes to each gateway at another moment: danger is one from all at once.
                let own = Server { out, mean, sent_at, heard: now, ..Server::default() };
                *known = Server { tokens: roll, tokens_at: now, ..own };
            }
            known.entry = entry;
        }
        self.ranked = self.servers.keys().copied().collect();
        let salt = self.salt;
        self.ranked.sort_by_key(|s| (s.0 ^ salt).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29));
        if self.flow.limit <= 0.0 {
            self.flow.limit = START_LIMIT * self.servers.len() as f64 / self.set.gateways.max(1.0);
        }
    }

    /// Share of its full capacity that a server surely has by now.
    pub(super) fn warmth(set: &Settings, now: Millis, server: &Server) -> f64 {
        let age = now - server.entry.started;
        if server.entry.started <= 0.0 || age >= set.warm_after {
            return 1.0;
        }
        set.cold_start + (1.0 - set.cold_start) * (age / set.warm_after).max(0.0)
    }

    /// The cheapest server a request may go to: mean answer time times what is out there already.
    pub(super) fn choose(&mut self, now: Millis, open: &Open) -> Option<ServerId> {
        let ran = open.attempts.iter().find(|a| a.may_have_run).copied();
        let bound = ran.and_then(|a| self.servers.get(&a.server)).map(|s| (s.entry.zone, s.entry.cell));
        let within = open.request.within;
        let (ready, in_reach) = (self.ready(0).count(), self.ready(within).count());
        let sound = |s: &Server| s.ejected_until <= now && (s.fails < EJECT_AFTER || s.out < 1.0);
        let healthy = self.servers.values().filter(|s| s.within(within) && sound(s)).count();
        // Subsetting: danger is that evidence of each server comes too rarely to act on. Of a subset, in an
        // order of this gateway's own, two are compared: all compared would send many gateways to one server
        // at once. It covers every kind of slowness and hurts by uneven shares, which load reports even out.
        let most = (self.flow.send_rate * SUBSET_SPAN).max(given(self.set.min_subset_size, SUBSET_LEAST));
        let size = if self.set.sparse { ready as f64 } else { most };
        let subset = size < ready as f64 || self.set.sparse;
        self.flow.subset = subset;
        // Noise decides nothing: danger is that the server which was luckiest so far gets all, and is the
        // only one that is heard of. What lies beyond it counts from there.
        let fleet = self.flow.mean.max(LEAST_MEAN);
        let noise = NOISE * (self.flow.spread / SAMPLES).sqrt();
        let told = |mean: Millis| match mean.max(LEAST_MEAN) - fleet {
            _ if mean <= 0.0 => fleet,
            off => fleet + (off.abs() - noise).max(0.0).copysign(off),
        };
        let round = ready as f64 / self.flow.send_rate.max(1e-6);
        let keep = (FORGET * if subset { SPARSE_FORGET } else { 1.0 }).min(FORGET_TURNS * round);
        self.flow.keep = keep;
        let warm = |s: &&Server| Self::warmth(&self.set, now, s) >= 1.0;
        let all_warm = || self.servers.values().filter(warm).count().max(1) as f64;
        let rate = self.flow.send_rate;
        let rate_to_warm = if subset { rate / size } else { (rate / all_warm()).max(0.0005) };
        // Several gateways before the same servers divide what a cold one may be sent: each has its bound.
        let cold_most = given(self.set.max_cold_rate / 1000.0, f64::INFINITY);
        let mut able = Vec::new();
        for id in self.ranked.clone() {
            if subset && able.len() as f64 >= size {
                break;
            }
            let roll = self.chance();
            let warmth = Self::warmth(&self.set, now, &self.servers[&id]);
            let Some(s) = self.servers.get_mut(&id) else { continue };
            if s.entry.state != ServerState::Ready || s.paused_until > now || !s.within(within) {
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
            // Ejection holds while half of those in reach are sound; past that, slowness is everyone's and
            // only servers that cannot be reached stay out.
            if !sound(s) && (2 * healthy >= in_reach || s.unreachable) {
                continue;
            }
            if warmth < 1.0 {
                // Slow start: each gateway sends a cold server no more than its own mean rate to a warm one,
                // scaled by the surely present capacity; danger is toppling it, by a burst or together. Half
                // as much again from each of a hundred gateways toppled one by chance.
                let rate = (warmth * rate_to_warm).min(cold_most);
                s.tokens = (s.tokens + (now - s.tokens_at).max(0.0) * rate).min(1.0);
                s.tokens_at = now;
                if s.tokens < 1.0 || (now - s.sent_at) * cold_most < 1.0 {
                    continue;
                }
            }
            // Another zone is dearer only where that is set: it is met the less.
            let usual = if s.entry.zone == self.set.zone { 1.0 } else { CROSS_ZONE };
            let set = self.set.zone_cost.get(usize::from(s.entry.zone)).copied();
            let (zone, rarer) = (set.unwrap_or(usual), set.unwrap_or(1.0));
            able.push(Able { id, warmth, zone, rarer, roll });
        }
        let mut able = self.heed(now, open, able);
        if subset && able.len() > 2 {
            // Cold ones are met as rarely as they are weak: so all gateways together send each its part.
            let first = self.draw(&able);
            let one = able.swap_remove(first);
            let other = able.swap_remove(self.draw(&able));
            able = vec![one, other];
        }
        let slack = if subset { SPARSE_FORGET } else { 1.0 };
        let usual = if subset { self.flow.crowd } else { 0.0 };
        let cost = |able: Able| {
            let s = &self.servers[&able.id];
            let stale = (-(now - s.heard).max(0.0) / keep).exp();
            let mean = fleet + (told(s.mean) - fleet) * stale;
            let fade = (-(now - s.crowd_at).max(0.0) / (FAST_SPAN * slack * slack)).exp();
            let crowd = usual + (s.crowd - usual) * fade;
            let turn = TURN * (-(now - s.sent_at).max(0.0) / round).exp() + CHANCE * able.roll;
            // An attempt that is out for longer says so before it ends; warmth the draw has weighed. A cold
            // one that may be sent something and has had nothing for long has its turn: its tokens are its
            // guard.
            let (mean, warmth) = match subset {
                true => (mean.max(self.longest_out(now, able.id)), 1.0),
                false if now - s.sent_at > OVERDUE => (mean, 1.0),
                false => (mean, able.warmth),
            };
            let failing = 1.0 + (FAIL_COST * s.failing(now)).min(FAIL_MOST);
            (mean * (1.0 + s.out + crowd) * able.zone * (1.0 + turn) * failing / warmth, able.id)
        };
        able.into_iter().map(cost).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// One of those that may be chosen, by chance, as often as it is warm and near.
    pub(super) fn draw(&mut self, able: &[Able]) -> usize {
        let mut left = self.chance() * able.iter().map(|a| a.warmth / a.rarer).sum::<f64>();
        able.iter()
            .position(|a| {
                left -= a.warmth / a.rarer;
                left < 0.0
            })
            .unwrap_or(0)
    }

    pub(super) fn note_load(&mut self, now: Millis, server: ServerId, load: &[f64]) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        for (what, value) in self.set.report.iter().zip(load) {
            let crowd = match what {
                Load::InFlight => value - s.out,
                Load::Queue => *value,
                Load::Util => value.min(0.95) / (1.0 - value.min(0.95)),
                Load::Qps => value * s.mean / 1000.0,
                Load::Latency | Load::Other => continue,
            };
            (s.crowd, s.crowd_at) = (crowd.max(0.0) / 2.0, now);
            self.flow.crowd += MEAN_GAIN * (s.crowd - self.flow.crowd);
        }
    }

    /// Takes the end of an attempt as evidence of its server's health.
    pub(super) fn learn(
        &mut self,
        now: Millis,
        server: ServerId,
        outcome: Outcome,
        took: Millis,
        load: &[f64],
    ) {
        self.note_load(now, server, load);
        let rare = self.flow.subset;
        let warmth = self.servers.get(&server).map_or(1.0, |s| Self::warmth(&self.set, now, s));
        let took = took * warmth;
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.out = (s.out - 1.0).max(0.0);
        if matches!(outcome, Outcome::Ok | Outcome::Error) && warmth >= 1.0 {
            let (answers, failures) = s.tried(now);
            s.tried = (answers + 1.0, failures + f64::from(u8::from(outcome != Outcome::Ok)));
            s.tried_at = now;
        }
        match outcome {
            Outcome::NotSent => return,
            Outcome::Full => s.paused_until = now + FULL_PAUSE * if rare { RARE_PAUSE } else { 1.0 },
            Outcome::Ok => {
                (s.fails, s.ejections, s.unreachable) = (0, 0, false);
                let off = took - self.flow.mean;
                self.flow.mean += if self.flow.mean > 0.0 { 0.02 * off } else { took };
                self.flow.spread += 0.02 * (off * off - self.flow.spread);
            }
            Outcome::Cancelled => {}
            _ => {
                s.unreachable = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
                // A server that fails at once looks quick, and one that is silent costs a whole aim. Where
                // each is met rarely, the first such failure has to do, and the ejection to outlast the time
                // between two requests to it.
                s.fails += if rare && outcome != Outcome::Error { EJECT_AFTER } else { 1 };
                if s.fails >= EJECT_AFTER {
                    let span = EJECT_FOR * if rare { SPARSE_FORGET } else { 1.0 };
                    s.ejected_until = now + span * f64::from(1 << s.ejections.min(3));
                    s.ejections += 1;
                }
            }
        }
        // A call that was given up took at least this long; one that ended early tells nothing of speed.
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut)
            || outcome == Outcome::Cancelled && took > s.mean
        {
            // With few samples an attempt that found no end may be the only sign of a slow server.
            let gain = match outcome {
                Outcome::Ok if rare => RARE_GAIN,
                _ if rare => LOST_GAIN,
                _ => MEAN_GAIN,
            };
            // One answer is no more than one: it neither stands alone nor brings back what was forgotten.
            let (fleet, stale) =
                (self.flow.mean, (-(now - s.heard).max(0.0) / self.flow.keep.max(1.0)).exp());
            let known = if s.mean > 0.0 { fleet + (s.mean - fleet) * stale } else { fleet.max(LEAST_MEAN) };
            s.mean = known + gain * (took - known);
            s.heard = now;
        }
    }
}
