//! State machine of one zone: leaving it, holding it out of use, and returning to it in steps.

use crate::{Millis, ReductionCause};

/// Time between two steps of leaving, in ms: enough for a decision and for its effect to be observed.
pub const LEAVE_STEP_MS: Millis = 1500;
/// Minimum time between two steps of a return, in ms.
pub const RETURN_STEP_MS: Millis = 2000;
/// Time in ms for which a zone that was left is not retried; doubles after each failed return, up to [`MAX_HOLD_MS`].
pub const MIN_HOLD_MS: Millis = 5000;
/// Upper bound of the hold time, in ms; see [`MIN_HOLD_MS`].
pub const MAX_HOLD_MS: Millis = 300_000;
/// Time in ms of full use after which the count of failed returns is reset.
const BACKOFF_RESET_MS: Millis = 60_000;
/// Factor by which each step of a return increases the share.
const STEP_FACTOR: f64 = 2.0;
/// Minimum number of attempts by which a step is assessed.
const MIN_STEP_ATTEMPTS: f64 = 10.0;
/// Standard score of the confidence interval by which a step must exceed the tolerated failure rate.
const CONFIDENCE_Z: f64 = 1.96;
/// With too few attempts and no failure, the return proceeds after this many step times: without traffic there is no risk.
const IDLE_STEP_FACTOR: Millis = 5;

/// An operator's order for a zone.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Leave the zone, in equal steps over this time in ms.
    Leave(Millis),
    /// Return to full use step by step, regardless of failures.
    Return,
    /// Keep the current share.
    Hold,
}

/// The phase of a zone's failover.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Fully used.
    Used,
    /// The share in use is being reduced.
    Leaving,
    /// Not used before this time.
    Out(Millis),
    /// The share in use is being increased.
    Returning,
}

/// Observations of a zone and of the other zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Whether the zone is found to be failing.
    pub failing: bool,
    /// Attempts since the last step.
    pub attempts: f64,
    /// Failed attempts since the last step.
    pub bad: f64,
    /// Failure rate of the other zones.
    pub baseline: f64,
    /// Share of this zone that exceeds the capacity of the other zones.
    pub required_share: f64,
    /// Largest share that its servers can serve while cold; 1 once they are warm.
    pub cold_limit: f64,
    /// Whether the other zones are healthy.
    pub others_healthy: bool,
}

/// Failover state of one zone. It proposes [`ZoneFailover::share`]; the fleet decides.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailover {
    phase: Phase,
    share: f64,
    order: Option<(Order, Millis, f64)>,
    stepped_at: Millis,
    /// Consecutive failed returns.
    failed_returns: u32,
    /// Whether the last step reduced the share during a return.
    stepping_back: bool,
    /// Start of the current use after a time out of use.
    in_use_since: Option<Millis>,
    /// Share of the first step of a return.
    first_step: f64,
    seed: u64,
}

impl ZoneFailover {
    /// A fully used zone, in a fleet of `limiters` limiters. The first step of a return lets one limiter use each server.
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

    /// Continues from a share that the fleet has already decided under another leader.
    pub fn resume(mut self, now: Millis, share: f64, by: ReductionCause) -> ZoneFailover {
        (self.share, self.stepped_at) = (share, now);
        match by {
            ReductionCause::Staff => self.order = Some((Order::Hold, now, share)),
            ReductionCause::Evidence => {
                // The zone may have been left only just now.
                let until = now + self.hold_time();
                self.phase = if share <= 0.0 { Phase::Out(until) } else { Phase::Returning };
            }
        }
        self
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Start of the current use; `None` if the zone was never out of use, or is now.
    pub(crate) fn in_use_since(&self) -> Option<Millis> {
        self.in_use_since
    }

    /// The proposed share, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The operator's order in force, if any.
    pub fn order(&self) -> Option<Order> {
        self.order.map(|(order, ..)| order)
    }

    /// The reason for the present share.
    pub fn by(&self) -> ReductionCause {
        match self.order {
            Some(_) => ReductionCause::Staff,
            None => ReductionCause::Evidence,
        }
    }

    /// Sets the operator's order. `None` ends it: observations decide again.
    pub fn set_order(&mut self, now: Millis, order: Option<Order>) {
        self.order = order.map(|order| (order, now, self.share));
        self.stepped_at = now;
        if order.is_none() && self.share < 1.0 {
            self.phase = if self.share <= 0.0 { Phase::Out(now) } else { Phase::Returning };
        }
    }

    /// Hold time in ms: doubles after each failed return, with a deterministic jitter of up to 20% either way so that zones
    /// do not return at the same time.
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

    /// Advances the state machine; returns whether the proposed share has changed.
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
            // If the other zones fail too, holding this one out gains nothing.
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
            // The zone has recovered while it was being left.
            self.phase = Phase::Returning;
            return false;
        }
        // No more load is moved while the other zones are failing.
        observation.failing
            && observation.others_healthy
            && observation.required_share < self.share
            && self.start_leaving(now, observation)
    }

    fn continue_returning(&mut self, now: Millis, observation: &Observation) -> bool {
        let tried = observation.attempts >= MIN_STEP_ATTEMPTS && is_tolerated(observation);
        if observation.failing || exceeds_tolerance(observation) {
            // Consecutive reductions count as one failed return.
            self.failed_returns += u32::from(!std::mem::replace(&mut self.stepping_back, true));
            let back = self.share / STEP_FACTOR;
            if observation.failing || back < self.first_step {
                self.phase = Phase::Out(now + self.hold_time());
                return self.set_share(now, 0.0);
            }
            // Goes back one step and waits longer before the next.
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
        // The share is limited while servers may still be cold, whatever the evidence.
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
                // Four steps only: each one is a configuration change on every limiter.
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

/// The failure rate that is tolerated during a return.
fn tolerated_rate(observation: &Observation) -> f64 {
    (2.0 * observation.baseline).max(0.05)
}

/// Whether the failure rate since the last step is tolerated.
fn is_tolerated(observation: &Observation) -> bool {
    observation.bad / observation.attempts.max(1.0) <= tolerated_rate(observation)
}

/// Whether significantly more attempts fail than tolerated, by the lower bound of the Wilson score interval, which needs a
/// higher failure rate the fewer attempts there are. A fixed minimum of attempts would not do: limiters avoid servers that
/// failed, so it might never be reached.
fn exceeds_tolerance(observation: &Observation) -> bool {
    let (n, p) = (observation.attempts.max(1.0), observation.bad / observation.attempts.max(1.0));
    let z2 = CONFIDENCE_Z * CONFIDENCE_Z;
    let middle = p + z2 / (2.0 * n);
    let wide = CONFIDENCE_Z * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
    observation.bad >= 2.0 && (middle - wide) / (1.0 + z2 / n) > tolerated_rate(observation)
}

#[cfg(test)]
mod tests;
