//! The times of an agreement. All but [`LeaseTiming::within`] are means; that one is the promise.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Parts in a million.
const MILLION: u64 = 1_000_000;

/// What a limiter does once it cannot know any more that its rules are current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OnLeaseExpiry {
    /// Refuses at once what comes, and says when to come back. Changes go on without it.
    Refuse,
    /// Goes on by the stricter of what it holds and what it has confirmed, for this long (ms), then refuses. No change
    /// is decided without it before that is over, so that it never acts by rules that contradict.
    Strict(Millis),
}

/// The times that all limiters of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long an answer of the decider keeps a limiter's rules current, counted from when it asked.
    pub lease: Millis,
    /// Between two questions of a limiter to the decider.
    pub heartbeat: Millis,
    /// How long a message takes at most where links are well, and how long an attempt that was let go may take to
    /// reach its engine.
    pub message_delay: Millis,
    /// From a decision to its effect, in which the limiters learn of it.
    pub activation_delay: Millis,
    /// How far a clock may run wrong, parts in a million.
    pub drift_ppm: u32,
    /// The stated time: for no longer do two limiters act by rules that contradict each other.
    pub max_divergence: Millis,
    /// What happens at the end of a lease.
    pub on_lapse: OnLeaseExpiry,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming {
            lease: 1000,
            heartbeat: 200,
            message_delay: 200,
            activation_delay: 400,
            drift_ppm: 10_000,
            max_divergence: 2000,
            on_lapse: OnLeaseExpiry::Strict(Millis::MAX),
        }
    }
}

/// A key of the terms whose value breaks the formula.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingError {
    /// The key.
    pub key: &'static str,
    /// What is wrong, and what is allowed.
    pub reason: String,
}

impl LeaseTiming {
    /// What the longest contradiction can come to:
    ///
    /// `lease (1 + drift) + 2 drift effect + message`, up to the next ms.
    ///
    /// After a decision at `d` no answer renews a lease on the old rules without telling of the new, so who does not
    /// hear of it stops by `d + lease (1 + drift)`. Nobody acts by the new before `d + effect (1 - drift)`, and who
    /// hears of it in time switches by `effect (1 + drift)` after that. What was let go by then is with its engine
    /// `message` later.
    pub fn divergence_bound(&self) -> Millis {
        self.stretched_by_drift(self.lease) + 2 * self.drift(self.activation_delay) + self.message_delay
    }

    /// How long after an answer the decider takes its reader for bound by it: longer than the reader does itself, by
    /// both clocks' drift.
    pub fn certain_expiry(&self) -> Millis {
        let strict = match self.on_lapse {
            OnLeaseExpiry::Refuse => 0,
            OnLeaseExpiry::Strict(span) => span,
        };
        self.stretched_by_triple_drift(self.lease.saturating_add(strict))
    }

    /// The same without the time in which its reader acts by stricter rules.
    pub fn lease_expiry(&self) -> Millis {
        self.stretched_by_triple_drift(self.lease)
    }

    fn stretched_by_triple_drift(&self, span: Millis) -> Millis {
        span.saturating_add(3u64.saturating_mul(self.drift(span)))
    }

    /// Checks the formula.
    ///
    /// # Errors
    /// The key to be changed, with what it allows.
    pub fn check(&self) -> Result<(), TimingError> {
        let broken = |key, reason| Err(TimingError { key, reason });
        if self.heartbeat == 0 {
            return broken("heartbeat_ms", "0 is not allowed; a whole number from 1 is".into());
        }
        if self.drift_ppm > 100_000 {
            let reason = format!("{} is not allowed; up to 100000, a tenth, is", self.drift_ppm);
            return broken("drift_ppm", reason);
        }
        let least = 3 * self.heartbeat + self.message_delay;
        if self.lease < least {
            let reason = format!(
                "{} is not allowed beside heartbeat_ms {} and message_ms {}; from {least} is: two questions of \
                 three may be lost",
                self.lease, self.heartbeat, self.message_delay
            );
            return broken("lease_ms", reason);
        }
        if self.divergence_bound() > self.max_divergence {
            let reason = format!(
                "{} is not allowed: lease_ms {} with drift_ppm {}, effect_ms {} and message_ms {} come to {}; from \
                 that on it is, or a shorter lease_ms",
                self.max_divergence,
                self.lease,
                self.drift_ppm,
                self.activation_delay,
                self.message_delay,
                self.divergence_bound()
            );
            return broken("within_ms", reason);
        }
        Ok(())
    }

    /// The most by which a clock goes wrong in this span, up to the next ms.
    fn drift(&self, span: Millis) -> Millis {
        // Exact also for spans without end: no product of the whole span.
        let (whole, rest) = (span / MILLION, span % MILLION);
        let ppm = u64::from(self.drift_ppm);
        whole.saturating_mul(ppm).saturating_add((rest * ppm).div_ceil(MILLION))
    }

    fn stretched_by_drift(&self, span: Millis) -> Millis {
        span.saturating_add(self.drift(span))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_usual_terms_keep_the_formula() {
        let timing = LeaseTiming::default();
        assert_eq!(timing.check(), Ok(()));
        assert_eq!(timing.divergence_bound(), 1000 + 10 + 2 * 4 + 200);
        assert_eq!(LeaseTiming { on_lapse: OnLeaseExpiry::Refuse, ..timing }.certain_expiry(), 1030);
        assert_eq!(timing.certain_expiry(), Millis::MAX, "without end");
    }

    #[test]
    fn what_breaks_the_formula_is_told_by_its_key() {
        let key = |timing: LeaseTiming| timing.check().expect_err("broken").key;
        assert_eq!(key(LeaseTiming { lease: 1900, ..LeaseTiming::default() }), "within_ms");
        assert_eq!(key(LeaseTiming { lease: 700, ..LeaseTiming::default() }), "lease_ms");
        assert_eq!(key(LeaseTiming { heartbeat: 0, ..LeaseTiming::default() }), "heartbeat_ms");
        assert_eq!(key(LeaseTiming { drift_ppm: 200_000, ..LeaseTiming::default() }), "drift_ppm");
    }
}
