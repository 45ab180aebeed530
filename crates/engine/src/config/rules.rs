//! Checks beyond the schema: conditions between keys, and texts that must parse as an address or a counter.

use super::validation::{below, Step, ValidationError};
use super::CounterKind;
use serde_json::Value;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Adds the errors that the schema cannot express. Values of a wrong type are skipped, as the schema reports them.
pub(super) fn check(file: &Value, errors: &mut Vec<ValidationError>) {
    let all = [
        once(file, "zones", None),
        once(file, "servers", Some("id")),
        once(file, "classes", Some("name")),
        once(file, "plans", Some("name")),
        each(file, "classes", class),
        each(file, "plans", plan),
        each(file, "servers", |path, server| here(path, server, file)),
        each(file, "left", |path, left| zone(file, path, &left["zone"])),
        once(file, "left", Some("zone")),
        zone(file, &[], &file["zone"]),
        address(file, &[], "listen"),
        counter(file),
        register(file),
        super::fleet::check(file),
    ];
    errors.extend(all.into_iter().flatten());
}

/// Iterates over the elements of a list in the file, with the path to each.
fn elements<'f>(file: &'f Value, of: &'f str) -> impl Iterator<Item = (Vec<Step>, &'f Value)> {
    let list = file[of].as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().enumerate().map(move |(i, e)| (vec![Step::Key(of.into()), Step::Element(i)], e))
}

fn each(
    file: &Value,
    of: &str,
    rule: impl Fn(&[Step], &Value) -> Vec<ValidationError>,
) -> Vec<ValidationError> {
    elements(file, of).flat_map(|(path, element)| rule(&path, element)).collect()
}

/// Checks that each name in a list is unique.
fn once(file: &Value, of: &str, key: Option<&str>) -> Vec<ValidationError> {
    let mut seen = HashSet::new();
    let mut errors = Vec::new();
    for (path, element) in elements(file, of) {
        let Some(name) = key.map_or(element, |k| &element[k]).as_str() else { continue };
        if !seen.insert(name) {
            let path = key.map_or(path.clone(), |k| below(&path, k));
            errors.push(ValidationError::at(
                path,
                format!("{name:?} is a duplicate; each name must be unique"),
            ));
        }
    }
    errors
}

/// Checks that `key` of `element` is at least `least`, or over 0 if `least` is 0. `reason` is part of the message.
fn at_least(path: &[Step], element: &Value, key: &str, least: f64, reason: &str) -> Option<ValidationError> {
    let found = element.get(key).map_or(Some(0.0), Value::as_f64)?;
    let low = found < least || least == 0.0 && found == 0.0;
    let bound = if least == 0.0 { "over 0".into() } else { format!("from {least}") };
    low.then(|| {
        ValidationError::at(below(path, key), format!("{found} is not allowed {reason}; a number {bound} is"))
    })
}

fn class(path: &[Step], class: &Value) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    if let (Some(aim), Some(_)) = (class["aim_ms"].as_f64(), class["deadline_ms"].as_f64()) {
        errors.extend(at_least(path, class, "deadline_ms", aim.max(1.0), "with its aim_ms"));
    }
    if class["repeat"] == "keyed" {
        errors.extend(at_least(path, class, "key_window_ms", 1.0, "where repeat is \"keyed\""));
    }
    errors
}

fn plan(path: &[Step], plan: &Value) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    for (rate, burst) in [("rate", "burst"), ("ceiling_rate", "ceiling_burst")] {
        if plan[rate].as_f64().is_some_and(|r| r > 0.0) {
            errors.extend(at_least(path, plan, burst, 0.0, &format!("where there is a {rate}")));
        }
    }
    errors
}

fn here(path: &[Step], server: &Value, file: &Value) -> Vec<ValidationError> {
    [zone(file, path, &server["zone"]), address(server, path, "address")].concat()
}

fn zone(file: &Value, path: &[Step], zone: &Value) -> Vec<ValidationError> {
    let Some(name) = zone.as_str().filter(|z| !z.is_empty()) else { return Vec::new() };
    let mut zones = file["zones"].as_array().into_iter().flatten();
    if zones.any(|z| z == name) {
        return Vec::new();
    }
    vec![ValidationError::at(
        below(path, "zone"),
        format!("{name:?} is not among zones; one of them is allowed"),
    )]
}

fn address(table: &Value, path: &[Step], key: &str) -> Vec<ValidationError> {
    let Some(text) = table[key].as_str() else { return Vec::new() };
    if text.parse::<SocketAddr>().is_ok() {
        return Vec::new();
    }
    let allowed = "an address in figures with its port, \"10.0.0.1:8000\", is";
    vec![ValidationError::at(below(path, key), format!("{text:?} is not allowed; {allowed}"))]
}

fn counter(file: &Value) -> Vec<ValidationError> {
    let Some(text) = file.get("counter").map_or(Some("local"), Value::as_str) else { return Vec::new() };
    let shared = file["limiters"].as_f64().is_some_and(|n| n > 1.0);
    let why = match CounterKind::parse(text) {
        None => format!("{text:?} is not allowed; \"none\", \"local\" and \"text://ADDRESS:PORT\" are"),
        Some(CounterKind::Local) if shared => {
            "\"local\" is not shared, and limiters is over 1; \"text://ADDRESS:PORT\" and \"none\" are allowed"
                .into()
        }
        Some(_) => return Vec::new(),
    };
    vec![ValidationError::at(below(&[], "counter"), why)]
}

/// Checks that the limiter's name is valid as a node name, and that limiters do not register in the servers' folder.
fn register(file: &Value) -> Vec<ValidationError> {
    let members = &file["members"];
    let Some(folder) = members["register"].as_str() else { return Vec::new() };
    let mut errors = Vec::new();
    if members["path"] == folder {
        let why = "the servers' folder is not allowed; a separate folder for limiters is";
        errors.push(ValidationError::at(below(&[members_step()], "register"), why));
    }
    let name = file["name"].as_str().unwrap_or("oatbank");
    let plain = |c: char| c.is_ascii_graphic() && c != '/';
    if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
        let why =
            format!("{name:?} cannot be registered; 1 to 64 printable characters without '/' are allowed");
        errors.push(ValidationError::at(below(&[], "name"), why));
    }
    errors
}

fn members_step() -> Step {
    Step::Key("members".into())
}
