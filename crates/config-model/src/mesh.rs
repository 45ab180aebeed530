//! Meshes: scopes for service names, so that several meshes can have a service of the same name.
//!
//! A service of a mesh is named `mesh/name` (`north/bookings`). The mesh is part of the name because items are identified,
//! put and removed by their names. A name may contain a slash for any other reason, so a slash separates a mesh only in a
//! configuration that uses meshes: one of its routes has a value in the column `mesh`.

use crate::columnar_rows::{ColumnarRows, Item};
use crate::host::plain_host;
use crate::model::{Route, Service};
use crate::service_name;
pub use crate::service_name::{parts, whole};
use crate::validation_error::ValidationError;
use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap};

/// What the service names of a configuration consist of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Naming {
    /// A name is compared as a whole. A slash has no meaning.
    #[default]
    Plain,
    /// The text before a name's first slash is its mesh.
    WithMeshes,
}

impl Naming {
    /// Splits a service name into its mesh, empty for none, and its name within the mesh.
    pub fn parts(self, name: &str) -> (&str, &str) {
        match self {
            Naming::Plain => ("", name),
            Naming::WithMeshes => service_name::parts(name),
        }
    }
}

/// Index of services by full name and by name within a mesh. The values are positions in the list of services.
#[derive(Clone, Debug, Default)]
pub struct ServiceNames {
    naming: Naming,
    whole: HashMap<String, usize>,
    /// Positions of the services that belong to a mesh, by their names within it.
    within: HashMap<String, Vec<usize>>,
}

/// The result of resolving a service name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameMatch<'a> {
    /// The service at this position.
    One(usize),
    /// Ambiguous: services of this name in different meshes, by their positions.
    Several(&'a [usize]),
    /// No service has this name.
    Nobody,
}

impl ServiceNames {
    /// Builds the index of `services`.
    pub fn new(services: &[Service], naming: Naming) -> Self {
        let mut service_names = ServiceNames { naming, ..ServiceNames::default() };
        for (at, service) in services.iter().enumerate() {
            service_names.whole.insert(service.name.clone(), at);
            let (mesh, rest) = naming.parts(&service.name);
            if !mesh.is_empty() {
                service_names.within.entry(rest.to_owned()).or_default().push(at);
            }
        }
        service_names
    }

    /// Resolves `name` within `mesh`, or within all meshes if `mesh` is empty and the name contains none.
    pub fn resolve(&self, mesh: &str, name: &str) -> NameMatch<'_> {
        let known = if mesh.is_empty() { self.whole.get(name) } else { self.whole.get(&whole(mesh, name)) };
        if let Some(at) = known {
            return NameMatch::One(*at);
        }
        if !mesh.is_empty() || !self.naming.parts(name).0.is_empty() {
            return NameMatch::Nobody;
        }
        match self.within.get(name).map(Vec::as_slice) {
            Some([one]) => NameMatch::One(*one),
            Some(several) => NameMatch::Several(several),
            None => NameMatch::Nobody,
        }
    }
}

/// Whether a route may abbreviate the name of a service, given in full.
pub(crate) type AllowsAbbreviation<'a> = &'a dyn Fn(&Route, &str) -> bool;

/// Whether a route declares a mesh in its column `mesh`.
pub(crate) fn declares_meshes(routes: &[Route]) -> bool {
    routes.iter().any(|route| !route.mesh.is_empty())
}

/// Finds out whether a configuration uses meshes: it does if a route declares one, or abbreviates the name of a service.
///
/// Earlier versions took every text before a slash for a mesh, and accepted a route that names a service without it. A name
/// is abbreviated if no service is named exactly so, and exactly one is named so after its first slash.
pub(crate) fn naming_of(
    routes: &[Route],
    services: &[Service],
    allows_abbreviation: AllowsAbbreviation<'_>,
) -> Naming {
    if declares_meshes(routes) {
        return Naming::WithMeshes;
    }
    let service_names = ServiceNames::new(services, Naming::WithMeshes);
    let is_abbreviated = |route: &Route, name: &str| match service_names.resolve("", name) {
        NameMatch::One(at) if services[at].name != name => allows_abbreviation(route, &services[at].name),
        _ => false,
    };
    let abbreviates = |route: &Route| route.shares.iter().any(|(name, _)| is_abbreviated(route, name));
    if routes.iter().any(abbreviates) {
        Naming::WithMeshes
    } else {
        Naming::Plain
    }
}

/// Rejects a service name that exists both without a mesh and within one, as a reference to it would be ambiguous.
pub(crate) fn check_services(
    rows: &ColumnarRows,
    services: &[Service],
    naming: Naming,
) -> Result<(), ValidationError> {
    let alone: HashMap<&str, usize> = services
        .iter()
        .enumerate()
        .filter(|(_, service)| naming.parts(&service.name).0.is_empty())
        .map(|(at, service)| (service.name.as_str(), at))
        .collect();
    for (item, service) in rows.items("services").zip(services) {
        let (mesh, rest) = naming.parts(&service.name);
        if let Some(at) = alone.get(rest).filter(|_| !mesh.is_empty()) {
            let found = format!("{:?} beside {rest:?} without a mesh in row {}", service.name, at + 1);
            let allowed = format!("a mesh before that one's name too, as \"mesh/{rest}\"");
            return Err(item.invalid("name", found, allowed));
        }
    }
    Ok(())
}

/// Replaces the service names in a route's shares by full names. Fails for an unknown or ambiguous name.
pub(crate) fn resolve_shares(
    item: &Item<'_>,
    route: &mut Route,
    services: &[Service],
    service_names: &ServiceNames,
    allows_abbreviation: AllowsAbbreviation<'_>,
) -> Result<(), ValidationError> {
    let field = if item.get("shares").is_some() { "shares" } else { "service" };
    let mut shares = Vec::with_capacity(route.shares.len());
    for (service, weight) in &route.shares {
        let is_allowed =
            |full: &str| full == service || !route.mesh.is_empty() || allows_abbreviation(route, full);
        match service_names.resolve(&route.mesh, service) {
            NameMatch::One(at) if is_allowed(&services[at].name) => {
                shares.push((services[at].name.clone(), *weight));
            }
            NameMatch::Several(places) => {
                let names: Vec<&str> = places.iter().map(|at| services[*at].name.as_str()).collect();
                let found = format!("{service:?}, which may be {}", names.join(" or "));
                return Err(item.invalid(
                    field,
                    found,
                    "one of these in full, or a mesh in the route's column mesh",
                ));
            }
            NameMatch::One(_) | NameMatch::Nobody => {
                let found = format!("{service:?}");
                return Err(item.invalid(field, found, "the name of a service in services"));
            }
        }
    }
    route.shares = shares;
    Ok(())
}

/// Rejects two routes with the same host and path prefix into different meshes: only their order would decide between them.
pub(crate) fn check_routes(
    rows: &ColumnarRows,
    routes: &[Route],
    naming: Naming,
) -> Result<(), ValidationError> {
    if naming == Naming::Plain {
        return Ok(());
    }
    let meshes_of = |route: &Route| -> BTreeSet<String> {
        route.shares.iter().map(|(service, _)| naming.parts(service).0.to_owned()).collect()
    };
    let owners = |route: &Route| -> String {
        let names: Vec<&str> = route.shares.iter().map(|(service, _)| service.as_str()).collect();
        names.join(" and ")
    };
    let mut first: HashMap<(Cow<'_, str>, &str), usize> = HashMap::new();
    for (at, (item, route)) in rows.items("routes").zip(routes).enumerate() {
        let other = &routes[*first.entry((plain_host(&route.host), &route.prefix)).or_insert(at)];
        if meshes_of(other) != meshes_of(route) {
            let found = format!(
                "{:?} of {:?} for {}, which route {:?} has for {}",
                route.prefix,
                route.host,
                owners(route),
                other.name,
                owners(other)
            );
            return Err(item.invalid("pathStart", found, "a path or a host of its own for each of the two"));
        }
    }
    Ok(())
}
