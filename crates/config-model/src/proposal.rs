//! What an operator asks for, and building it on the configuration in place.

use crate::columnar_rows::{self, ColumnarRows};
use crate::configuration::{self, Configuration, SourceFields};
use crate::json::Raw;
use crate::reading;
use crate::validation_error::{ProposalError, ValidationError};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A call of the operator, read whole.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposal {
    /// A whole configuration in place of the one there is.
    Replace(Replacement),
    /// Named items to put and to take away.
    Change(Change),
}

/// A whole configuration, already checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Replacement {
    built_on: u64,
    digest: u64,
    configuration: Configuration,
}

/// Named items to put and to take away. Whether they fit shows on the configuration in place.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    built_on: u64,
    digest: u64,
    version: String,
    number: u64,
    put: BTreeMap<String, ColumnarRows>,
    remove: BTreeMap<String, Vec<String>>,
    limits: BTreeMap<String, Raw>,
    /// What this crate does not know, named in the body or under `putItems`.
    rest: BTreeMap<String, Raw>,
}

impl Proposal {
    /// Reads the body of a call that replaces the configuration.
    ///
    /// # Errors
    /// The row and field that cannot be read or are not allowed, and what is allowed.
    pub fn replace(body: &[u8]) -> Result<Proposal, ValidationError> {
        let (fields, digest) = read(body, "replace")?;
        let built_on = configuration::built_on(&fields)?;
        Ok(Proposal::Replace(Replacement {
            built_on,
            digest,
            configuration: Configuration::from_fields(fields)?,
        }))
    }

    /// Reads the body of a call that changes named items.
    ///
    /// # Errors
    /// The row and field that cannot be read or are not allowed, and what is allowed.
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
                _ if ColumnarRows::fits(&value) => {
                    let rows = ColumnarRows::read(&list, value)?;
                    put.insert(list, rows);
                }
                _ => {
                    fields.insert(list, value);
                }
            }
        }
        // What is wrong in a row is told with the row's number in this body.
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

    /// The number of the version that it would be.
    pub fn version(&self) -> u64 {
        match self {
            Proposal::Replace(whole) => whole.configuration.version,
            Proposal::Change(change) => change.number,
        }
    }

    /// The number of the version that it builds on, 0 for none.
    pub fn built_on(&self) -> u64 {
        match self {
            Proposal::Replace(whole) => whole.built_on,
            Proposal::Change(change) => change.built_on,
        }
    }

    /// Tells this call from others: the same for a repeat, whatever the white space and the order of fields.
    pub fn digest(&self) -> u64 {
        match self {
            Proposal::Replace(whole) => whole.digest,
            Proposal::Change(change) => change.digest,
        }
    }

    /// The configuration that follows `current`.
    ///
    /// # Errors
    /// `current` is not the version that this was built on, or what it comes to is not allowed.
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
                format!("one above r{now}, which is in place"),
            )
            .into());
        }
        match self {
            Proposal::Replace(whole) => Ok(whole.configuration.clone()),
            Proposal::Change(change) => {
                let source = current.map(|configuration| configuration.source().clone()).unwrap_or_default();
                Ok(Configuration::from_source(change.apply(source)?)?)
            }
        }
    }
}

impl Change {
    /// Takes away first: an item that is named in both is there afterwards.
    fn apply(&self, mut source: SourceFields) -> Result<SourceFields, ValidationError> {
        source.version.clone_from(&self.version);
        for (list, names) in &self.remove {
            match list.as_str() {
                "routes" => source.routes.remove(names),
                "services" => source.services.remove(names),
                "customers" => source.customers.iter_mut().for_each(|rows| rows.remove(names)),
                other => on_unknown(&mut source.rest, other, |rows| rows.remove(names))?,
            }
        }
        for (list, items) in &self.put {
            match list.as_str() {
                "routes" => source.routes.put(items),
                "services" => source.services.put(items),
                "customers" => source.customers.get_or_insert_default().put(items),
                other => {
                    if !source.rest.get(other).is_some_and(ColumnarRows::fits) {
                        source.rest.insert(other.to_owned(), ColumnarRows::default().into_raw());
                    }
                    on_unknown(&mut source.rest, other, |rows| rows.put(items))?;
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

/// Changes a list of items that this crate does not know, if there is one of that name.
fn on_unknown(
    rest: &mut BTreeMap<String, Raw>,
    list: &str,
    then: impl Fn(&mut ColumnarRows),
) -> Result<(), ValidationError> {
    if let Some(value) = rest.get_mut(list).filter(|value| ColumnarRows::fits(value)) {
        let mut rows = ColumnarRows::read(list, std::mem::replace(value, Raw::Null))?;
        then(&mut rows);
        *value = rows.into_raw();
    }
    Ok(())
}

/// The fields of a body, and what tells it from others that are meant for the same call.
fn read(body: &[u8], call: &str) -> Result<(BTreeMap<String, Raw>, u64), ValidationError> {
    let value = Raw::read(body)?;
    let mut canonical = format!("{call}\n");
    value.write(&mut canonical);
    match value {
        Raw::Object(fields) => Ok((fields, xxh3_64(canonical.as_bytes()))),
        other => Err(ValidationError::new("body", other.shown(), "an object")),
    }
}

fn object(name: &str, value: Option<Raw>) -> Result<BTreeMap<String, Raw>, ValidationError> {
    match value {
        None | Some(Raw::Null) => Ok(BTreeMap::new()),
        Some(Raw::Object(fields)) => Ok(fields),
        Some(other) => Err(ValidationError::new(name, other.shown(), "an object with lists by their names")),
    }
}
