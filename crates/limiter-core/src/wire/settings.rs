//! Parses the `path=value` lines that configure an instance.

use super::WireError;
use crate::interface::*;
use std::collections::HashMap;

/// Values by key, with typed lookups whose errors name the key.
struct Lines<'a>(HashMap<&'a str, &'a str>);

impl Lines<'_> {
    fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).copied()
    }

    /// Returns an optional number, or `absent`; fails if it is not a finite number.
    fn num(&self, key: &str, absent: f64) -> Result<f64, WireError> {
        let Some(text) = self.text(key) else { return Ok(absent) };
        let value: f64 =
            text.trim().parse().map_err(|_| WireError(format!("setting {key}: not a number")))?;
        if !value.is_finite() {
            return Err(WireError(format!("setting {key}: not finite")));
        }
        Ok(value)
    }

    /// Returns a required number; fails if it is missing or not finite.
    fn required(&self, key: &str) -> Result<f64, WireError> {
        if self.text(key).is_none() {
            return Err(WireError(format!("setting {key}: missing")));
        }
        self.num(key, 0.0)
    }

    fn flag(&self, key: &str, absent: bool) -> bool {
        self.text(key).map_or(absent, |v| matches!(v.trim(), "true" | "1"))
    }

    /// Returns the length of a list of objects; fails if it exceeds the number of lines.
    fn count(&self, key: &str) -> Result<usize, WireError> {
        let n = self.required(key)?;
        if n < 0.0 || n.fract() != 0.0 || n > self.0.len() as f64 {
            return Err(WireError(format!("setting {key}: {n} is not a valid list length")));
        }
        Ok(n as usize)
    }
}

/// Parses the settings text; unknown keys are ignored.
///
/// # Errors
/// Fails if a required key is missing, a number is not valid or a keyword is unknown.
pub fn parse_settings(text: &str) -> Result<Settings, WireError> {
    let lines =
        Lines(text.lines().filter_map(|l| l.split_once('=')).map(|(k, v)| (k.trim(), v.trim())).collect());
    let mut classes = Vec::new();
    for i in 0..lines.count("classes.count")? {
        let key = |name: &str| format!("classes.{i}.{name}");
        let deadline = lines.required(&key("deadline"))?;
        let repeat = match lines.text(&key("idempotency")) {
            Some("free") => Repeat::Safe,
            Some("guarded") => Repeat::Keyed {
                group: match lines.text(&key("group")) {
                    Some("all") => Group::All,
                    Some("zone") => Group::Zone,
                    Some("cell") => Group::Cell,
                    other => {
                        return Err(WireError(format!("setting {}: unknown value {other:?}", key("group"))))
                    }
                },
                window: lines.num(&key("repeat_window"), 0.0)?,
            },
            Some("single_shot") => Repeat::Unsafe,
            other => {
                return Err(WireError(format!("setting {}: unknown value {other:?}", key("idempotency"))))
            }
        };
        classes.push(Class {
            target: lines.num(&key("goal_time"), deadline)?,
            deadline,
            late_worth: lines.num(&key("late_value"), 0.0)?,
            worth: lines.num(&key("importance"), 1.0)?,
            repeat,
        });
    }
    let mut plans = Vec::new();
    let count = if lines.text("plans.count").is_some() { lines.count("plans.count")? } else { 0 };
    for i in 0..count {
        let num = |name: &str, absent: f64| lines.num(&format!("plans.{i}.{name}"), absent);
        plans.push(Plan {
            rate: num("rate", 0.0)?,
            burst: num("store_size", 0.0)?,
            max_open: num("max_out", 0.0)?,
            ceiling_rate: num("hard_rate", 0.0)?,
            ceiling_burst: num("cap_depth", 0.0)?,
            ceiling_slack: num("ceiling_slack", 0.0)?,
            price: num("pays", 1.0)?,
            over_worth: num("excess_worth", 0.0)?,
            over_cost: num("over_cost", 0.0)?,
            ..Plan::default()
        });
    }
    let report = match lines.text("report.source") {
        None | Some("none") => Vec::new(),
        Some(_) => lines
            .text("report.columns")
            .unwrap_or("")
            .split(',')
            .filter(|c| !c.is_empty())
            .map(load)
            .collect(),
    };
    Ok(Settings {
        gateways: lines.num("balancers", 1.0)?,
        zone: lines.num("zone", 0.0)? as u16,
        classes,
        plans,
        max_units: lines.num("family_info.max_units", 1.0)?,
        max_attempts: lines.num("ceilings.max_attempts", 0.0)? as u32,
        parallel_tries: lines.flag("ceilings.parallel_tries", false),
        cancelling: lines.flag("ceilings.cancelling", false),
        probes: lines.flag("ceilings.probes", false),
        retry_after: lines.flag("ceilings.retry_after", false),
        max_retry_after: lines.num("ceilings.max_retry_after", 0.0)?,
        counter: lines.flag("family_info.shared_counter", false),
        counter_timeout: lines.num("family_info.counter_timeout", 0.0)?,
        list_on_request: lines.text("discovery") == Some("on_request"),
        list_request_window: lines.num("safety.ask_within", 0.0)?,
        cold_start: lines.num("safety.start_capacity", 1.0)?,
        warm_after: lines.num("safety.warm_after", 0.0)?,
        overload_factor: lines.num("safety.overload_factor", 0.0)?,
        overload_window: lines.num("safety.tip_after", 0.0)?,
        report,
        goal: Goal {
            whole: lines.num("goal.whole", 0.0)?,
            worst_window: lines.num("goal.worst_window", 0.0)?,
            worst_class: lines.num("goal.worst_class", 0.0)?,
            worst_plan: lines.num("goal.worst_tenant", 0.0)?,
        },
        ..Settings::default()
    })
}

fn load(column: &str) -> Load {
    match column.trim() {
        "inflight" => Load::InFlight,
        "queue" => Load::Queue,
        "util" => Load::Util,
        "qps" => Load::Qps,
        "latency_ms" => Load::Latency,
        _ => Load::Other,
    }
}
