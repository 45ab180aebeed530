//! Changes that operators propose, and applying them to the current configuration.

use crate::columnar_rows::{self, ColumnarRows};
use crate::configuration::{self, Configuration, SourceFields};
use crate::json::Raw;
use crate::model::Route;
use crate::reading;
use crate::validation_error::{ProposalError, ValidationError};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A proposed change to the configuration, parsed from the body of an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// A whole configuration that replaces the current one.
    Replace(Replacement),
    /// Named items to add or replace, and names of items to remove.
    Change(Change),
}

/// A whole configuration, already validated.
#[derive(Clone, Debug, PartialEq)]
pub struct Replacement {
    built_on: u64,
    digest: u64,
    configuration: Configuration,
}

/// Named items to add or replace, and names of items to remove. Each item is valid by itself; the result is validated when
/// the change is applied to the current configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    built_on: u64,
    digest: u64,
    version: String,
    number: u64,
    put: BTreeMap<String, ColumnarRows>,
    remove: BTreeMap<String, Vec<String>>,
    limits: BTreeMap<String, Raw>,
    /// Fields unknown to this crate, from the body or from `putItems`.
    rest: BTreeMap<String, Raw>,
}

impl Proposal {
    /// Parses the body of a call that replaces the configuration.
    ///
    /// # Errors
    /// The first invalid row and field, with the allowed values.
    pub fn replace(body: &[u8]) -> Result<Proposal, ValidationError> {
        let (fields, digest) = read(body, "replace")?;
        let built_on = configuration::built_on(&fields)?;
        Ok(Proposal::Replace(Replacement {
            built_on,
            digest,
            configuration: Configuration::from_fields(fields, &|_, _| false)?,
        }))
    }

    /// Parses the body of a call that changes named items.
    ///
    /// # Errors
    /// The first invalid row and field, with the allowed values.
    pub fn change(body: &[u8]) -> Result<Proposal, ValidationError> {
        let (mut fields, digest) = read(body, "change")?;
        let built_on = configuration::built_on(&fields)?;
        let (version, number) = configuration::version(&fields)?;
        fields.remove("version");
        fields.remove("builtOn");
        let items = object("putItems", fields.remove("putItems"))?;
        let removed = object("remove", fields.remove("remove"))?;
        for list in ["routes", "services", "customers"] {
            if let Some(value) = fields.get(list) {
                return Err(ValidationError::new(list, value.shown(), "items under putItems"));
            }
        }
        let mut limits = reading::limits_object(fields.remove("limits"))?.unwrap_or_default();
        let mut put = BTreeMap::new();
        for (list, value) in items {
            match list.as_str() {
                "limits" => limits.extend(reading::limits_object(Some(value))?.unwrap_or_default()),
                "routes" | "services" | "customers" if value == Raw::Null => {}
                "routes" | "services" | "customers" => {
                    let rows = ColumnarRows::read(&list, value)?;
                    put.insert(list, rows);
                }
                _ if ColumnarRows::is_list(&value) => {
                    let rows = ColumnarRows::read(&list, value)?;
                    put.insert(list, rows);
                }
                _ => {
                    fields.insert(list, value);
                }
            }
        }
        // Validated here so that an error gives the row's number in this body, not in the resulting list.
        put.get("routes").map(reading::read_routes).transpose()?;
        put.get("services").map(reading::read_services).transpose()?;
        put.get("customers").map(reading::read_customers).transpose()?;
        reading::read_limits(Some(&limits))?;
        let mut remove = BTreeMap::new();
        for (list, value) in removed {
            if value == Raw::Null {
                continue;
            }
            let names = columnar_rows::strings(&value).ok_or_else(|| {
                ValidationError::new(format!("remove, {list}"), value.shown(), "a list of names")
            })?;
            remove.insert(list, names);
        }
        Ok(Proposal::Change(Change { built_on, digest, version, number, put, remove, limits, rest: fields }))
    }

    /// The version number of the resulting configuration.
    pub fn version(&self) -> u64 {
        match self {
            Proposal::Replace(whole) => whole.configuration.version,
            Proposal::Change(change) => change.number,
        }
    }

    /// The version number of the configuration that the proposal is based on; 0 for none.
    pub fn built_on(&self) -> u64 {
        match self {
            Proposal::Replace(whole) => whole.built_on,
            Proposal::Change(change) => change.built_on,
        }
    }

    /// A hash of the call and its body that identifies repeats. It ignores white space and the order of fields.
    pub fn digest(&self) -> u64 {
        match self {
            Proposal::Replace(whole) => whole.digest,
            Proposal::Change(change) => change.digest,
        }
    }

    /// Applies the proposal to `current` and returns the resulting configuration.
    ///
    /// # Errors
    /// [`ProposalError::Stale`] if the proposal is not based on `current`, [`ProposalError::Invalid`] if its version is not
    /// above that of `current` or the result is invalid.
    pub fn onto(&self, current: Option<&Configuration>) -> Result<Configuration, ProposalError> {
        let now = current.map_or(0, |configuration| configuration.version);
        if self.built_on() != now {
            return Err(ProposalError::Stale { current: now });
        }
        if self.version() <= now {
            let found = format!("r{}", self.version());
            return Err(ValidationError::new(
                "version",
                found,
                format!("a version above the current one, r{now}"),
            )
            .into());
        }
        match self {
            Proposal::Replace(whole) => Ok(whole.configuration.clone()),
            Proposal::Change(change) => {
                let source = current.map(|configuration| configuration.source().clone()).unwrap_or_default();
                let is_in_force = |route: &Route, service: &str| {
                    let mut routes = current.into_iter().flat_map(|configuration| &configuration.routes);
                    routes.any(|r| r.name == route.name && r.shares.iter().any(|(name, _)| name == service))
                };
                Ok(Configuration::from_source(change.apply(source)?, &is_in_force)?)
            }
        }
    }
}

impl Change {
    /// Applies the change to `source`. Removals come first, so an item that is both removed and put remains.
    fn apply(&self, mut source: SourceFields) -> Result<SourceFields, ValidationError> {
        source.version.clone_from(&self.version);
        for (list, names) in &self.remove {
            match list.as_str() {
                "routes" => source.routes.remove(names),
                "services" => source.services.remove(names),
                "customers" => source.customers.iter_mut().for_each(|rows| rows.remove(names)),
                other => change_unknown_list(&mut source.rest, other, |rows| rows.remove(names))?,
            }
        }
        for (list, items) in &self.put {
            match list.as_str() {
                "routes" => source.routes.put(items),
                "services" => source.services.put(items),
                "customers" => source.customers.get_or_insert_default().put(items),
                other => {
                    if !source.rest.get(other).is_some_and(ColumnarRows::is_list) {
                        source.rest.insert(other.to_owned(), ColumnarRows::default().into_raw());
                    }
                    change_unknown_list(&mut source.rest, other, |rows| rows.put(items))?;
                }
            }
        }
        if !self.limits.is_empty() {
            let limits = source.limits.get_or_insert_default();
            limits.extend(self.limits.iter().map(|(name, value)| (name.clone(), value.clone())));
        }
        source.rest.extend(self.rest.iter().map(|(name, value)| (name.clone(), value.clone())));
        Ok(source)
    }
}

/// Applies `then` to a list of items that is unknown to this crate. Does nothing if there is no such list.
fn change_unknown_list(
    rest: &mut BTreeMap<String, Raw>,
    list: &str,
    then: impl Fn(&mut ColumnarRows),
) -> Result<(), ValidationError> {
    if let Some(value) = rest.get_mut(list).filter(|value| ColumnarRows::is_list(value)) {
        let mut rows = ColumnarRows::read(list, std::mem::replace(value, Raw::Null))?;
        then(&mut rows);
        *value = rows.into_raw();
    }
    Ok(())
}

/// Parses a body. Returns its fields and a hash of the call's name and the body in canonical form.
fn read(body: &[u8], call: &str) -> Result<(BTreeMap<String, Raw>, u64), ValidationError> {
    let value = Raw::read(body)?;
    let mut canonical = format!("{call}\n");
    value.write(&mut canonical);
    match value {
        Raw::Object(fields) => Ok((fields, xxh3_64(canonical.as_bytes()))),
        other => Err(ValidationError::new("body", other.shown(), "an object")),
    }
}

/// Reads an object; `None` and null are empty ones.
fn object(name: &str, value: Option<Raw>) -> Result<BTreeMap<String, Raw>, ValidationError> {
    match value {
        None | Some(Raw::Null) => Ok(BTreeMap::new()),
        Some(Raw::Object(fields)) => Ok(fields),
        Some(other) => {
            Err(ValidationError::new(name, other.shown(), "an object of lists, keyed by their names"))
        }
    }
}
