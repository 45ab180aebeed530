//! One zone's way out and back.

use crate::{Millis, ReductionCause};

/// Between two steps out, ms: a decision, and what comes of it seen.
pub const STEP_OUT: Millis = 1500;
/// Between two steps back, ms.
pub const STEP_BACK: Millis = 2000;
/// A zone that was left is not tried for this long, ms; twice as long after each return that failed, up to the other.
pub const HOLD: Millis = 5000;
/// See [`HOLD`].
pub const MOST_HOLD: Millis = 300_000;
/// A zone that has been whole for this long, ms, has its failed returns forgotten.
const FORGIVEN: Millis = 60_000;
/// Each step back uses so much more.
const GROW: f64 = 2.0;
/// A step is judged by so many attempts at least.
const ENOUGH: f64 = 10.0;
/// Standard deviations by which a step must be worse than what is no matter.
const DOUBT: f64 = 1.96;
/// Without them, and without a failure, it goes on after so many steps' time: whoever sends nothing risks nothing.
const PATIENCE: Millis = 5;

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
pub struct Sight {
    /// It fails.
    pub fails: bool,
    /// Attempts since the last step, and the part of them that failed.
    pub tries: f64,
    /// See `tries`.
    pub bad: f64,
    /// Failures up to this part are no matter.
    pub sound: f64,
    /// What the others do not bear, as a part of this zone.
    pub stays: f64,
    /// As much of it as its servers bear should they be cold still; 1 once they are warm.
    pub cold_most: f64,
    /// The others serve well.
    pub others_well: bool,
}

/// One zone's course. What it wants used is [`ZoneFailover::share`]; the fleet decides it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneFailover {
    phase: Phase,
    share: f64,
    order: Option<(Order, Millis, f64)>,
    stepped: Millis,
    /// Returns that failed in a row.
    failed: u32,
    /// Its last step was one back.
    sinking: bool,
    /// Since when it is used again.
    back_since: Option<Millis>,
    /// The first step back.
    first: f64,
    seed: u64,
}

impl ZoneFailover {
    /// Of a zone that is wholly used, in a fleet of so many limiters: the first step back lets one of them to each server.
    pub fn new(limiters: usize, seed: u64) -> ZoneFailover {
        let first = (1.0 / limiters.max(1) as f64).min(0.25);
        ZoneFailover {
            phase: Phase::Used,
            share: 1.0,
            order: None,
            stepped: 0,
            failed: 0,
            sinking: false,
            back_since: None,
            first,
            seed,
        }
    }

    /// Of one of which the fleet uses less already, as another limiter has led it so far.
    pub fn taken_over(mut self, now: Millis, share: f64, by: ReductionCause) -> ZoneFailover {
        (self.share, self.stepped) = (share, now);
        match by {
            ReductionCause::Staff => self.order = Some((Order::Hold, now, share)),
            ReductionCause::Evidence => {
                // It may have been left just now.
                let until = now + self.hold();
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
    pub(crate) fn back_since(&self) -> Option<Millis> {
        self.back_since
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
    pub fn ordered(&mut self, now: Millis, order: Option<Order>) {
        self.order = order.map(|order| (order, now, self.share));
        self.stepped = now;
        if order.is_none() && self.share < 1.0 {
            self.phase = if self.share <= 0.0 { Phase::Out(now) } else { Phase::Returning };
        }
    }

    /// How long it is held out: longer after each return that failed, and not the same for all zones.
    fn hold(&self) -> Millis {
        let long = HOLD.saturating_mul(1 << self.failed.min(16)).min(MOST_HOLD);
        let mut x = self.seed ^ u64::from(self.failed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ x >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
        long * 4 / 5 + (x >> 33) % (long * 2 / 5).max(1)
    }

    fn step(&mut self, now: Millis, share: f64) -> bool {
        let changed = share != self.share;
        self.back_since = match share > 0.0 {
            true if self.share <= 0.0 => Some(now),
            true => self.back_since,
            false => None,
        };
        (self.share, self.stepped) = (share, now);
        changed
    }

    /// Time has passed, and this is seen; whether another share is wanted.
    pub fn next(&mut self, now: Millis, sight: &Sight) -> bool {
        if let Some((order, since, from)) = self.order {
            return self.obey(now, order, since, from);
        }
        match self.phase {
            Phase::Used if sight.fails => self.leave(now, sight),
            Phase::Used => {
                if self.failed > 0 && now.saturating_sub(self.stepped) >= FORGIVEN {
                    self.failed = 0;
                }
                false
            }
            Phase::Leaving => self.leaving(now, sight),
            // Where the others fail too there is nothing to wait for.
            Phase::Out(until) if now >= until || !sight.others_well => {
                self.sinking = false;
                self.phase = Phase::Returning;
                self.step(now, self.first)
            }
            Phase::Out(_) => false,
            Phase::Returning => self.returning(now, sight),
        }
    }

    fn leave(&mut self, now: Millis, sight: &Sight) -> bool {
        self.phase = Phase::Leaving;
        let share = sight.stays.min(self.share);
        if share <= 0.0 {
            self.phase = Phase::Out(now + self.hold());
        }
        self.step(now, share)
    }

    fn leaving(&mut self, now: Millis, sight: &Sight) -> bool {
        if now.saturating_sub(self.stepped) < STEP_OUT {
            return false;
        }
        if !sight.fails && sight.tries >= ENOUGH && fine(sight) {
            // It is back in the middle of it.
            self.phase = Phase::Returning;
            return false;
        }
        // Where the others topple nothing more is moved.
        sight.fails && sight.others_well && sight.stays < self.share && self.leave(now, sight)
    }

    fn returning(&mut self, now: Millis, sight: &Sight) -> bool {
        let tried = sight.tries >= ENOUGH && fine(sight);
        if sight.fails || broken(sight) {
            // Steps back in a row are one return that failed.
            self.failed += u32::from(!std::mem::replace(&mut self.sinking, true));
            let back = self.share / GROW;
            if sight.fails || back < self.first {
                self.phase = Phase::Out(now + self.hold());
                return self.step(now, 0.0);
            }
            // One step, and a longer look.
            let changed = self.step(now, back);
            self.stepped = now + self.hold() / 2;
            return changed;
        }
        let past = now.saturating_sub(self.stepped);
        if past < STEP_BACK || !tried && (sight.bad > 0.0 || past < PATIENCE * STEP_BACK) {
            return false;
        }
        // A server that has just started is spared, whoever lets it be used.
        let share = (self.share * GROW).min(1.0).min(sight.cold_most.max(self.first));
        if share <= self.share {
            return false;
        }
        self.sinking = false;
        if share >= 1.0 {
            self.phase = Phase::Used;
        }
        self.step(now, share)
    }

    fn obey(&mut self, now: Millis, order: Order, since: Millis, from: f64) -> bool {
        let past = now.saturating_sub(since);
        match order {
            Order::Hold => false,
            Order::Leave(over) => {
                self.phase = Phase::Leaving;
                // In quarters: each is a change that all limiters take.
                let part = if over == 0 { 1.0 } else { (past as f64 / over as f64).min(1.0) };
                let share = from * (1.0 - (part * 4.0).floor() / 4.0);
                share < self.share && self.step(now, share)
            }
            Order::Return if self.share >= 1.0 => {
                (self.phase, self.order) = (Phase::Used, None);
                false
            }
            Order::Return => {
                self.phase = Phase::Returning;
                let waits = now.saturating_sub(self.stepped) < STEP_BACK && self.share > 0.0;
                let share = (self.share * GROW).max(self.first).min(1.0);
                !waits && self.step(now, share)
            }
        }
    }
}

fn limit(sight: &Sight) -> f64 {
    (2.0 * sight.sound).max(0.05)
}

fn fine(sight: &Sight) -> bool {
    sight.bad / sight.tries.max(1.0) <= limit(sight)
}

/// More fails than an accident explains: the lower end of Wilson's interval, so that few tries tell little, and many soon.
/// Limiters send little to servers that failed them, so that many may never come.
fn broken(sight: &Sight) -> bool {
    let (n, p) = (sight.tries.max(1.0), sight.bad / sight.tries.max(1.0));
    let z2 = DOUBT * DOUBT;
    let middle = p + z2 / (2.0 * n);
    let wide = DOUBT * (p * (1.0 - p) / n + z2 / (4.0 * n * n)).sqrt();
    sight.bad >= 2.0 && (middle - wide) / (1.0 + z2 / n) > limit(sight)
}

#[cfg(test)]
mod tests;
