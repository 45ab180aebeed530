//! The times of an agreement. All but [`Terms::within`] are means; that one is the promise.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Parts in a million.
const MILLION: u64 = 1_000_000;

/// What a limiter does once it cannot know any more that its rules are current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OnLapse {
    /// Refuses at once what comes, and says when to come back. Changes go on without it.
    Refuse,
    /// Goes on by the stricter of what it holds and what it has confirmed, for this long (ms), then refuses. No change
    /// is decided without it before that is over, so that it never acts by rules that contradict.
    Strict(Millis),
}

/// The times that all limiters of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long an answer of the decider keeps a limiter's rules current, counted from when it asked.
    pub lease: Millis,
    /// Between two questions of a limiter to the decider.
    pub heartbeat: Millis,
    /// How long a message takes at most where links are well, and how long an attempt that was let go may take to
    /// reach its engine.
    pub message: Millis,
    /// From a decision to its effect, in which the limiters learn of it.
    pub effect: Millis,
    /// How far a clock may run wrong, parts in a million.
    pub drift_ppm: u32,
    /// The stated time: for no longer do two limiters act by rules that contradict each other.
    pub within: Millis,
    /// What happens at the end of a lease.
    pub on_lapse: OnLapse,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            lease: 1000,
            heartbeat: 200,
            message: 200,
            effect: 400,
            drift_ppm: 10_000,
            within: 2000,
            on_lapse: OnLapse::Strict(Millis::MAX),
        }
    }
}

/// A key of the terms whose value breaks the formula.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The key.
    pub key: &'static str,
    /// What is wrong, and what is allowed.
    pub why: String,
}

impl Terms {
    /// What the longest contradiction can come to:
    ///
    /// `lease (1 + drift) + 2 drift effect + message`, up to the next ms.
    ///
    /// After a decision at `d` no answer renews a lease on the old rules without telling of the new, so who does not
    /// hear of it stops by `d + lease (1 + drift)`. Nobody acts by the new before `d + effect (1 - drift)`, and who
    /// hears of it in time switches by `effect (1 + drift)` after that. What was let go by then is with its engine
    /// `message` later.
    pub fn bound(&self) -> Millis {
        self.slowest(self.lease) + 2 * self.drift(self.effect) + self.message
    }

    /// How long after an answer the decider takes its reader for bound by it: longer than the reader does itself, by
    /// both clocks' drift.
    pub fn surely_over(&self) -> Millis {
        let strict = match self.on_lapse {
            OnLapse::Refuse => 0,
            OnLapse::Strict(span) => span,
        };
        self.slowest_thrice(self.lease.saturating_add(strict))
    }

    /// The same without the time in which its reader acts by stricter rules.
    pub fn lease_over(&self) -> Millis {
        self.slowest_thrice(self.lease)
    }

    fn slowest_thrice(&self, span: Millis) -> Millis {
        span.saturating_add(3u64.saturating_mul(self.drift(span)))
    }

    /// Checks the formula.
    ///
    /// # Errors
    /// The key to be changed, with what it allows.
    pub fn check(&self) -> Result<(), Broken> {
        let broken = |key, why| Err(Broken { key, why });
        if self.heartbeat == 0 {
            return broken("heartbeat_ms", "0 is not allowed; a whole number from 1 is".into());
        }
        if self.drift_ppm > 100_000 {
            let why = format!("{} is not allowed; up to 100000, a tenth, is", self.drift_ppm);
            return broken("drift_ppm", why);
        }
        let least = 3 * self.heartbeat + self.message;
        if self.lease < least {
            let why = format!(
                "{} is not allowed beside heartbeat_ms {} and message_ms {}; from {least} is: two questions of \
                 three may be lost",
                self.lease, self.heartbeat, self.message
            );
            return broken("lease_ms", why);
        }
        if self.bound() > self.within {
            let why = format!(
                "{} is not allowed: lease_ms {} with drift_ppm {}, effect_ms {} and message_ms {} come to {}; from \
                 that on it is, or a shorter lease_ms",
                self.within,
                self.lease,
                self.drift_ppm,
                self.effect,
                self.message,
                self.bound()
            );
            return broken("within_ms", why);
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

    fn slowest(&self, span: Millis) -> Millis {
        span.saturating_add(self.drift(span))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_usual_terms_keep_the_formula() {
        let terms = Terms::default();
        assert_eq!(terms.check(), Ok(()));
        assert_eq!(terms.bound(), 1000 + 10 + 2 * 4 + 200);
        assert_eq!(Terms { on_lapse: OnLapse::Refuse, ..terms }.surely_over(), 1030);
        assert_eq!(terms.surely_over(), Millis::MAX, "without end");
    }

    #[test]
    fn what_breaks_the_formula_is_told_by_its_key() {
        let key = |terms: Terms| terms.check().expect_err("broken").key;
        assert_eq!(key(Terms { lease: 1900, ..Terms::default() }), "within_ms");
        assert_eq!(key(Terms { lease: 700, ..Terms::default() }), "lease_ms");
        assert_eq!(key(Terms { heartbeat: 0, ..Terms::default() }), "heartbeat_ms");
        assert_eq!(key(Terms { drift_ppm: 200_000, ..Terms::default() }), "drift_ppm");
    }
}
