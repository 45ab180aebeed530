//! Each kind of conflict provoked, independence of the snapshot from the order of rows, and the reports for `oatbankctl`.

use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::{server_state, StateTable};
use oatbank_config_model::Configuration;
use oatbank_service_catalog::conflict::CONFLICT_RULES;
use oatbank_service_catalog::reports;
use oatbank_service_catalog::Catalog;
use oatbank_service_catalog::Conflict;
use oatbank_service_catalog::Ownership;
use oatbank_service_catalog::PermittedUse;
use oatbank_service_catalog::ServiceOwners;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

fn configuration(version: u64, routes: &str, services: &[&str]) -> Configuration {
    let services: Vec<String> = services.iter().map(|name| format!("[{name:?}]")).collect();
    let text = format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","hostName","pathStart","routeKind","mesh","service"],"rows":[{routes}]}},"services":{{"columns":["name"],"rows":[{}]}}}}"#,
        services.join(",")
    );
    Configuration::read(&text).expect("a configuration")
}

const ROUTES: &str = r#"["n","halls","/n/","unsafe","north","hall"],["s","halls","/s/","unsafe","south","hall"],["c","choirs","/","safe",null,"choir"]"#;

fn service_owners() -> Arc<ServiceOwners> {
    Arc::new(ServiceOwners::new(3, &configuration(7, ROUTES, &["north/hall", "south/hall", "south/choir"])))
}

fn row(id: &str, service: &str, address: &str, call_count: u64) -> ServerRow {
    ServerRow {
        id: id.into(),
        service: service.into(),
        address: address.into(),
        call_count,
        ..ServerRow::default()
    }
}

fn catalog_of(rows: &[ServerRow]) -> Catalog {
    catalog_with_owners(service_owners(), rows)
}

fn catalog_with_owners(service_owners: Arc<ServiceOwners>, rows: &[ServerRow]) -> Catalog {
    let rows: Vec<Arc<ServerRow>> = rows.iter().cloned().map(Arc::new).collect();
    Catalog::new(service_owners, rows.iter())
}

fn permitted_use(catalog: &Catalog, row: &ServerRow, owner: &str) -> PermittedUse {
    catalog.permitted_use(row, catalog.service_owners().owner(owner).expect("an owner"))
}

/// The kind of conflict of an id's first claim, if it is contested.
fn conflict(catalog: &Catalog, id: &str) -> Option<Conflict> {
    match catalog.of_id(id)[0].ownership {
        Ownership::Contested { why, .. } => Some(why),
        _ => None,
    }
}

#[test]
fn name_in_two_meshes_is_contested_unless_the_server_names_its_mesh() {
    let (bare, north) = (row("i-1", "hall", "a:1", 4), row("i-2", "north/hall", "a:2", 4));
    let catalog = catalog_of(&[bare.clone(), north.clone()]);
    assert_eq!(conflict(&catalog, "i-1"), Some(Conflict::Mesh));
    assert_eq!(
        permitted_use(&catalog, &bare, "north/hall"),
        PermittedUse::Denied,
        "the incarnation does not prove the mesh"
    );
    assert_eq!(permitted_use(&catalog, &north, "north/hall"), PermittedUse::All);
    assert_eq!(permitted_use(&catalog, &north, "south/hall"), PermittedUse::Denied);
    // A name that only one mesh has needs no mesh.
    let choir = row("i-3", "choir", "a:3", 1);
    assert_eq!(
        permitted_use(&catalog_of(std::slice::from_ref(&choir)), &choir, "south/choir"),
        PermittedUse::All
    );
}

/// Guards against a server of the service "hall" getting the requests of another one, "north/hall".
#[test]
fn without_meshes_a_server_belongs_to_the_service_of_exactly_its_name() {
    let names = ["north/hall", "hall/", "/hall", "a/north/hall", "hall "];
    let owners = |names: &[&str]| Arc::new(ServiceOwners::new(3, &configuration(7, "", names)));
    for name in names {
        let (bare, exact) = (row("i-1", "hall", "a:1", 4), row("i-2", name, "a:2", 4));
        let catalog = catalog_with_owners(owners(&[name]), &[bare.clone(), exact.clone()]);
        assert_eq!(catalog.of_id("i-1")[0].ownership, Ownership::Unknown, "{name}");
        assert_eq!(permitted_use(&catalog, &bare, name), PermittedUse::Denied, "{name}");
        assert_eq!(permitted_use(&catalog, &exact, name), PermittedUse::All, "{name}");
        assert!(!catalog.counts(0).is_contested(), "{name}");
    }
    // All of them beside each other.
    let all = [&names[..], &["hall"]].concat();
    let rows: Vec<ServerRow> = all
        .iter()
        .enumerate()
        .map(|(nth, name)| row(&format!("i-{nth}"), name, &format!("a:{nth}"), 1))
        .collect();
    let catalog = catalog_with_owners(owners(&all), &rows);
    for (server, owner) in rows.iter().flat_map(|row| all.iter().map(move |owner| (row, owner))) {
        let expected = if server.service == *owner { PermittedUse::All } else { PermittedUse::Denied };
        assert_eq!(permitted_use(&catalog, server, owner), expected, "{} for {owner}", server.service);
    }
}

#[test]
fn two_servers_under_one_id_are_contested_until_one_times_out_whatever_their_call_counts() {
    for call_count in [1, 900] {
        let (honest, forged) =
            (row("i-1", "north/hall", "a:1", 40), row("i-1", "south/hall", "a:9", call_count));
        let both = catalog_of(&[honest.clone(), forged.clone()]);
        assert_eq!(conflict(&both, "i-1"), Some(Conflict::Id));
        assert_eq!(permitted_use(&both, &honest, "north/hall"), PermittedUse::Denied);
        assert_eq!(permitted_use(&both, &forged, "south/hall"), PermittedUse::Denied);
        let after = catalog_of(&[honest.clone(), ServerRow { timed_out: true, ..forged }]);
        assert_eq!(permitted_use(&after, &honest, "north/hall"), PermittedUse::All);
    }
    // A server that changes its service at the same address is contested too, even if the new service is unknown.
    let moved = catalog_of(&[row("i-1", "north/hall", "a:1", 40), row("i-1", "none", "a:1", 41)]);
    assert_eq!(conflict(&moved, "i-1"), Some(Conflict::Service));
}

#[test]
fn shared_address_gets_only_reads_for_two_owners_and_everything_for_one_owner() {
    let (old, new) = (row("i-1", "north/hall", "a:1", 400), row("i-2", "south/hall", "a:1", 1));
    let both = catalog_of(&[old.clone(), new.clone()]);
    assert_eq!(
        (conflict(&both, "i-1"), conflict(&both, "i-2")),
        (Some(Conflict::Address), Some(Conflict::Address))
    );
    assert_eq!(permitted_use(&both, &old, "north/hall"), PermittedUse::ReadsOnly);
    assert_eq!(permitted_use(&both, &new, "south/hall"), PermittedUse::ReadsOnly);
    assert_eq!(permitted_use(&both, &new, "north/hall"), PermittedUse::Denied);
    let gone = ServerRow { state: server_state::LEFT, ..old.clone() };
    assert_eq!(
        permitted_use(&catalog_of(&[gone, new]), &row("i-2", "south/hall", "a:1", 1), "south/hall"),
        PermittedUse::All
    );
    let again = row("i-3", "north/hall", "a:1", 1);
    let reuse = catalog_of(&[old, again.clone()]);
    assert_eq!(permitted_use(&reuse, &again, "north/hall"), PermittedUse::All);
}

#[test]
fn host_of_several_services_uses_the_longest_path_and_a_dropped_service_owns_nothing() {
    let configuration = configuration(7, ROUTES, &["north/hall", "south/hall", "south/choir"]);
    let (table, server) =
        (oatbank_config_model::RouteTable::new(&configuration), row("i-1", "choir", "a:1", 4));
    let catalog = catalog_of(&[server.clone(), row("i-2", "hall", "a:2", 1)]);
    let owners = reports::who_owns(&catalog, Some(&table), "halls");
    assert_eq!((owners.title.as_str(), owners.rows.len()), ("halls: 2 owners", 2));
    let explained = reports::explain(&catalog, &table, "halls", "/s/x", None);
    assert_eq!(explained.rows[0][0], "south/hall");
    assert_eq!(explained.rows[0][5], "refused until it is uncontested");
    let without = Arc::new(ServiceOwners::new(4, &self::configuration(9, "", &["north/hall"])));
    let dropped = catalog_with_owners(without, std::slice::from_ref(&server));
    assert_eq!(dropped.of_id("i-1")[0].ownership, Ownership::Unknown);
    let taken = catalog_of(std::slice::from_ref(&server));
    assert_eq!(permitted_use(&taken, &server, "south/choir"), PermittedUse::All);
    let differ = reports::diff(&dropped, &taken);
    assert_eq!(differ.rows[0][..2], ["changed", "i-1"]);
}

#[test]
fn partitions_with_different_owners_see_one_conflict_after_they_exchange_rows() {
    let (mut east, mut west) = (StateTable::new(1, 1500.0, 0.0), StateTable::new(2, 1500.0, 0.0));
    east.merge_server(0.0, &row("i-1", "north/hall", "a:1", 7));
    west.merge_server(0.0, &row("i-1", "south/hall", "a:2", 3));
    let update = east.update_since(10.0, 0, 0, false);
    east.merge_update(10.0, &west.update_since(10.0, 0, 0, false));
    west.merge_update(10.0, &update);
    for table in [&east, &west] {
        let catalog = Catalog::new(service_owners(), table.server_rows());
        assert_eq!(reports::conflicts(&catalog).rows.len(), 2);
        assert_eq!(reports::who_owns(&catalog, None, "i-1").title, "i-1: its owner is contested");
    }
    assert_eq!(east.digest(), west.digest());
}

#[test]
fn snapshot_does_not_depend_on_the_order_of_rows() {
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = |n: u64| rng.next_u64() % n;
        let rows: Vec<ServerRow> = (0..16)
            .map(|_| {
                let service = ["hall", "north/hall", "south/hall", "choir", "none"][draw(5) as usize];
                let row = row(&format!("i-{}", draw(4)), service, &format!("a:{}", draw(3)), 1 + draw(9));
                ServerRow { timed_out: draw(6) == 0, ..row }
            })
            .collect();
        let tables = [0, 1].map(|_| {
            let (mut table, mut order) = (StateTable::new(1, 1500.0, 0.0), rows.clone());
            (1..order.len()).for_each(|i| order.swap(i, draw(i as u64 + 1) as usize));
            order.iter().chain(&order[..4]).for_each(|row| _ = table.merge_server(0.0, row));
            table
        });
        let snapshots = [0, 1].map(|at| Catalog::new(service_owners(), tables[at].server_rows()));
        assert_eq!(snapshots[0].entries(), snapshots[1].entries(), "seed {seed}");
        assert_eq!(tables[0].digest(), tables[1].digest(), "seed {seed}");
        assert!(reports::diff(&snapshots[0], &snapshots[1]).rows.is_empty(), "seed {seed}");
    }
}

#[test]
fn each_kind_is_in_the_rule_table_and_on_its_documentation_page_once() {
    let page = include_str!("../../../docs/design/catalogue.md");
    for rule in CONFLICT_RULES {
        assert_eq!(
            CONFLICT_RULES.iter().filter(|other| other.conflict == rule.conflict).count(),
            1,
            "{rule:?}"
        );
        assert_eq!(rule.conflict.rule().code, rule.code);
        assert_eq!(page.matches(&format!("| *{}* |", rule.code)).count(), 1, "{}", rule.code);
    }
    assert_eq!(reports::rules().rows.len(), CONFLICT_RULES.len());
}
