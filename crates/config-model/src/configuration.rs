//! The configuration, its checks, reading and writing it.

use crate::columnar_rows::{self, Item, Sheet};
use crate::json::{self, Raw};
use crate::mesh;
use crate::validation_error::Invalid;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// No route may hold a request longer, ms.
const LONGEST_MS: f64 = 600_000.0;

/// One version of the configuration, checked whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Playbill {
    /// Its number: 12 for `r12`.
    pub version: u64,
    /// Where requests go, in the order in which they were put.
    pub routes: Vec<Route>,
    /// The kinds of servers, in the order in which they were put.
    pub services: Vec<Service>,
    /// What a client may send, and how long it may take.
    pub limits: Limits,
    /// The tenants; if there is such a list, even an empty one, requests need keys.
    pub customers: Option<Vec<Customer>>,
    kept: Arc<Kept>,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// They may run more than once.
    Safe,
    /// Each may run at most once. Also what a route is that does not say.
    Unsafe,
    /// As safe, with large answers.
    Download,
}

/// Where the requests for a host and a prefix of its paths go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, as it was put.
    pub host: String,
    /// What the paths begin with. Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a request may be held, ms. Ten minutes if it is left out.
    pub give_up_ms: f64,
    /// Within this an answer has its full worth, ms. As `give_up_ms` if it is left out.
    pub target_ms: f64,
    /// 0 goes before all others, and is what a route has that does not say.
    pub rank: u32,
    /// The mesh in which its services stand that say none; empty if it is left out.
    pub mesh: String,
    /// The services by their whole names and their weights, which add up to more than 0. A `service` is one
    /// share of weight 1.
    pub shares: Vec<(String, f64)>,
    /// The most servers that one request may be sent to. 1 if it is left out.
    pub tries: u32,
    /// Do its requests need no key?
    pub keyless: bool,
    /// The regions it may be served in; any if there are none.
    pub homes: Vec<String>,
}

/// A kind of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, with its mesh before a slash if it has one.
    pub name: String,
    /// Where a server says how it is; empty if nowhere.
    pub health_path: String,
    /// The most connections that a server takes from all callers together. `u32::MAX` if it is left out.
    pub max_connections: u32,
    /// What its servers speak. `h1` if it is left out.
    pub protocol: String,
    /// Do they speak it over TLS?
    pub tls: bool,
    /// How long a server is cold after its start, s.
    pub cold_s: f64,
    /// Requests a second that a cold server bears; 0 if that is left out.
    pub cold_rate: f64,
}

impl Service {
    /// Its mesh, empty for none, and its name within it.
    pub fn parts(&self) -> (&str, &str) {
        mesh::parts(&self.name)
    }
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest head of a request, bytes.
    pub header_bytes: u64,
    /// The longest body of a request, bytes.
    pub body_bytes: u64,
    /// The longest that a head may take, ms.
    pub header_wait_ms: f64,
    /// The longest that a connection may sit idle, ms.
    pub idle_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { header_bytes: 16_384, body_bytes: 67_108_864, header_wait_ms: 3000.0, idle_ms: 15_000.0 }
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: String,
    /// The keys its requests carry.
    pub keys: Vec<String>,
    /// Goes before the route's rank.
    pub rank: Option<u32>,
    /// Requests a second over all limiters; 0 for no limit.
    pub rate: f64,
    /// What it may send on top of that at once.
    pub burst: f64,
    /// The regions it may be served in; any if there are none.
    pub homes: Vec<String>,
}

/// What was put, value by value.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Kept {
    pub(crate) version: String,
    pub(crate) routes: Sheet,
    pub(crate) services: Sheet,
    pub(crate) customers: Option<Sheet>,
    pub(crate) limits: Option<BTreeMap<String, Raw>>,
    pub(crate) rest: BTreeMap<String, Raw>,
}

impl Playbill {
    /// Reads a configuration that [`Playbill::text`] wrote, or the body of a call that replaces one.
    pub fn read(text: &str) -> Result<Playbill, Invalid> {
        match Raw::read(text.as_bytes())? {
            Raw::Object(fields) => Playbill::from_fields(fields),
            other => Err(Invalid::new("body", other.shown(), "an object")),
        }
    }

    /// The whole configuration as JSON, laid out as it is put. The same for the same values.
    pub fn text(&self) -> String {
        let mut out = String::from("{");
        let Kept { version, routes, services, customers, limits, rest } = &*self.kept;
        json::field(&mut out, "version");
        Raw::Text(version.clone()).write(&mut out);
        let sheets =
            [("routes", Some(routes)), ("services", Some(services)), ("customers", customers.as_ref())];
        for (name, sheet) in sheets {
            if let Some(sheet) = sheet {
                out.push(',');
                json::field(&mut out, name);
                sheet.write(&mut out);
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

    pub(crate) fn from_fields(mut fields: BTreeMap<String, Raw>) -> Result<Playbill, Invalid> {
        let (version, _) = version(&fields)?;
        fields.remove("version");
        fields.remove("builtOn");
        let mut sheet = |name: &str| match fields.remove(name) {
            None | Some(Raw::Null) => Ok(None),
            Some(value) => Sheet::read(name, value).map(Some),
        };
        let missing = |name| Invalid::new(name, "nothing", "an object with columns and rows");
        let routes = sheet("routes")?.ok_or_else(|| missing("routes"))?;
        let services = sheet("services")?.ok_or_else(|| missing("services"))?;
        let customers = sheet("customers")?;
        let limits = limits_object(fields.remove("limits"))?;
        Playbill::from_kept(Kept { version, routes, services, customers, limits, rest: fields })
    }

    /// Reads the values and checks what they must keep to.
    pub(crate) fn from_kept(kept: Kept) -> Result<Playbill, Invalid> {
        let services = read_services(&kept.services)?;
        mesh::check_services(&kept.services, &services)?;
        let mut routes = read_routes(&kept.routes)?;
        let named = mesh::Named::new(&services);
        for (item, route) in kept.routes.items("routes").zip(&mut routes) {
            mesh::settle_shares(&item, route, &services, &named)?;
        }
        mesh::check_routes(&kept.routes, &routes)?;
        let customers = kept.customers.as_ref().map(read_customers).transpose()?;
        let mut holders: HashMap<&str, usize> = HashMap::new();
        if let (Some(sheet), Some(customers)) = (&kept.customers, &customers) {
            for (at, (item, customer)) in sheet.items("customers").zip(customers).enumerate() {
                for key in &customer.keys {
                    let holder = *holders.entry(key).or_insert(at);
                    if holder != at {
                        let found = format!("a key of {:?} too", customers[holder].name);
                        return Err(item.invalid("keys", found, "keys that no other tenant has"));
                    }
                }
            }
        }
        Ok(Playbill {
            version: number(&kept.version).unwrap_or_default(),
            limits: read_limits(kept.limits.as_ref())?,
            routes,
            services,
            customers,
            kept: Arc::new(kept),
        })
    }

    pub(crate) fn kept(&self) -> &Kept {
        &self.kept
    }
}

/// The number in `r12`.
fn number(version: &str) -> Option<u64> {
    let digits = version.strip_prefix('r')?;
    digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse().ok())?
}

/// The version that a call names, and its number.
pub(crate) fn version(fields: &BTreeMap<String, Raw>) -> Result<(String, u64), Invalid> {
    const ALLOWED: &str = "r and a number above 0, as r12";
    let found = fields.get("version").unwrap_or(&Raw::Null);
    let read =
        columnar_rows::text(found).and_then(|text| Some((text.to_owned(), number(text).filter(|n| *n > 0)?)));
    read.ok_or_else(|| Invalid::new("version", found.shown(), ALLOWED))
}

/// The number of the version that a call builds on, 0 for none.
pub(crate) fn built_on(fields: &BTreeMap<String, Raw>) -> Result<u64, Invalid> {
    let found = fields.get("builtOn").unwrap_or(&Raw::Null);
    let read = match found {
        Raw::Null => Some(0),
        Raw::Text(text) if text == "0" => Some(0),
        Raw::Text(text) => number(text),
        value => columnar_rows::count(value),
    };
    read.ok_or_else(|| Invalid::new("builtOn", found.shown(), "a version as r5, or 0 for none"))
}

pub(crate) fn read_routes(sheet: &Sheet) -> Result<Vec<Route>, Invalid> {
    sheet.items("routes").map(|item| read_route(&item)).collect()
}

fn read_route(item: &Item<'_>) -> Result<Route, Invalid> {
    let kind =
        item.read("routeKind", "safe, unsafe or download", |value| match columnar_rows::text(value)? {
            "safe" => Some(Kind::Safe),
            "unsafe" => Some(Kind::Unsafe),
            "download" => Some(Kind::Download),
            _ => None,
        })?;
    let prefix = item.need("pathStart", "a path that begins and ends with a slash", |value| {
        columnar_rows::text(value).filter(|path| path.starts_with('/') && path.ends_with('/'))
    })?;
    let give_up_ms = item
        .read("giveUpMs", "a number above 0 and at most 600000", |value| {
            columnar_rows::amount(value).filter(|ms| *ms > 0.0 && *ms <= LONGEST_MS)
        })?
        .unwrap_or(LONGEST_MS);
    Ok(Route {
        name: item.name()?.to_owned(),
        host: item.need("hostName", "a string of one character at least", columnar_rows::filled)?.to_owned(),
        prefix: prefix.to_owned(),
        kind: kind.unwrap_or(Kind::Unsafe),
        give_up_ms,
        target_ms: item.read("targetMs", "a number from 0 up", columnar_rows::amount)?.unwrap_or(give_up_ms),
        rank: item.read("rank", "a whole number from 0 up", columnar_rows::small)?.unwrap_or(0),
        mesh: item.read("mesh", "a mesh's name, without a slash", mesh_name)?.unwrap_or("").to_owned(),
        shares: read_shares(item)?,
        tries: item
            .read("tries", "a whole number from 1 up", |value| {
                columnar_rows::small(value).filter(|tries| *tries > 0)
            })?
            .unwrap_or(1),
        keyless: item.read("keyless", "true or false", columnar_rows::flag)?.unwrap_or(false),
        homes: item.strings("homeRegions")?,
    })
}

fn mesh_name(value: &Raw) -> Option<&str> {
    columnar_rows::text(value).filter(|name| !name.contains('/'))
}

fn read_shares(item: &Item<'_>) -> Result<Vec<(String, f64)>, Invalid> {
    let service = item.read("service", "the name of a service", columnar_rows::filled)?;
    let allowed = "a list of objects with a service and a weight from 0 up";
    let shares = item.read("shares", allowed, |value| match value {
        Raw::List(shares) => shares.iter().map(share).collect::<Option<Vec<_>>>(),
        _ => None,
    })?;
    match (shares, service) {
        (None, None) => Err(item.invalid("service", "nothing, and no shares", "one of the two")),
        (None, Some(service)) => Ok(vec![(service.to_owned(), 1.0)]),
        (Some(shares), Some(service)) if shares.is_empty() => Ok(vec![(service.to_owned(), 1.0)]),
        (Some(shares), _) => {
            let sum = shares.iter().fold(0.0, |sum, (_, weight)| sum + weight);
            if sum > 0.0 && sum.is_finite() {
                return Ok(shares);
            }
            Err(item.invalid("shares", format!("weights that add up to {sum}"), "a sum above 0"))
        }
    }
}

fn share(value: &Raw) -> Option<(String, f64)> {
    let Raw::Object(fields) = value else { return None };
    Some((
        columnar_rows::filled(fields.get("service")?)?.to_owned(),
        columnar_rows::amount(fields.get("weight")?)?,
    ))
}

pub(crate) fn read_services(sheet: &Sheet) -> Result<Vec<Service>, Invalid> {
    sheet.items("services").map(|item| read_service(&item)).collect()
}

fn read_service(item: &Item<'_>) -> Result<Service, Invalid> {
    let path = item.read("healthPath", "a path that begins with a slash", |value| {
        columnar_rows::text(value).filter(|path| path.is_empty() || path.starts_with('/'))
    })?;
    Ok(Service {
        name: item.name()?.to_owned(),
        health_path: path.unwrap_or("").to_owned(),
        max_connections: item
            .read("maxConnections", "a whole number from 0 up", columnar_rows::small)?
            .unwrap_or(u32::MAX),
        protocol: item.read("protocol", "a string", columnar_rows::text)?.unwrap_or("h1").to_owned(),
        tls: item.read("tls", "true or false", columnar_rows::flag)?.unwrap_or(false),
        cold_s: item.read("coldS", "a number from 0 up", columnar_rows::amount)?.unwrap_or(0.0),
        cold_rate: item.read("coldRateS", "a number from 0 up", columnar_rows::amount)?.unwrap_or(0.0),
    })
}

pub(crate) fn read_customers(sheet: &Sheet) -> Result<Vec<Customer>, Invalid> {
    sheet.items("customers").map(|item| read_customer(&item)).collect()
}

fn read_customer(item: &Item<'_>) -> Result<Customer, Invalid> {
    Ok(Customer {
        name: item.name()?.to_owned(),
        keys: item.strings("keys")?,
        rank: item.read("rank", "a whole number from 0 up", columnar_rows::small)?,
        rate: item.read("ratePerS", "a number from 0 up", columnar_rows::amount)?.unwrap_or(0.0),
        burst: item.read("burst", "a number from 0 up", columnar_rows::amount)?.unwrap_or(0.0),
        homes: item.strings("homeRegions")?,
    })
}

/// The limits as fields, `None` if they are left out.
pub(crate) fn limits_object(value: Option<Raw>) -> Result<Option<BTreeMap<String, Raw>>, Invalid> {
    match value {
        None | Some(Raw::Null) => Ok(None),
        Some(Raw::Object(fields)) => Ok(Some(fields)),
        Some(other) => Err(Invalid::new("limits", other.shown(), "an object")),
    }
}

pub(crate) fn read_limits(fields: Option<&BTreeMap<String, Raw>>) -> Result<Limits, Invalid> {
    let usual = Limits::default();
    let Some(fields) = fields else { return Ok(usual) };
    let get = |name| fields.get(name).filter(|value| **value != Raw::Null);
    let bytes = |name, usual| match get(name) {
        None => Ok(usual),
        Some(value) => columnar_rows::count(value).ok_or_else(|| {
            Invalid::new(format!("limits, {name}"), value.shown(), "a whole number from 0 up")
        }),
    };
    let ms = |name, usual| match get(name) {
        None => Ok(usual),
        Some(value) => columnar_rows::amount(value)
            .ok_or_else(|| Invalid::new(format!("limits, {name}"), value.shown(), "a number from 0 up")),
    };
    Ok(Limits {
        header_bytes: bytes("maxHeaderBytes", usual.header_bytes)?,
        body_bytes: bytes("maxBodyBytes", usual.body_bytes)?,
        header_wait_ms: ms("headerWaitMs", usual.header_wait_ms)?,
        idle_ms: ms("idleMs", usual.idle_ms)?,
    })
}
