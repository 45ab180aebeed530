//! The configuration: parsing, validation and serialization.

use crate::columnar_rows::{self, ColumnarRows};
use crate::json::{self, Raw};
use crate::mesh::{self, AllowsAbbreviation, Naming, ServiceNames};
use crate::model::{Customer, Limits, Route, Service};
use crate::reading::{limits_object, read_customers, read_limits, read_routes, read_services};
use crate::validation_error::ValidationError;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// One version of the configuration, validated as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The version number: 12 for `r12`.
    pub version: u64,
    /// The routes, in the order in which they were added.
    pub routes: Vec<Route>,
    /// The services, in the order in which they were added.
    pub services: Vec<Service>,
    /// Limits on the size and duration of clients' requests.
    pub limits: Limits,
    /// The tenants. If the list exists, even empty, requests need keys.
    pub customers: Option<Vec<Customer>>,
    naming: Naming,
    source: Arc<SourceFields>,
}

/// The values of a configuration as they were sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SourceFields {
    pub(crate) version: String,
    pub(crate) routes: ColumnarRows,
    pub(crate) services: ColumnarRows,
    pub(crate) customers: Option<ColumnarRows>,
    pub(crate) limits: Option<BTreeMap<String, Raw>>,
    pub(crate) rest: BTreeMap<String, Raw>,
}

impl Configuration {
    /// Parses an accepted configuration, as written by [`Configuration::text`]. Its routes may abbreviate service names, as
    /// earlier versions accepted that; a [`Proposal`](crate::Proposal) may not.
    ///
    /// # Errors
    /// The first invalid row and field, with the allowed values.
    pub fn read(text: &str) -> Result<Configuration, ValidationError> {
        match Raw::read(text.as_bytes())? {
            Raw::Object(fields) => Configuration::from_fields(fields, &|_, _| true),
            other => Err(ValidationError::new("body", other.shown(), "an object")),
        }
    }

    /// Serializes the configuration as JSON in the form in which it is sent. Equal values give equal text.
    pub fn text(&self) -> String {
        let mut out = String::from("{");
        let SourceFields { version, routes, services, customers, limits, rest } = &*self.source;
        json::field(&mut out, "version");
        Raw::Text(version.clone()).write(&mut out);
        let lists =
            [("routes", Some(routes)), ("services", Some(services)), ("customers", customers.as_ref())];
        for (name, rows) in lists {
            if let Some(rows) = rows {
                out.push(',');
                json::field(&mut out, name);
                rows.write(&mut out);
            }
        }
        let limits = limits.clone().map(|limits| ("limits".to_owned(), Raw::Object(limits)));
        for (name, value) in limits.iter().map(|(name, value)| (name, value)).chain(rest) {
            out.push(',');
            json::field(&mut out, name);
            value.write(&mut out);
        }
        out.push('}');
        out
    }

    /// What the service names consist of.
    pub fn naming(&self) -> Naming {
        self.naming
    }

    pub(crate) fn from_fields(
        mut fields: BTreeMap<String, Raw>,
        allows_abbreviation: AllowsAbbreviation<'_>,
    ) -> Result<Configuration, ValidationError> {
        let (version, _) = version(&fields)?;
        fields.remove("version");
        fields.remove("builtOn");
        let mut rows = |name: &str| match fields.remove(name) {
            None | Some(Raw::Null) => Ok(None),
            Some(value) => ColumnarRows::read(name, value).map(Some),
        };
        let missing = |name| ValidationError::new(name, "nothing", "an object with columns and rows");
        let routes = rows("routes")?.ok_or_else(|| missing("routes"))?;
        let services = rows("services")?.ok_or_else(|| missing("services"))?;
        let customers = rows("customers")?;
        let limits = limits_object(fields.remove("limits"))?;
        let source = SourceFields { version, routes, services, customers, limits, rest: fields };
        Configuration::from_source(source, allows_abbreviation)
    }

    /// Reads and validates the values. `allows_abbreviation` decides whether a route may name a service, given in full,
    /// without the text before its slash although no route has a value in the column `mesh`.
    pub(crate) fn from_source(
        source: SourceFields,
        allows_abbreviation: AllowsAbbreviation<'_>,
    ) -> Result<Configuration, ValidationError> {
        let services = read_services(&source.services)?;
        let mut routes = read_routes(&source.routes)?;
        let declares_meshes = mesh::declares_meshes(&routes);
        let allows_abbreviation =
            |route: &Route, service: &str| declares_meshes || allows_abbreviation(route, service);
        let naming = mesh::naming_of(&routes, &services, &allows_abbreviation);
        mesh::check_services(&source.services, &services, naming)?;
        let service_names = ServiceNames::new(&services, naming);
        for (item, route) in source.routes.items("routes").zip(&mut routes) {
            mesh::resolve_shares(&item, route, &services, &service_names, &allows_abbreviation)?;
        }
        mesh::check_routes(&source.routes, &routes, naming)?;
        let customers = source.customers.as_ref().map(read_customers).transpose()?;
        let mut holders: HashMap<&str, usize> = HashMap::new();
        if let (Some(rows), Some(customers)) = (&source.customers, &customers) {
            for (at, (item, customer)) in rows.items("customers").zip(customers).enumerate() {
                for key in &customer.keys {
                    let holder = *holders.entry(key).or_insert(at);
                    if holder != at {
                        let found = format!("a key of {:?} too", customers[holder].name);
                        return Err(item.invalid("keys", found, "keys that no other tenant has"));
                    }
                }
            }
        }
        Ok(Configuration {
            version: number(&source.version).unwrap_or_default(),
            limits: read_limits(source.limits.as_ref())?,
            routes,
            services,
            customers,
            naming,
            source: Arc::new(source),
        })
    }

    pub(crate) fn source(&self) -> &SourceFields {
        &self.source
    }
}

/// The number in `r12`.
fn number(version: &str) -> Option<u64> {
    let digits = version.strip_prefix('r')?;
    digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse().ok())?
}

/// Reads the field `version` of a call: its text and its number.
pub(crate) fn version(fields: &BTreeMap<String, Raw>) -> Result<(String, u64), ValidationError> {
    const ALLOWED: &str = "r and a number above 0, such as r12";
    let found = fields.get("version").unwrap_or(&Raw::Null);
    let read =
        columnar_rows::text(found).and_then(|text| Some((text.to_owned(), number(text).filter(|n| *n > 0)?)));
    read.ok_or_else(|| ValidationError::new("version", found.shown(), ALLOWED))
}

/// Reads the field `builtOn` of a call: the number of the version that the call is based on, 0 for none.
pub(crate) fn built_on(fields: &BTreeMap<String, Raw>) -> Result<u64, ValidationError> {
    let found = fields.get("builtOn").unwrap_or(&Raw::Null);
    let read = match found {
        Raw::Null => Some(0),
        Raw::Text(text) if text == "0" => Some(0),
        Raw::Text(text) => number(text),
        value => columnar_rows::whole_number(value),
    };
    read.ok_or_else(|| ValidationError::new("builtOn", found.shown(), "a version such as r5, or 0 for none"))
}
