//! A tenant's quota as a plan of the decision module, and the bounds beneath it. Pure.

use crate::quota_backlog::QuotaBounds;
use oatbank_limiter_core::interface::{CustomerId, Plan};

/// Share of a tenant's rate that is given out. The rest is for what limiters admit before they hear of each other.
const RATE_SHARE: f64 = 0.97;
/// Share of a tenant's burst that is given out, at most.
const MAX_BURST_SHARE: f64 = 0.6;
/// A smaller share of the burst would reject requests that arrive unevenly in calm times.
const MIN_BURST_SHARE: f64 = 0.3;
/// What was admitted beyond the quota, up to so many bursts, is paid back before anything else is admitted.
const MAX_DEBT_BURSTS: f64 = 4.0;
/// A tenant under pressure asks for so many times its rate beyond it: what is admitted unheard is sized by that.
const OVERLOAD_FACTOR: f64 = 3.7;
/// For how long limiters admit requests before they have heard of each other's, s.
const PROPAGATION_S: f64 = 0.2;
/// How much longer for each limiter, s: each reports every request, and has one more rarely the more limiters there are.
const PROPAGATION_PER_LIMITER_S: f64 = 0.001;

/// What the rule leaves beyond rate and burst is given out too, this share of it by the owner: the decision module, which knows
/// of admissions later, is to decide on the ordinary path.
const OWNER_SHARE_OF_ROOM: f64 = 0.35;
/// This share of it is the limiters' credit. The rest is for the time in which two sides of a cut do not yet know of each other.
const CREDIT_SHARE_OF_ROOM: f64 = 0.45;
/// Each limiter's credit leaves room for so many limiters that restart in a window, of each that there is: what they had outstanding
/// is forgotten with them.
const RESTARTS_PER_LIMITER: f64 = 0.3;

/// By how much a tenant's quota may be exceeded, and in which window.
#[derive(Clone, Copy, Debug)]
pub struct QuotaAllowance {
    /// The window, s.
    pub window: f64,
    /// By this share of what the quota gives in the window.
    pub over: f64,
    /// By so many requests.
    pub slack: f64,
    /// Limiters that share the quota.
    pub limiters: f64,
}

/// What may be given out at once: a quota without a burst has none, but requests come unevenly.
fn burst_of(rate: f64, burst: f64) -> f64 {
    if burst > 0.0 {
        burst
    } else {
        rate
    }
}

/// How much of a tenant may run in a window by the rule.
fn allowed_in_window(rate: f64, burst: f64, allowance: QuotaAllowance) -> f64 {
    (rate * allowance.window + burst) * (1.0 + allowance.over) + allowance.slack
}

/// The plan of a tenant's quota, for the decision module.
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

/// What bounds the tenant's admissions, whatever limiters hear of each other.
pub fn bounds(rate: f64, burst: f64, allowance: QuotaAllowance) -> QuotaBounds {
    let plan = plan(rate, burst, allowance);
    let window = allowance.window;
    let allowed = allowed_in_window(rate, burst, allowance);
    let room = (allowed - plan.rate * window - plan.burst).max(0.0);
    let burst = plan.burst + OWNER_SHARE_OF_ROOM * room;
    let limiters = allowance.limiters.max(1.0);
    let credit = CREDIT_SHARE_OF_ROOM * room / (limiters * (1.0 + RESTARTS_PER_LIMITER));
    // What is outstanding may be reported in a later window than it ran in.
    let reported = allowed + limiters * credit;
    QuotaBounds { rate: plan.rate, burst, credit, limiters, reported, window: window * 1000.0 }
}

/// The number of a tenant's counter between limiters: the same at each, whichever versions of the configuration it has seen.
pub fn tenant_number(name: &str) -> CustomerId {
    let mix = |x: u64, b: u8| (x ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let x = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    CustomerId((x ^ (x >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93))
}

#[cfg(test)]
mod tests;
