//! One zone's way out and back.

use crate::{Millis, ReductionCause};

/// Between two steps out, ms: a decision, and what comes of it seen.
pub const LEAVE_STEP_MS: Millis = 1500;
/// Between two steps back, ms.
pub const RETURN_STEP_MS: Millis = 2000;
/// A zone that was left is not tried for this long, ms; twice as long after each return that failed, up to the other.
pub const MIN_HOLD_MS: Millis = 5000;
/// See [`HOLD`].
pub const MAX_HOLD_MS: Millis = 300_000;
/// A zone that has been whole for this long, ms, has its failed returns forgotten.
const BACKOFF_RESET_MS: Millis = 60_000;
/// Each step back uses so much more.
const STEP_FACTOR: f64 = 2.0;
/// A step is judged by so many attempts at least.
const MIN_STEP_ATTEMPTS: f64 = 10.0;
/// Standard deviations by which a step must be worse than what is no matter.
const CONFIDENCE_Z: f64 = 1.96;
/// Without them, and without a failure, it goes on after so many steps' time: whoever sends nothing risks nothing.
const IDLE_STEP_FACTOR: Millis = 5;

/// What staff want.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// To leave it, evenly over this, ms.
    Leave(Millis),
    /// To use it wholly again, step by step, whatever is seen.
    Return,
    /// To use as much as now.
    Hold,
}

/// Where a zone stands.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Wholly used.
    Used,
    /// Less and less is used.
    Leaving,
    /// Nothing is used before this.
    Out(Millis),
    /// More and more is used.
    Returning,
}

/// What is seen of it, and of the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// It fails.
    pub failing: bool,
    /// Attempts since the last step, and the part of them that failed.
    pub attempts: f64,
    /// See `tries`.
    pub bad: f64,
    /// Failures up to this part are no matter.
    pub baseline: f64,
    /// What the others do not bear, as a part of this zone.
    pub required_share: f64,
    /// As much of it as its servers bear should they be cold still; 1 once they are warm.
    pub cold_limit: f64,
    /// The others serve well.
    pub others_healthy: bool,
}

/// One zone's course. What it wants used is [`ZoneFailover::share`]; the fleet decides it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailover {
    phase: Phase,
    share: f64,
    order: Option<(Order, Millis, f64)>,
    stepped_at: Millis,
    /// Returns that failed in a row.
    failed_returns: u32,
    /// Its last step was one back.
    stepping_back: bool,
    /// Since when it is used again.
    in_use_since: Option<Millis>,
    /// The first step back.
    first_step: f64,
    seed: u64,
}

impl ZoneFailover {
    /// Of a zone that is wholly used, in a fleet of so many limiters: the first step back lets one of them to each server.
    pub fn new(limiters: usize, seed: u64) -> ZoneFailover {
        let first_step = (1.0 / limiters.max(1) as f64).min(0.25);
        ZoneFailover {
            phase: Phase::Used,
            share: 1.0,
            order: None,
            stepped_at: 0,
            failed_returns: 0,
            stepping_back: false,
            in_use_since: None,
            first_step,
            seed,
        }
    }

    /// Of one of which the fleet uses less already, as another limiter has led it so far.
    pub fn resume(mut self, now: Millis, share: f64, by: ReductionCause) -> ZoneFailover {
        (self.share, self.stepped_at) = (share, now);
        match by {
            ReductionCause::Staff => self.order = Some((Order::Hold, now, share)),
            ReductionCause::Evidence => {
                // It may have been left just now.
                let until = now + self.hold_time();
                self.phase = if share <= 0.0 { Phase::Out(until) } else { Phase::Returning };
            }
        }
        self
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Since when it is used again, while it comes back.
    pub(crate) fn in_use_since(&self) -> Option<Millis> {
        self.in_use_since
    }

    /// How much of it is to be used.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// What staff want of it.
    pub fn order(&self) -> Option<Order> {
        self.order.map(|(order, ..)| order)
    }

    /// Why less than all of it is used.
    pub fn by(&self) -> ReductionCause {
        match self.order {
            Some(_) => ReductionCause::Staff,
            None => ReductionCause::Evidence,
        }
    }

    /// Staff order something; nothing: their order is over, and what is seen counts again.
    pub fn set_order(&mut self, now: Millis, order: Option<Order>) {
        self.order = order.map(|order| (order, now, self.share));
        self.stepped_at = now;
        if order.is_none() && self.share < 1.0 {
            self.phase = if self.share <= 0.0 { Phase::Out(now) } else { Phase::Returning };
        }
    }

    /// How long it is held out: longer after each return that failed, and not the same for all zones.
    fn hold_time(&self) -> Millis {
        let long = MIN_HOLD_MS.saturating_mul(1 << self.failed_returns.min(16)).min(MAX_HOLD_MS);
        let mut x = self.seed ^ u64::from(self.failed_returns).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ x >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
        long * 4 / 5 + (x >> 33) % (long * 2 / 5).max(1)
    }

    fn set_share(&mut self, now: Millis, share: f64) -> bool {
        let changed = share != self.share;
        self.in_use_since = match share > 0.0 {
            true if self.share <= 0.0 => Some(now),
            true => self.in_use_since,
            false => None,
        };
        (self.share, self.stepped_at) = (share, now);
        changed
    }

    /// Time has passed, and this is seen; whether another share is wanted.
    pub fn update(&mut self, now: Millis, observation: &Observation) -> bool {
        if let Some((order, since, from)) = self.order {
            return self.follow_order(now, order, since, from);
        }
        match self.phase {
            Phase::Used if observation.failing => self.start_leaving(now, observation),
            Phase::Used => {
                if self.failed_returns > 0 && now.saturating_sub(self.stepped_at) >= BACKOFF_RESET_MS {
                    self.failed_returns = 0;
                }
                false
            }
            Phase::Leaving => self.continue_leaving(now, observation),
            // Where the others fail too there is nothing to wait for.
            Phase::Out(until) if now >= until || !observation.others_healthy => {
                self.stepping_back = false;
                self.phase = Phase::Returning;
                self.set_share(now, self.first_step)
            }
            Phase::Out(_) => false,
            Phase::Returning => self.continue_returning(now, observation),
        }
    }

    fn start_leaving(&mut self, now: Millis, observation: &Observation) -> bool {
        self.phase = Phase::Leaving;
        let share = observation.required_share.min(self.share);
        if share <= 0.0 {
            self.phase = Phase::Out(now + self.hold_time());
        }
        self.set_share(now, share)
    }

    fn continue_leaving(&mut self, now: Millis, observation: &Observation) -> bool {
        if now.saturating_sub(self.stepped_at) < LEAVE_STEP_MS {
            return false;
        }
        if !observation.failing && observation.attempts >= MIN_STEP_ATTEMPTS && is_tolerated(observation) {
            // It is back in the middle of it.
            self.phase = Phase::Returning;
            return false;
        }
        // Where the others topple nothing more is moved.
        observation.failing
            && observation.others_healthy
            && observation.required_share < self.share
            && self.start_leaving(now, observation)
    }

    fn continue_returning(&mut self, now: Millis, observation: &Observation) -> bool {
        let tried = observation.attempts >= MIN_STEP_ATTEMPTS && is_tolerated(observation);
        if observation.failing || exceeds_tolerance(observation) {
            // Steps back in a row are one return that failed.
            self.failed_returns += u32::from(!std::mem::replace(&mut self.stepping_back, true));
            let back = self.share / STEP_FACTOR;
            if observation.failing || back < self.first_step {
                self.phase = Phase::Out(now + self.hold_time());
                return self.set_share(now, 0.0);
            }
            // One step, and a longer look.
            let changed = self.set_share(now, back);
            self.stepped_at = now + self.hold_time() / 2;
            return changed;
        }
        let elapsed = now.saturating_sub(self.stepped_at);
        if elapsed < RETURN_STEP_MS
            || !tried && (observation.bad > 0.0 || elapsed < IDLE_STEP_FACTOR * RETURN_STEP_MS)
        {
            return false;
        }
        // A server that has just started is spared, whoever lets it be used.
        let share = (self.share * STEP_FACTOR).min(1.0).min(observation.cold_limit.max(self.first_step));
        if share <= self.share {
            return false;
        }
        self.stepping_back = false;
        if share >= 1.0 {
            self.phase = Phase::Used;
        }
        self.set_share(now, share)
    }

    fn follow_order(&mut self, now: Millis, order: Order, since: Millis, from: f64) -> bool {
        let elapsed = now.saturating_sub(since);
        match order {
            Order::Hold => false,
            Order::Leave(over) => {
                self.phase = Phase::Leaving;
                // In quarters: each is a change that all limiters take.
                let part = if over == 0 { 1.0 } else { (elapsed as f64 / over as f64).min(1.0) };
                let share = from * (1.0 - (part * 4.0).floor() / 4.0);
                share < self.share && self.set_share(now, share)
            }
            Order::Return if self.share >= 1.0 => {
                (self.phase, self.order) = (Phase::Used, None);
                false
            }
            Order::Return => {
                self.phase = Phase::Returning;
                let waits = now.saturating_sub(self.stepped_at) < RETURN_STEP_MS && self.share > 0.0;
                let share = (self.share * STEP_FACTOR).max(self.first_step).min(1.0);
                !waits && self.set_share(now, share)
            }
        }
    }
}

fn tolerated_rate(observation: &Observation) -> f64 {
    (2.0 * observation.baseline).max(0.05)
}

fn is_tolerated(observation: &Observation) -> bool {
    observation.bad / observation.attempts.max(1.0) <= tolerated_rate(observation)
}

/// More fails than an accident explains: the lower end of Wilson's interval, so that few tries tell little, and many soon.
/// Limiters send little to servers that failed them, so that many may never come.
fn exceeds_tolerance(observation: &Observation) -> bool {
    let (n, p) = (observation.attempts.max(1.0), observation.bad / observation.attempts.max(1.0));
    let z2 = CONFIDENCE_Z * CONFIDENCE_Z;
    let middle = p + z2 / (2.0 * n);
    let wide = CONFIDENCE_Z * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
    observation.bad >= 2.0 && (middle - wide) / (1.0 + z2 / n) > tolerated_rate(observation)
}

#[cfg(test)]
mod tests;
