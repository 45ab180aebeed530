//! Meshes: a service's name may be prefixed with its mesh and a slash (`north/bookings`), so that several meshes can have
//! a service of the same name. A configuration without mesh names has a single, unnamed mesh.
//!
//! The mesh is part of the name because items are identified, put and removed by their names.

use crate::columnar_rows::{ColumnarRows, Item};
use crate::host::plain_host;
use crate::model::{Route, Service};
pub use crate::service_name::{parts, whole};
use crate::validation_error::ValidationError;
use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap};

/// Index of services by full name and by name without mesh. The values are positions in the list of services.
#[derive(Clone, Debug, Default)]
pub struct ServiceNames {
    whole: HashMap<String, usize>,
    /// Positions by the name without the mesh.
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
    pub fn new(services: &[Service]) -> Self {
        let mut service_names = ServiceNames::default();
        for (at, service) in services.iter().enumerate() {
            service_names.whole.insert(service.name.clone(), at);
            service_names.within.entry(service.parts().1.to_owned()).or_default().push(at);
        }
        service_names
    }

    /// Resolves `name` within `mesh`, or within all meshes if `mesh` is empty and the name contains none.
    pub fn resolve(&self, mesh: &str, name: &str) -> NameMatch<'_> {
        let known = if mesh.is_empty() { self.whole.get(name) } else { self.whole.get(&whole(mesh, name)) };
        if let Some(at) = known {
            return NameMatch::One(*at);
        }
        if !mesh.is_empty() || !parts(name).0.is_empty() {
            return NameMatch::Nobody;
        }
        match self.within.get(name).map(Vec::as_slice) {
            Some([one]) => NameMatch::One(*one),
            Some(several) => NameMatch::Several(several),
            None => NameMatch::Nobody,
        }
    }
}

/// Rejects a service name that exists both without a mesh and within one, as a reference to it would be ambiguous.
pub(crate) fn check_services(rows: &ColumnarRows, services: &[Service]) -> Result<(), ValidationError> {
    let alone: HashMap<&str, usize> = services
        .iter()
        .enumerate()
        .filter(|(_, service)| parts(&service.name).0.is_empty())
        .map(|(at, service)| (service.name.as_str(), at))
        .collect();
    for (item, service) in rows.items("services").zip(services) {
        let (mesh, rest) = parts(&service.name);
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
) -> Result<(), ValidationError> {
    let field = if item.get("shares").is_some() { "shares" } else { "service" };
    for (service, _) in &mut route.shares {
        match service_names.resolve(&route.mesh, service) {
            NameMatch::One(at) => service.clone_from(&services[at].name),
            NameMatch::Several(places) => {
                let names: Vec<&str> = places.iter().map(|at| services[*at].name.as_str()).collect();
                let found = format!("{service:?}, which may be {}", names.join(" or "));
                return Err(item.invalid(
                    field,
                    found,
                    "one of these in full, or a mesh in the route's column mesh",
                ));
            }
            NameMatch::Nobody => {
                let found = format!("{service:?}");
                return Err(item.invalid(field, found, "the name of a service in services"));
            }
        }
    }
    Ok(())
}

/// Rejects two routes with the same host and path prefix into different meshes: only their order would decide between them.
pub(crate) fn check_routes(rows: &ColumnarRows, routes: &[Route]) -> Result<(), ValidationError> {
    let meshes = |route: &Route| -> BTreeSet<String> {
        route.shares.iter().map(|(service, _)| parts(service).0.to_owned()).collect()
    };
    let owners = |route: &Route| -> String {
        let names: Vec<&str> = route.shares.iter().map(|(service, _)| service.as_str()).collect();
        names.join(" and ")
    };
    if routes.iter().flat_map(|route| &route.shares).all(|(service, _)| parts(service).0.is_empty()) {
        return Ok(());
    }
    let mut first: HashMap<(Cow<'_, str>, &str), usize> = HashMap::new();
    for (at, (item, route)) in rows.items("routes").zip(routes).enumerate() {
        let other = &routes[*first.entry((plain_host(&route.host), &route.prefix)).or_insert(at)];
        if meshes(other) != meshes(route) {
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
