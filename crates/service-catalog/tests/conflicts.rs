//! Each row of the table of collisions, caused; the snapshot's independence of order; the answers for the
//! shell.

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
        r#"{{"version":"r{version}","routes":{{"columns":["name","hostName","pathStart","routeKind","service"],"rows":[{routes}]}},"services":{{"columns":["name"],"rows":[{}]}}}}"#,
        services.join(",")
    );
    Configuration::read(&text).expect("a configuration")
}

const ROUTES: &str = r#"["n","halls","/n/","unsafe","north/hall"],["s","halls","/s/","unsafe","south/hall"],["c","choirs","/","safe","choir"]"#;

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

fn of(rows: &[ServerRow]) -> Catalog {
    under(service_owners(), rows)
}

fn under(service_owners: Arc<ServiceOwners>, rows: &[ServerRow]) -> Catalog {
    let rows: Vec<Arc<ServerRow>> = rows.iter().cloned().map(Arc::new).collect();
    Catalog::new(service_owners, rows.iter())
}

fn permitted_use(catalog: &Catalog, row: &ServerRow, owner: &str) -> PermittedUse {
    catalog.permitted_use(row, catalog.service_owners().owner(owner).expect("an owner"))
}

/// Why the only entry of an id, or its first claim, is contested.
fn why(catalog: &Catalog, id: &str) -> Option<Conflict> {
    match catalog.of_id(id)[0].ownership {
        Ownership::Contested { why, .. } => Some(why),
        _ => None,
    }
}

#[test]
fn one_name_in_two_meshes_is_contested_until_the_server_says_which() {
    let (bare, north) = (row("i-1", "hall", "a:1", 4), row("i-2", "north/hall", "a:2", 4));
    let catalog = of(&[bare.clone(), north.clone()]);
    assert_eq!(why(&catalog, "i-1"), Some(Conflict::Mesh));
    assert_eq!(
        permitted_use(&catalog, &bare, "north/hall"),
        PermittedUse::Denied,
        "its life proves nothing of its mesh"
    );
    assert_eq!(permitted_use(&catalog, &north, "north/hall"), PermittedUse::All);
    assert_eq!(permitted_use(&catalog, &north, "south/hall"), PermittedUse::Denied);
    // Where one mesh has the name, that is the one meant.
    let choir = row("i-3", "choir", "a:3", 1);
    assert_eq!(permitted_use(&of(std::slice::from_ref(&choir)), &choir, "south/choir"), PermittedUse::All);
}

#[test]
fn two_servers_under_one_id_are_contested_until_one_falls_silent_and_no_number_decides() {
    for call_count in [1, 900] {
        let (honest, forged) =
            (row("i-1", "north/hall", "a:1", 40), row("i-1", "south/hall", "a:9", call_count));
        let both = of(&[honest.clone(), forged.clone()]);
        assert_eq!(why(&both, "i-1"), Some(Conflict::Id));
        assert_eq!(permitted_use(&both, &honest, "north/hall"), PermittedUse::Denied);
        assert_eq!(permitted_use(&both, &forged, "south/hall"), PermittedUse::Denied);
        let after = of(&[honest.clone(), ServerRow { timed_out: true, ..forged }]);
        assert_eq!(permitted_use(&after, &honest, "north/hall"), PermittedUse::All);
    }
    // One that moves to another service at its address is as bad, also one that nobody has.
    let moved = of(&[row("i-1", "north/hall", "a:1", 40), row("i-1", "none", "a:1", 41)]);
    assert_eq!(why(&moved, "i-1"), Some(Conflict::Service));
}

#[test]
fn one_address_of_two_owners_takes_reads_that_its_life_proves_and_of_one_owner_takes_all() {
    let (old, new) = (row("i-1", "north/hall", "a:1", 400), row("i-2", "south/hall", "a:1", 1));
    let both = of(&[old.clone(), new.clone()]);
    assert_eq!((why(&both, "i-1"), why(&both, "i-2")), (Some(Conflict::Address), Some(Conflict::Address)));
    assert_eq!(permitted_use(&both, &old, "north/hall"), PermittedUse::ReadsOnly);
    assert_eq!(permitted_use(&both, &new, "south/hall"), PermittedUse::ReadsOnly);
    assert_eq!(permitted_use(&both, &new, "north/hall"), PermittedUse::Denied);
    let gone = ServerRow { state: server_state::LEFT, ..old.clone() };
    assert_eq!(
        permitted_use(&of(&[gone, new]), &row("i-2", "south/hall", "a:1", 1), "south/hall"),
        PermittedUse::All
    );
    let again = row("i-3", "north/hall", "a:1", 1);
    let reuse = of(&[old, again.clone()]);
    assert_eq!(permitted_use(&reuse, &again, "north/hall"), PermittedUse::All);
}

#[test]
fn a_host_of_several_services_goes_by_the_longest_path_and_a_dropped_name_by_the_newest_configuration() {
    let configuration = configuration(7, ROUTES, &["north/hall", "south/hall", "south/choir"]);
    let (table, server) =
        (oatbank_config_model::RouteTable::new(&configuration), row("i-1", "choir", "a:1", 4));
    let catalog = of(&[server.clone(), row("i-2", "hall", "a:2", 1)]);
    let owners = reports::who_owns(&catalog, Some(&table), "halls");
    assert_eq!((owners.title.as_str(), owners.rows.len()), ("halls: 2 owners", 2));
    let explained = reports::explain(&catalog, &table, "halls", "/s/x", None);
    assert_eq!(explained.rows[0][0], "south/hall");
    assert_eq!(explained.rows[0][5], "refused until it is uncontested");
    let without = Arc::new(ServiceOwners::new(4, &self::configuration(9, "", &["north/hall"])));
    let dropped = under(without, std::slice::from_ref(&server));
    assert_eq!(dropped.of_id("i-1")[0].ownership, Ownership::Unknown);
    let taken = of(std::slice::from_ref(&server));
    assert_eq!(permitted_use(&taken, &server, "south/choir"), PermittedUse::All);
    let differ = reports::diff(&dropped, &taken);
    assert_eq!(differ.rows[0][..2], ["changed", "i-1"]);
}

#[test]
fn two_parts_that_learned_other_owners_see_one_collision_once_they_have_met() {
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
fn whatever_the_order_of_rows_the_snapshot_is_the_same() {
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
fn each_kind_stands_in_the_table_and_on_its_page_once() {
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
