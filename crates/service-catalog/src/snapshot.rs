//! Answers for the shell, as plain data.

use crate::catalog::{Catalogue, Entry, Standing};
use crate::conflict::Collision;

/// A table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    /// What it says, in a sentence.
    pub title: String,
    /// The columns' names.
    pub columns: Vec<&'static str>,
    /// As many cells each as there are columns.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    fn new(title: String, columns: &[&'static str], rows: Vec<Vec<String>>) -> Self {
        Table { title, columns: columns.to_vec(), rows }
    }
}

fn names(catalogue: &Catalogue, owners: &[usize]) -> String {
    let all = catalogue.cast().owners();
    let names: Vec<&str> = owners.iter().filter_map(|at| all.get(*at)).map(String::as_str).collect();
    if names.is_empty() {
        "nobody".to_owned()
    } else {
        names.join(" or ")
    }
}

fn owner(catalogue: &Catalogue, entry: &Entry) -> String {
    match &entry.standing {
        Standing::Owned(at) => names(catalogue, &[*at]),
        Standing::Contested { owners, .. } => names(catalogue, owners),
        Standing::Unknown => "nobody".to_owned(),
    }
}

fn state(entry: &Entry) -> String {
    match &entry.standing {
        Standing::Owned(_) if entry.is_ready() => "owned".to_owned(),
        Standing::Owned(_) => "owned, draining".to_owned(),
        Standing::Contested { why, .. } => format!("contested: {}", why.rule().word),
        Standing::Unknown => "its service is in no configuration".to_owned(),
    }
}

fn source(entry: &Entry) -> String {
    format!("beat {} of {}, which says {:?}", entry.row.calls, entry.row.id, entry.row.service)
}

/// Who owns a name: a service's, a host's, a server's id, or an address.
pub fn who_owns(catalogue: &Catalogue, routes: Option<&oatbank_config_model::Table>, name: &str) -> Table {
    let (cast, mut rows) = (catalogue.cast(), Vec::new());
    let (mut owners, mut contested) = (Vec::new(), false);
    for at in cast.owners_of(name) {
        let tally = catalogue.tally(at);
        let servers = format!("{} servers, {} contested", tally.all, tally.reads + tally.nothing);
        owners.push(cast.owners()[at].clone());
        rows.push(vec![
            "service".to_owned(),
            cast.owners()[at].clone(),
            servers,
            format!("configuration r{}", cast.version()),
        ]);
    }
    for route in routes.into_iter().flat_map(|table| &table.bill().routes) {
        if !route.host.eq_ignore_ascii_case(name) {
            continue;
        }
        for (service, weight) in &route.shares {
            owners.push(service.clone());
            rows.push(vec![
                "host".to_owned(),
                service.clone(),
                format!("paths {}, weight {weight}", route.prefix),
                format!("route {} of configuration r{}", route.name, cast.version()),
            ]);
        }
    }
    let (ids, places) = (catalogue.of_id(name).iter(), catalogue.at_address(name));
    for (kind, entry) in ids.map(|e| ("id", e)).chain(places.map(|e| ("address", e))) {
        contested |= matches!(entry.standing, Standing::Contested { .. });
        owners.push(owner(catalogue, entry));
        rows.push(vec![kind.to_owned(), owner(catalogue, entry), state(entry), source(entry)]);
    }
    owners.sort();
    owners.dedup();
    let title = match (owners.as_slice(), contested) {
        ([], _) => format!("{name}: nobody of that name is known"),
        (_, true) => format!("{name}: its owner is contested"),
        ([one], _) => format!("{name}: {one}"),
        (several, _) => format!("{name}: {} owners", several.len()),
    };
    Table::new(title, &["as", "owner", "state", "known by"], rows)
}

/// All that is contested, and what ends it.
pub fn collisions(catalogue: &Catalogue) -> Table {
    let row = |entry: &Entry| {
        let Standing::Contested { why, owners, .. } = &entry.standing else { return Vec::new() };
        let rule = why.rule();
        vec![
            rule.word.to_owned(),
            entry.row.id.clone(),
            entry.row.address.clone(),
            entry.row.service.clone(),
            names(catalogue, owners),
            if rule.reads { "reads" } else { "nothing" }.to_owned(),
            rule.until.to_owned(),
        ]
    };
    let rows: Vec<Vec<String>> = catalogue.contested().map(row).collect();
    let title = format!("{} of {} servers are contested", rows.len(), catalogue.entries().len());
    Table::new(title, &["collision", "id", "address", "says", "may be of", "gets", "until"], rows)
}

/// Where a request goes, and why. The key is that of a tenant.
pub fn explain(
    catalogue: &Catalogue,
    routes: &oatbank_config_model::Table,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Table {
    let columns = ["owner", "weight", "servers", "reads only", "nothing", "confirmations"];
    let Some(route) = routes.route(host, path).map(|at| &routes.bill().routes[at]) else {
        return Table::new(format!("{host}{path}: no route, answered with 404"), &columns, Vec::new());
    };
    let tenant = key.map(|key| routes.customer(key).and_then(|at| routes.bill().customers.as_ref()?.get(at)));
    let whose = match tenant {
        Some(Some(tenant)) => format!(", for {}", tenant.name),
        Some(None) if routes.has_customers() && !route.keyless => ", the key is nobody's: 401".to_owned(),
        None if routes.has_customers() && !route.keyless => ", without a key: 401".to_owned(),
        _ => String::new(),
    };
    let rows = route.shares.iter().map(|(name, weight)| {
        let tally = catalogue.cast().owner(name).map(|at| catalogue.tally(at)).unwrap_or_default();
        let confirms = match (tally.all, tally.is_contested()) {
            (0, true) => "refused until it is uncontested",
            (0, false) => "refused: no server",
            (_, true) => "to the uncontested servers",
            (_, false) => "to all",
        };
        let numbers = [tally.all, tally.reads, tally.nothing].map(|n| n.to_string());
        [vec![name.clone(), weight.to_string()], numbers.to_vec(), vec![confirms.to_owned()]].concat()
    });
    let kind = format!("{:?}", route.kind).to_lowercase();
    let title = format!(
        "{host}{path}: route {} of r{}, {kind}, paths {}{whose}",
        route.name,
        catalogue.cast().version(),
        route.prefix
    );
    Table::new(title, &columns, rows.collect())
}

/// What differs between two snapshots.
pub fn diff(before: &Catalogue, after: &Catalogue) -> Table {
    let same = |a: &Entry, b: &Entry| a.row.id == b.row.id && a.row.same_claim(&b.row);
    let mut rows = Vec::new();
    let mut row = |entry: &Entry, what: &str, was: String, is: String| {
        rows.push(vec![what.to_owned(), entry.row.id.clone(), entry.row.address.clone(), was, is]);
    };
    let told =
        |catalogue: &Catalogue, entry: &Entry| format!("{}, {}", owner(catalogue, entry), state(entry));
    for entry in before.entries() {
        let now = after.of_id(&entry.row.id).iter().find(|other| same(entry, other));
        let is = now.map(|now| told(after, now));
        let was = told(before, entry);
        match is {
            None => row(entry, "gone", was, String::new()),
            Some(is) if is != was => row(entry, "changed", was, is),
            Some(_) => {}
        }
    }
    for entry in after.entries() {
        if !before.of_id(&entry.row.id).iter().any(|other| same(entry, other)) {
            row(entry, "new", String::new(), told(after, entry));
        }
    }
    let versions = (before.cast().version(), after.cast().version());
    let title = format!("{} servers differ, r{} to r{}", rows.len(), versions.0, versions.1);
    Table::new(title, &["what", "id", "address", "was", "is"], rows)
}

/// The table of collisions itself.
pub fn rules() -> Table {
    let rows = crate::conflict::TABLE.iter().map(|rule| {
        let gets = match (rule.contested, rule.reads) {
            (false, _) => "all",
            (true, true) => "reads",
            (true, false) => "nothing",
        };
        [rule.word, gets, rule.until, rule.reason].map(str::to_owned).to_vec()
    });
    Table::new(
        "Collisions and what holds in them".to_owned(),
        &["collision", "gets", "until", "reason"],
        rows.collect(),
    )
}

/// Contested servers by kind, for a log's line; empty if there are none.
pub fn summary(catalogue: &Catalogue) -> String {
    let mut counts = std::collections::BTreeMap::<Collision, u32>::new();
    for entry in catalogue.contested() {
        if let Standing::Contested { why, .. } = &entry.standing {
            *counts.entry(*why).or_default() += 1;
        }
    }
    let parts: Vec<String> = counts.iter().map(|(why, n)| format!("{n} by {}", why.rule().word)).collect();
    parts.join(", ")
}
