//! Meshes: a service's name may say its mesh before a slash (`north/bookings`), so that one name can stand
//! for a service in each of several. A configuration that names no mesh has one, which has no name.
//!
//! The mesh stands in the name since items are told apart, put and removed by name, and that stays so.

use crate::columnar_rows::{ColumnarRows, Item};
use crate::host::plain_host;
use crate::model::{Route, Service};
pub use crate::service_name::{parts, whole};
use crate::validation_error::ValidationError;
use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap};

/// Services by what they may be called, as their places in the list that this was made from.
#[derive(Clone, Debug, Default)]
pub struct ServiceNames {
    whole: HashMap<String, usize>,
    /// By the name within the mesh.
    within: HashMap<String, Vec<usize>>,
}

/// What a name stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameMatch<'a> {
    /// This service.
    One(usize),
    /// One of these, of different meshes; nothing says which.
    Several(&'a [usize]),
    /// No service.
    Nobody,
}

impl ServiceNames {
    /// Of these services.
    pub fn new(services: &[Service]) -> Self {
        let mut service_names = ServiceNames::default();
        for (at, service) in services.iter().enumerate() {
            service_names.whole.insert(service.name.clone(), at);
            service_names.within.entry(service.parts().1.to_owned()).or_default().push(at);
        }
        service_names
    }

    /// What `name` stands for in this mesh, or in any if that is empty and the name says none.
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

/// A name that stands alone cannot also stand in a mesh: nobody could say which of the two is meant by it.
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

/// Each route's shares by the whole names of their services.
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

/// Two routes for the same requests into different meshes: which of the two has them would go by their order
/// alone.
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
