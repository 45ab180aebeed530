//! Lease durations and delays that all limiters of a fleet share. [`LeaseTiming::max_divergence`] is the guarantee;
//! the other values are chosen so that it holds.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Parts per million in a whole.
const MILLION: u64 = 1_000_000;

/// Behavior of a limiter whose lease has expired, so that its rules may be outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OnLeaseExpiry {
    /// Rejects new requests at once with a retry delay. Changes are decided without this limiter.
    Refuse,
    /// Applies the stricter of the held and the confirmed revision for this long (ms), then rejects. No change is
    /// decided without this limiter before then, so it never applies contradicting rules.
    Strict(Millis),
}

/// Timing parameters that all limiters of a fleet share. Spans are in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Lease duration granted by an answer of the decider, counted from when the limiter sent its ping.
    pub lease: Millis,
    /// Interval between two pings of a limiter to the decider.
    pub heartbeat: Millis,
    /// Longest delivery time of a message on healthy links, and of an admitted attempt on its way to the engine.
    pub message_delay: Millis,
    /// Delay between a decision and its activation, during which the limiters learn of it.
    pub activation_delay: Millis,
    /// Largest clock drift, in parts per million.
    pub drift_ppm: u32,
    /// Guaranteed limit on how long two limiters may apply contradicting rules.
    pub max_divergence: Millis,
    /// Behavior after a lease has expired.
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

/// A timing key whose value is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingError {
    /// Name of the key in the settings.
    pub key: &'static str,
    /// Explains the violation and gives the allowed range.
    pub reason: String,
}

impl LeaseTiming {
    /// Returns the longest time for which two limiters can contradict each other:
    ///
    /// `lease (1 + drift) + 2 drift effect + message`, rounded up to the next ms.
    ///
    /// After a decision at `d`, no answer renews a lease on the old rules without announcing the new ones, so a
    /// limiter that misses the announcement stops by `d + lease (1 + drift)`. No limiter applies the new rules before
    /// `d + effect (1 - drift)`, and one that received them in time switches by `d + effect (1 + drift)`. An attempt
    /// admitted before that reaches its engine up to `message` later.
    pub fn divergence_bound(&self) -> Millis {
        self.stretched_by_drift(self.lease) + 2 * self.drift(self.activation_delay) + self.message_delay
    }

    /// Returns how long after an answer the decider considers its receiver bound by it, including the strict period.
    /// It exceeds the receiver's own limit by the drift of both clocks.
    pub fn certain_expiry(&self) -> Millis {
        let strict = match self.on_lapse {
            OnLeaseExpiry::Refuse => 0,
            OnLeaseExpiry::Strict(span) => span,
        };
        self.stretched_by_triple_drift(self.lease.saturating_add(strict))
    }

    /// Returns how long after an answer the decider considers the receiver's lease valid, excluding the strict
    /// period.
    pub fn lease_expiry(&self) -> Millis {
        self.stretched_by_triple_drift(self.lease)
    }

    fn stretched_by_triple_drift(&self, span: Millis) -> Millis {
        span.saturating_add(3u64.saturating_mul(self.drift(span)))
    }

    /// Checks the ranges of the parameters, and that the bound does not exceed `max_divergence`.
    ///
    /// # Errors
    /// Returns the first key that is out of range, with the allowed values.
    pub fn check(&self) -> Result<(), TimingError> {
        let invalid = |key, reason| Err(TimingError { key, reason });
        if self.heartbeat == 0 {
            return invalid("heartbeat_ms", "0 is not allowed; the minimum is 1".into());
        }
        if self.drift_ppm > 100_000 {
            let reason = format!("{} is not allowed; the maximum is 100000 (10 %)", self.drift_ppm);
            return invalid("drift_ppm", reason);
        }
        let min_lease = 3 * self.heartbeat + self.message_delay;
        if self.lease < min_lease {
            let reason = format!(
                "{} is not allowed with heartbeat_ms {} and message_ms {}; the minimum is {min_lease}, so that two of \
                 three pings may be lost",
                self.lease, self.heartbeat, self.message_delay
            );
            return invalid("lease_ms", reason);
        }
        if self.divergence_bound() > self.max_divergence {
            let reason = format!(
                "{} is not allowed: lease_ms {}, drift_ppm {}, effect_ms {} and message_ms {} allow a divergence of \
                 {}; raise within_ms to at least that, or shorten lease_ms",
                self.max_divergence,
                self.lease,
                self.drift_ppm,
                self.activation_delay,
                self.message_delay,
                self.divergence_bound()
            );
            return invalid("within_ms", reason);
        }
        Ok(())
    }

    /// Returns the largest clock error over this span, rounded up to the next ms.
    fn drift(&self, span: Millis) -> Millis {
        // Splits the span so that the product does not overflow for spans up to `Millis::MAX`.
        let (millions, remainder) = (span / MILLION, span % MILLION);
        let ppm = u64::from(self.drift_ppm);
        millions.saturating_mul(ppm).saturating_add((remainder * ppm).div_ceil(MILLION))
    }

    fn stretched_by_drift(&self, span: Millis) -> Millis {
        span.saturating_add(self.drift(span))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn default_timing_is_valid() {
        let timing = LeaseTiming::default();
        assert_eq!(timing.check(), Ok(()));
        assert_eq!(timing.divergence_bound(), 1000 + 10 + 2 * 4 + 200);
        assert_eq!(LeaseTiming { on_lapse: OnLeaseExpiry::Refuse, ..timing }.certain_expiry(), 1030);
        assert_eq!(timing.certain_expiry(), Millis::MAX, "strict without a time limit");
    }

    #[test]
    fn check_names_the_key_that_is_out_of_range() {
        let key = |timing: LeaseTiming| timing.check().expect_err("out of range").key;
        assert_eq!(key(LeaseTiming { lease: 1900, ..LeaseTiming::default() }), "within_ms");
        assert_eq!(key(LeaseTiming { lease: 700, ..LeaseTiming::default() }), "lease_ms");
        assert_eq!(key(LeaseTiming { heartbeat: 0, ..LeaseTiming::default() }), "heartbeat_ms");
        assert_eq!(key(LeaseTiming { drift_ppm: 200_000, ..LeaseTiming::default() }), "drift_ppm");
    }
}
