//! Derives the decision module's plan and the stricter admission bounds from a tenant's quota. No I/O.

use crate::quota_backlog::QuotaBounds;
use oatbank_limiter_core::interface::{CustomerId, Plan};

/// Share of a tenant's rate that is given out. The rest covers requests that limiters admit before they learn of each other's.
const RATE_SHARE: f64 = 0.97;
/// Largest share of a tenant's burst that is given out.
const MAX_BURST_SHARE: f64 = 0.6;
/// Smallest share of a tenant's burst that is given out. Less would reject requests that arrive unevenly at normal load.
const MIN_BURST_SHARE: f64 = 0.3;
/// Admissions beyond the quota that are paid back before others are admitted, in bursts.
const MAX_DEBT_BURSTS: f64 = 4.0;
/// Assumed excess demand of an overloading tenant as a multiple of its rate. It determines the allowance for unreported
/// admissions.
const OVERLOAD_FACTOR: f64 = 3.7;
/// Time during which limiters admit requests before they learn of each other's, s.
const PROPAGATION_S: f64 = 0.2;
/// Increase of that time for each limiter, s: limiters report with their requests, and each has fewer the more there are.
const PROPAGATION_PER_LIMITER_S: f64 = 0.001;

/// Share of the quota's tolerance beyond rate and burst that the owner gives out, so that normally the decision module decides,
/// although it learns of admissions later.
const OWNER_SHARE_OF_ROOM: f64 = 0.35;
/// Share of that tolerance that is the limiters' credit. The rest covers the start of a network partition, before both sides
/// have detected it.
const CREDIT_SHARE_OF_ROOM: f64 = 0.45;
/// Restarts in a window that the credit leaves room for, as a share of the limiters: outstanding admissions of a restarted
/// limiter are lost.
const RESTARTS_PER_LIMITER: f64 = 0.3;

/// Tolerance of a tenant's quota: by how much it may be exceeded in a window.
#[derive(Clone, Copy, Debug)]
pub struct QuotaAllowance {
    /// Length of the window, s.
    pub window: f64,
    /// Relative tolerance, as a share of rate × window + burst.
    pub over: f64,
    /// Absolute tolerance, requests.
    pub slack: f64,
    /// Number of limiters that share the quota.
    pub limiters: f64,
}

/// The burst of a quota; one second of its rate if none is configured, as requests arrive unevenly.
fn burst_of(rate: f64, burst: f64) -> f64 {
    if burst > 0.0 {
        burst
    } else {
        rate
    }
}

/// Most requests of a tenant that may be admitted in a window, including the tolerance.
fn allowed_in_window(rate: f64, burst: f64, allowance: QuotaAllowance) -> f64 {
    (rate * allowance.window + burst) * (1.0 + allowance.over) + allowance.slack
}

/// The decision module's plan for a tenant's quota. A rate of 0 means no quota.
pub fn plan(rate: f64, burst: f64, allowance: QuotaAllowance) -> Plan {
    if rate <= 0.0 {
        return Plan { price: 1.0, ..Plan::default() };
    }
    let allowed = allowed_in_window(rate, burst, allowance);
    let burst = burst_of(rate, burst);
    let sustained = RATE_SHARE * rate * allowance.window;
    let unreported =
        OVERLOAD_FACTOR * rate * (PROPAGATION_S + PROPAGATION_PER_LIMITER_S * allowance.limiters);
    let room = if allowance.window > 0.0 { allowed - sustained - unreported } else { burst };
    Plan {
        rate: rate * RATE_SHARE,
        burst: room.max(MIN_BURST_SHARE * burst).min(MAX_BURST_SHARE * burst).max(1.0),
        price: 1.0,
        over_cost: 1.0,
        debt: MAX_DEBT_BURSTS,
        ..Plan::default()
    }
}

/// The bounds on the tenant's admissions that hold even if limiters do not learn of each other's.
pub fn bounds(rate: f64, burst: f64, allowance: QuotaAllowance) -> QuotaBounds {
    let plan = plan(rate, burst, allowance);
    let window = allowance.window;
    let allowed = allowed_in_window(rate, burst, allowance);
    let room = (allowed - plan.rate * window - plan.burst).max(0.0);
    let burst = plan.burst + OWNER_SHARE_OF_ROOM * room;
    let limiters = allowance.limiters.max(1.0);
    let credit = CREDIT_SHARE_OF_ROOM * room / (limiters * (1.0 + RESTARTS_PER_LIMITER));
    // Outstanding admissions may be reported in a later window than they ran in.
    let reported = allowed + limiters * credit;
    QuotaBounds { rate: plan.rate, burst, credit, limiters, reported, window: window * 1000.0 }
}

/// The number that identifies a tenant's counter between limiters, a hash of its name: it does not depend on the versions of
/// the configuration that a limiter has seen.
pub fn tenant_number(name: &str) -> CustomerId {
    let mix = |x: u64, b: u8| (x ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let x = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    CustomerId((x ^ (x >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93))
}

#[cfg(test)]
mod tests;
