//! Validation of a configuration reloaded by SIGHUP against the one in force.
//!
//! At a start missing keys get defaults. A reload rejects a file that lacks a key of the previous one, because it is far
//! more likely to be truncated than to be meant that way.

use serde_json::Value;

/// Objects whose keys must all be present again once they were present.
const COMPLETE_OBJECTS: [&str; 5] =
    ["", "settings", "settings.ceilings", "settings.family_info", "settings.safety"];
/// Top-level keys that may be added and removed: they are read at a start only, or not at all.
const OPTIONAL_KEYS: [&str; 5] = ["known", "control", "seed", "limits", "name"];
/// Keys that each class must have.
const REQUIRED_CLASS_KEYS: [&str; 4] = ["name", "deadline", "idempotency", "importance"];
/// Keys that take effect at a start only.
const RESTART_KEYS: [&str; 5] = ["name", "listen", "control", "limits", "settings.ceilings.conn_idle"];

/// Checks the new configuration `now` against the one in force, `before`.
///
/// # Errors
/// Names the first invalid key and what is allowed.
pub fn check(before: &Value, now: &Value) -> Result<(), String> {
    for path in COMPLETE_OBJECTS {
        let (Some(was), Some(is)) = (at(before, path).as_object(), at(now, path).as_object()) else {
            if at(before, path).is_object() {
                return Err(format!("{path}: missing or not an object; it was one before"));
            }
            continue;
        };
        let missing = was.keys().find(|key| !(is.contains_key(*key) || path.is_empty() && is_optional(key)));
        if let Some(key) = missing {
            return Err(format!("{}: missing; the configuration in force has it", join(path, key)));
        }
    }
    let (classes, plans) = (at(now, "settings.classes"), at(now, "settings.plans"));
    let classes = classes.as_array().filter(|c| !c.is_empty());
    let classes = classes.ok_or("settings.classes: expected a list of at least one class")?;
    check_names("settings.classes", classes)?;
    for (i, class) in classes.iter().enumerate() {
        let key = |name: &str| format!("settings.classes.{i}.{name}");
        if let Some(name) =
            REQUIRED_CLASS_KEYS.into_iter().find(|name| class.get(name).is_none_or(Value::is_null))
        {
            return Err(format!("{}: missing", key(name)));
        }
        check_positive(&key("deadline"), &class["deadline"])?;
        for name in ["goal_time", "importance"] {
            if let Some(value) = class.get(name) {
                check_positive(&key(name), value)?;
            }
        }
    }
    if !at(before, "settings.plans").is_null() {
        let plans = plans.as_array().ok_or("settings.plans: missing or not a list")?;
        check_names("settings.plans", plans)?;
    }
    let attempts = at(now, "settings.ceilings.max_attempts");
    if !attempts.is_null() || !at(before, "settings.ceilings.max_attempts").is_null() {
        check_positive("settings.ceilings.max_attempts", attempts)?;
        if attempts.as_f64().is_some_and(|n| n.fract() != 0.0) {
            return Err(format!("settings.ceilings.max_attempts: {attempts}; expected a whole number"));
        }
    }
    Ok(())
}

/// Returns the changed keys that take effect after a restart only.
pub fn restart_only_changes<'a>(
    before: &'a Value,
    now: &'a Value,
) -> impl Iterator<Item = &'static str> + 'a {
    RESTART_KEYS.into_iter().filter(|key| at(before, key) != at(now, key))
}

fn is_optional(key: &str) -> bool {
    OPTIONAL_KEYS.contains(&key)
}

fn at<'a>(value: &'a Value, path: &str) -> &'a Value {
    path.split('.').filter(|key| !key.is_empty()).fold(value, |v, key| &v[key])
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn check_positive(key: &str, value: &Value) -> Result<(), String> {
    match value.as_f64() {
        Some(number) if number.is_finite() && number > 0.0 => Ok(()),
        _ => Err(format!("{key}: {value}; expected a number above 0")),
    }
}

/// Checks that each entry has a unique, non-empty name.
fn check_names(key: &str, list: &[Value]) -> Result<(), String> {
    let mut seen = std::collections::HashSet::new();
    for (i, entry) in list.iter().enumerate() {
        let name = entry["name"].as_str().filter(|n| !n.is_empty());
        let name = name.ok_or_else(|| format!("{key}.{i}.name: missing or not a string"))?;
        if !seen.insert(name) {
            return Err(format!("{key}.{i}.name: duplicate name {name:?}"));
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
