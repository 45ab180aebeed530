//! Reports on a catalog as tables of text.

use crate::catalog::{Catalog, Entry, Ownership};

/// A table with a title, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// A one-line summary.
    pub title: String,
    /// The column titles.
    pub columns: Vec<&'static str>,
    /// The rows, each with one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl Report {
    fn new(title: String, columns: &[&'static str], rows: Vec<Vec<String>>) -> Self {
        Report { title, columns: columns.to_vec(), rows }
    }
}

fn names(catalog: &Catalog, owners: &[usize]) -> String {
    let all = catalog.service_owners().owners();
    let names: Vec<&str> = owners.iter().filter_map(|at| all.get(*at)).map(String::as_str).collect();
    if names.is_empty() {
        "nobody".to_owned()
    } else {
        names.join(" or ")
    }
}

fn owner(catalog: &Catalog, entry: &Entry) -> String {
    match &entry.ownership {
        Ownership::Owned(at) => names(catalog, &[*at]),
        Ownership::Contested { owners, .. } => names(catalog, owners),
        Ownership::Unknown => "nobody".to_owned(),
    }
}

fn state(entry: &Entry) -> String {
    match &entry.ownership {
        Ownership::Owned(_) if entry.is_ready() => "owned".to_owned(),
        Ownership::Owned(_) => "owned, draining".to_owned(),
        Ownership::Contested { why, .. } => format!("contested: {}", why.rule().code),
        Ownership::Unknown => "its service is not in the configuration".to_owned(),
    }
}

fn source(entry: &Entry) -> String {
    format!("beat {} of {}, which says {:?}", entry.row.call_count, entry.row.id, entry.row.service)
}

/// Reports the owners of a name, which may be a service, a host, a server id or an address.
pub fn who_owns(catalog: &Catalog, routes: Option<&oatbank_config_model::RouteTable>, name: &str) -> Report {
    let (service_owners, mut rows) = (catalog.service_owners(), Vec::new());
    let (mut owners, mut contested) = (Vec::new(), false);
    for at in service_owners.owners_of(name) {
        let counts = catalog.counts(at);
        let servers = format!("{} servers, {} contested", counts.all, counts.reads + counts.nothing);
        owners.push(service_owners.owners()[at].clone());
        rows.push(vec![
            "service".to_owned(),
            service_owners.owners()[at].clone(),
            servers,
            format!("configuration r{}", service_owners.version()),
        ]);
    }
    for route in routes.into_iter().flat_map(|table| &table.configuration().routes) {
        if !route.host.eq_ignore_ascii_case(name) {
            continue;
        }
        for (service, weight) in &route.shares {
            owners.push(service.clone());
            rows.push(vec![
                "host".to_owned(),
                service.clone(),
                format!("paths {}, weight {weight}", route.prefix),
                format!("route {} of configuration r{}", route.name, service_owners.version()),
            ]);
        }
    }
    let (ids, places) = (catalog.of_id(name).iter(), catalog.at_address(name));
    for (kind, entry) in ids.map(|e| ("id", e)).chain(places.map(|e| ("address", e))) {
        contested |= matches!(entry.ownership, Ownership::Contested { .. });
        owners.push(owner(catalog, entry));
        rows.push(vec![kind.to_owned(), owner(catalog, entry), state(entry), source(entry)]);
    }
    owners.sort();
    owners.dedup();
    let title = match (owners.as_slice(), contested) {
        ([], _) => format!("{name}: no service, host, server id or address of that name is known"),
        (_, true) => format!("{name}: its owner is contested"),
        ([one], _) => format!("{name}: {one}"),
        (several, _) => format!("{name}: {} owners", several.len()),
    };
    Report::new(title, &["as", "owner", "state", "known by"], rows)
}

/// Reports all contested servers, each with the event that ends its conflict.
pub fn conflicts(catalog: &Catalog) -> Report {
    let row = |entry: &Entry| {
        let Ownership::Contested { why, owners, .. } = &entry.ownership else { return Vec::new() };
        let rule = why.rule();
        vec![
            rule.code.to_owned(),
            entry.row.id.clone(),
            entry.row.address.clone(),
            entry.row.service.clone(),
            names(catalog, owners),
            if rule.reads { "reads" } else { "nothing" }.to_owned(),
            rule.until.to_owned(),
        ]
    };
    let rows: Vec<Vec<String>> = catalog.contested().map(row).collect();
    let title = format!("{} of {} servers are contested", rows.len(), catalog.entries().len());
    Report::new(title, &["collision", "id", "address", "says", "may be of", "gets", "until"], rows)
}

/// Reports the route that a request takes and its services' servers. `key` is a tenant's key; the title says if the
/// request would be rejected for a missing or unknown one.
pub fn explain(
    catalog: &Catalog,
    routes: &oatbank_config_model::RouteTable,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Report {
    let columns = ["owner", "weight", "servers", "reads only", "nothing", "confirmations"];
    let Some(route) = routes.route(host, path).map(|at| &routes.configuration().routes[at]) else {
        return Report::new(format!("{host}{path}: no route, answered with 404"), &columns, Vec::new());
    };
    let tenant =
        key.map(|key| routes.customer(key).and_then(|at| routes.configuration().customers.as_ref()?.get(at)));
    let tenant_note = match tenant {
        Some(Some(tenant)) => format!(", for {}", tenant.name),
        Some(None) if routes.has_customers() && !route.keyless => {
            ", the key belongs to no tenant: 401".to_owned()
        }
        None if routes.has_customers() && !route.keyless => ", without a key: 401".to_owned(),
        _ => String::new(),
    };
    let rows = route.shares.iter().map(|(name, weight)| {
        let counts = catalog.service_owners().owner(name).map(|at| catalog.counts(at)).unwrap_or_default();
        let confirms = match (counts.all, counts.is_contested()) {
            (0, true) => "refused until it is uncontested",
            (0, false) => "refused: no server",
            (_, true) => "to the uncontested servers",
            (_, false) => "to all",
        };
        let numbers = [counts.all, counts.reads, counts.nothing].map(|n| n.to_string());
        [vec![name.clone(), weight.to_string()], numbers.to_vec(), vec![confirms.to_owned()]].concat()
    });
    let kind = format!("{:?}", route.kind).to_lowercase();
    let title = format!(
        "{host}{path}: route {} of r{}, {kind}, paths {}{tenant_note}",
        route.name,
        catalog.service_owners().version(),
        route.prefix
    );
    Report::new(title, &columns, rows.collect())
}

/// Reports the servers that are new, gone or changed between two snapshots.
pub fn diff(before: &Catalog, after: &Catalog) -> Report {
    let same = |a: &Entry, b: &Entry| a.row.id == b.row.id && a.row.same_claim(&b.row);
    let mut rows = Vec::new();
    let mut row = |entry: &Entry, change: &str, was: String, is: String| {
        rows.push(vec![change.to_owned(), entry.row.id.clone(), entry.row.address.clone(), was, is]);
    };
    let describe = |catalog: &Catalog, entry: &Entry| format!("{}, {}", owner(catalog, entry), state(entry));
    for entry in before.entries() {
        let now = after.of_id(&entry.row.id).iter().find(|other| same(entry, other));
        let is = now.map(|now| describe(after, now));
        let was = describe(before, entry);
        match is {
            None => row(entry, "gone", was, String::new()),
            Some(is) if is != was => row(entry, "changed", was, is),
            Some(_) => {}
        }
    }
    for entry in after.entries() {
        if !before.of_id(&entry.row.id).iter().any(|other| same(entry, other)) {
            row(entry, "new", String::new(), describe(after, entry));
        }
    }
    let versions = (before.service_owners().version(), after.service_owners().version());
    let title = format!("{} servers differ, r{} to r{}", rows.len(), versions.0, versions.1);
    Report::new(title, &["what", "id", "address", "was", "is"], rows)
}

/// Reports all conflict rules.
pub fn rules() -> Report {
    let rows = crate::conflict::CONFLICT_RULES.iter().map(|rule| {
        let gets = match (rule.contested, rule.reads) {
            (false, _) => "all",
            (true, true) => "reads",
            (true, false) => "nothing",
        };
        [rule.code, gets, rule.until, rule.reason].map(str::to_owned).to_vec()
    });
    Report::new(
        "Kinds of collisions and how they are handled".to_owned(),
        &["collision", "gets", "until", "reason"],
        rows.collect(),
    )
}
