//! Contradictions between two sets of rules, and the strict rules that contradict neither.

use oatbank_limiter_core::interface::{Class, Plan, Repeat};
use std::collections::{BTreeMap, BTreeSet};

/// Rules in the form that limiters apply, by name.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Classes of requests.
    pub classes: Vec<(String, Class)>,
    /// Plans of accounts.
    pub plans: Vec<(String, Plan)>,
    /// Servers that requests may be sent to.
    pub servers: Vec<String>,
    /// Servers that receive no requests, whichever source lists them.
    pub suspended: BTreeSet<String>,
    /// Share to which a zone is used, 0 to 1; zones not listed are used fully.
    pub left: BTreeMap<String, f64>,
    /// Maximum number of attempts of one request; 0 means no limit.
    pub max_attempts: u32,
}

/// Returns the keys where two sets of rules contradict each other: different values for one class or plan, different
/// numbers of attempts, or a server or zone that only one of them uses. An account or class that only one of them
/// knows is no contradiction, as the other rejects it. Neither are open requests, which keep the rules they arrived
/// with.
pub fn contradictions(a: &Rules, b: &Rules) -> Vec<String> {
    let mut found = Vec::new();
    for (name, one) in &a.classes {
        let other = b.classes.iter().find(|(n, _)| n == name);
        if other.is_some_and(|(_, other)| class_values(one) != class_values(other)) {
            found.push(format!("classes.{name}"));
        }
    }
    for (name, one) in &a.plans {
        let other = b.plans.iter().find(|(n, _)| n == name);
        if other.is_some_and(|(_, other)| plan_values(one) != plan_values(other)) {
            found.push(format!("plans.{name}"));
        }
    }
    let servers_only_in = |x: &Rules, y: &Rules| {
        x.servers.iter().filter(|s| !y.servers.contains(s)).cloned().collect::<Vec<_>>()
    };
    found.extend(
        servers_only_in(a, b)
            .into_iter()
            .chain(servers_only_in(b, a))
            .map(|server| format!("servers.{server}")),
    );
    // Different shares are steps of the same change; only a zone used by one and not by the other contradicts.
    let used = |r: &Rules, zone: &String| r.left.get(zone).is_none_or(|share| *share > 0.0);
    let zones: BTreeSet<&String> = a.left.keys().chain(b.left.keys()).collect();
    let used_by_one = zones.into_iter().filter(|zone| used(a, zone) != used(b, zone));
    found.extend(used_by_one.map(|zone| format!("left.{zone}")));
    let suspended_by_one = a.suspended.symmetric_difference(&b.suspended);
    found.extend(suspended_by_one.map(|server| format!("suspended.{server}")));
    if a.max_attempts != b.max_attempts {
        found.push("attempts.most".into());
    }
    found
}

/// Returns the stricter of two sets of rules: the lower of each limit, only the classes, plans and servers that both
/// know, and the suspensions of both.
pub fn stricter(a: &Rules, b: &Rules) -> Rules {
    let classes = a.classes.iter().filter_map(|(name, one)| {
        let (_, other) = b.classes.iter().find(|(n, _)| n == name)?;
        Some((name.clone(), stricter_class(one, other)))
    });
    let plans = a.plans.iter().filter_map(|(name, one)| {
        let (_, other) = b.plans.iter().find(|(n, _)| n == name)?;
        Some((name.clone(), stricter_plan(one, other)))
    });
    Rules {
        classes: classes.collect(),
        plans: plans.collect(),
        servers: a.servers.iter().filter(|s| b.servers.contains(s)).cloned().collect(),
        suspended: a.suspended.union(&b.suspended).cloned().collect(),
        left: smaller_shares(&a.left, &b.left),
        max_attempts: lower_limit(f64::from(a.max_attempts), f64::from(b.max_attempts)) as u32,
    }
}

/// Returns the smaller share of each zone.
fn smaller_shares(a: &BTreeMap<String, f64>, b: &BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    let mut smaller = a.clone();
    for (zone, share) in b {
        let lower = smaller.entry(zone.clone()).or_insert(*share);
        *lower = lower.min(*share);
    }
    smaller
}

fn stricter_class(a: &Class, b: &Class) -> Class {
    Class {
        target: a.target.min(b.target),
        deadline: a.deadline.min(b.deadline),
        late_worth: a.late_worth.min(b.late_worth),
        worth: a.worth.min(b.worth),
        repeat: stricter_repeat(a.repeat, b.repeat),
    }
}

/// Returns the repetitions that both allow; if one forbids them, nothing runs twice.
fn stricter_repeat(a: Repeat, b: Repeat) -> Repeat {
    match (a, b) {
        (Repeat::Safe, other) | (other, Repeat::Safe) => other,
        (Repeat::Keyed { group: one, window: w }, Repeat::Keyed { group: other, window: v })
            if one == other =>
        {
            Repeat::Keyed { group: one, window: w.min(v) }
        }
        // Two different groups have no server in common for certain.
        _ => Repeat::Unsafe,
    }
}

fn stricter_plan(a: &Plan, b: &Plan) -> Plan {
    // A quota that only one plan sets is the stricter one, and its burst applies with it.
    let stricter_quota = |rate: fn(&Plan) -> f64, burst: fn(&Plan) -> f64| {
        let bursts = [a, b].into_iter().filter(|p| rate(p) > 0.0).map(burst);
        (lower_limit(rate(a), rate(b)), bursts.fold(f64::INFINITY, f64::min))
    };
    let (rate, burst) = stricter_quota(|p| p.rate, |p| p.burst);
    let (ceiling_rate, ceiling_burst) = stricter_quota(|p| p.ceiling_rate, |p| p.ceiling_burst);
    let finite = |n: f64| if n.is_finite() { n } else { 0.0 };
    Plan {
        rate,
        burst: finite(burst),
        max_open: lower_limit(a.max_open, b.max_open),
        ceiling_rate,
        ceiling_burst: finite(ceiling_burst),
        ceiling_slack: a.ceiling_slack.min(b.ceiling_slack),
        price: a.price.min(b.price),
        over_worth: a.over_worth.min(b.over_worth),
        over_cost: a.over_cost.max(b.over_cost),
        debt: a.debt.max(b.debt),
    }
}

/// Returns the lower of two limits, where 0 means no limit.
fn lower_limit(a: f64, b: f64) -> f64 {
    match (a > 0.0, b > 0.0) {
        (true, true) => a.min(b),
        _ => a.max(b),
    }
}

fn class_values(class: &Class) -> ([f64; 4], Repeat) {
    ([class.target, class.deadline, class.late_worth, class.worth], class.repeat)
}

fn plan_values(plan: &Plan) -> [f64; 6] {
    [plan.rate, plan.burst, plan.max_open, plan.ceiling_rate, plan.ceiling_burst, plan.price]
}

#[cfg(test)]
mod tests;
