//! What contradicts, in one place, and the rules that contradict neither of two sets.

use oatbank_limiter_core::interface::{Class, Plan, Repeat};
use std::collections::{BTreeMap, BTreeSet};

/// Rules as limiters act by them, by name.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Classes of requests.
    pub classes: Vec<(String, Class)>,
    /// Plans of accounts.
    pub plans: Vec<(String, Plan)>,
    /// Servers that requests may be sent to.
    pub servers: Vec<String>,
    /// Servers that get nothing, wherever the list of servers comes from.
    pub suspended: BTreeSet<String>,
    /// Zones of which only this part is used.
    pub left: BTreeMap<String, f64>,
    /// Attempts of one request; 0: no limit.
    pub max_attempts: u32,
}

/// Where two sets of rules contradict each other: two figures for one class or plan, two numbers of attempts, or a
/// server that is used by one and not by the other. An account or a class that only one of them knows is none: the
/// other refuses it. Requests that are open keep the rules they came with, and are none either.
pub fn contradictions(a: &Rules, b: &Rules) -> Vec<String> {
    let mut found = Vec::new();
    for (name, one) in &a.classes {
        let other = b.classes.iter().find(|(n, _)| n == name);
        if other.is_some_and(|(_, other)| figures(one) != figures(other)) {
            found.push(format!("classes.{name}"));
        }
    }
    for (name, one) in &a.plans {
        let other = b.plans.iter().find(|(n, _)| n == name);
        if other.is_some_and(|(_, other)| plan_figures(one) != plan_figures(other)) {
            found.push(format!("plans.{name}"));
        }
    }
    let only = |x: &Rules, y: &Rules| {
        x.servers.iter().filter(|s| !y.servers.contains(s)).cloned().collect::<Vec<_>>()
    };
    found.extend(only(a, b).into_iter().chain(only(b, a)).map(|server| format!("servers.{server}")));
    // A part more or less is a step on one way; nothing and something is not.
    let used = |r: &Rules, zone: &String| r.left.get(zone).is_none_or(|share| *share > 0.0);
    let zones: BTreeSet<&String> = a.left.keys().chain(b.left.keys()).collect();
    let apart = zones.into_iter().filter(|zone| used(a, zone) != used(b, zone));
    found.extend(apart.map(|zone| format!("left.{zone}")));
    let differ = a.suspended.symmetric_difference(&b.suspended);
    found.extend(differ.map(|server| format!("suspended.{server}")));
    if a.max_attempts != b.max_attempts {
        found.push("attempts.most".into());
    }
    found
}

/// The stricter of two sets of rules: of each limit the lower, and only what both know.
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
        left: less(&a.left, &b.left),
        max_attempts: least(f64::from(a.max_attempts), f64::from(b.max_attempts)) as u32,
    }
}

/// Of each zone the smaller part.
fn less(a: &BTreeMap<String, f64>, b: &BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    let mut both = a.clone();
    for (zone, share) in b {
        let least = both.entry(zone.clone()).or_insert(*share);
        *least = least.min(*share);
    }
    both
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

/// What both allow: where one says "never again", nothing runs twice.
fn stricter_repeat(a: Repeat, b: Repeat) -> Repeat {
    match (a, b) {
        (Repeat::Safe, other) | (other, Repeat::Safe) => other,
        (Repeat::Keyed { group: one, window: w }, Repeat::Keyed { group: other, window: v })
            if one == other =>
        {
            Repeat::Keyed { group: one, window: w.min(v) }
        }
        // Two groups have no server in common for sure.
        _ => Repeat::Unsafe,
    }
}

fn stricter_plan(a: &Plan, b: &Plan) -> Plan {
    // A quota of one alone is the stricter; the burst goes with it.
    let of = |rate: fn(&Plan) -> f64, burst: fn(&Plan) -> f64| {
        let bursts = [a, b].into_iter().filter(|p| rate(p) > 0.0).map(burst);
        (least(rate(a), rate(b)), bursts.fold(f64::INFINITY, f64::min))
    };
    let (rate, burst) = of(|p| p.rate, |p| p.burst);
    let (ceiling_rate, ceiling_burst) = of(|p| p.ceiling_rate, |p| p.ceiling_burst);
    let finite = |n: f64| if n.is_finite() { n } else { 0.0 };
    Plan {
        rate,
        burst: finite(burst),
        max_open: least(a.max_open, b.max_open),
        ceiling_rate,
        ceiling_burst: finite(ceiling_burst),
        ceiling_slack: a.ceiling_slack.min(b.ceiling_slack),
        price: a.price.min(b.price),
        over_worth: a.over_worth.min(b.over_worth),
        over_cost: a.over_cost.max(b.over_cost),
        debt: a.debt.max(b.debt),
    }
}

/// The lower of two limits, of which 0 is none.
fn least(a: f64, b: f64) -> f64 {
    match (a > 0.0, b > 0.0) {
        (true, true) => a.min(b),
        _ => a.max(b),
    }
}

fn figures(class: &Class) -> ([f64; 4], Repeat) {
    ([class.target, class.deadline, class.late_worth, class.worth], class.repeat)
}

fn plan_figures(plan: &Plan) -> [f64; 6] {
    [plan.rate, plan.burst, plan.max_open, plan.ceiling_rate, plan.ceiling_burst, plan.price]
}

#[cfg(test)]
mod tests;
