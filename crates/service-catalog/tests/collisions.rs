//! Each row of the table of collisions, caused; the snapshot's independence of order; the answers for the
//! shell.

use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::{server_state, Book};
use oatbank_config_model::Playbill;
use oatbank_service_catalog::conflict::TABLE;
use oatbank_service_catalog::snapshot;
use oatbank_service_catalog::Cast;
use oatbank_service_catalog::Catalogue;
use oatbank_service_catalog::Collision;
use oatbank_service_catalog::Standing;
use oatbank_service_catalog::Use;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

fn bill(version: u64, routes: &str, services: &[&str]) -> Playbill {
    let services: Vec<String> = services.iter().map(|name| format!("[{name:?}]")).collect();
    let text = format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","hostName","pathStart","routeKind","service"],"rows":[{routes}]}},"services":{{"columns":["name"],"rows":[{}]}}}}"#,
        services.join(",")
    );
    Playbill::read(&text).expect("a configuration")
}

const ROUTES: &str = r#"["n","halls","/n/","unsafe","north/hall"],["s","halls","/s/","unsafe","south/hall"],["c","choirs","/","safe","choir"]"#;

fn cast() -> Arc<Cast> {
    Arc::new(Cast::new(3, &bill(7, ROUTES, &["north/hall", "south/hall", "south/choir"])))
}

fn row(id: &str, service: &str, address: &str, calls: u64) -> ServerRow {
    ServerRow {
        id: id.into(),
        service: service.into(),
        address: address.into(),
        calls,
        ..ServerRow::default()
    }
}

fn of(rows: &[ServerRow]) -> Catalogue {
    under(cast(), rows)
}

fn under(cast: Arc<Cast>, rows: &[ServerRow]) -> Catalogue {
    let rows: Vec<Arc<ServerRow>> = rows.iter().cloned().map(Arc::new).collect();
    Catalogue::new(cast, rows.iter())
}

fn use_of(catalogue: &Catalogue, row: &ServerRow, owner: &str) -> Use {
    catalogue.use_of(row, catalogue.cast().owner(owner).expect("an owner"))
}

/// Why the only entry of an id, or its first claim, is contested.
fn why(catalogue: &Catalogue, id: &str) -> Option<Collision> {
    match catalogue.of_id(id)[0].standing {
        Standing::Contested { why, .. } => Some(why),
        _ => None,
    }
}

#[test]
fn one_name_in_two_meshes_is_contested_until_the_server_says_which() {
    let (bare, north) = (row("i-1", "hall", "a:1", 4), row("i-2", "north/hall", "a:2", 4));
    let catalogue = of(&[bare.clone(), north.clone()]);
    assert_eq!(why(&catalogue, "i-1"), Some(Collision::Mesh));
    assert_eq!(use_of(&catalogue, &bare, "north/hall"), Use::Nothing, "its life proves nothing of its mesh");
    assert_eq!(use_of(&catalogue, &north, "north/hall"), Use::All);
    assert_eq!(use_of(&catalogue, &north, "south/hall"), Use::Nothing);
    // Where one mesh has the name, that is the one meant.
    let choir = row("i-3", "choir", "a:3", 1);
    assert_eq!(use_of(&of(std::slice::from_ref(&choir)), &choir, "south/choir"), Use::All);
}

#[test]
fn two_servers_under_one_id_are_contested_until_one_falls_silent_and_no_number_decides() {
    for calls in [1, 900] {
        let (honest, forged) = (row("i-1", "north/hall", "a:1", 40), row("i-1", "south/hall", "a:9", calls));
        let both = of(&[honest.clone(), forged.clone()]);
        assert_eq!(why(&both, "i-1"), Some(Collision::Id));
        assert_eq!(use_of(&both, &honest, "north/hall"), Use::Nothing);
        assert_eq!(use_of(&both, &forged, "south/hall"), Use::Nothing);
        let after = of(&[honest.clone(), ServerRow { silent: true, ..forged }]);
        assert_eq!(use_of(&after, &honest, "north/hall"), Use::All);
    }
    // One that moves to another service at its address is as bad, also one that nobody has.
    let moved = of(&[row("i-1", "north/hall", "a:1", 40), row("i-1", "none", "a:1", 41)]);
    assert_eq!(why(&moved, "i-1"), Some(Collision::Service));
}

#[test]
fn one_address_of_two_owners_takes_reads_that_its_life_proves_and_of_one_owner_takes_all() {
    let (old, new) = (row("i-1", "north/hall", "a:1", 400), row("i-2", "south/hall", "a:1", 1));
    let both = of(&[old.clone(), new.clone()]);
    assert_eq!((why(&both, "i-1"), why(&both, "i-2")), (Some(Collision::Address), Some(Collision::Address)));
    assert_eq!(use_of(&both, &old, "north/hall"), Use::Reads);
    assert_eq!(use_of(&both, &new, "south/hall"), Use::Reads);
    assert_eq!(use_of(&both, &new, "north/hall"), Use::Nothing);
    let gone = ServerRow { state: server_state::LEFT, ..old.clone() };
    assert_eq!(use_of(&of(&[gone, new]), &row("i-2", "south/hall", "a:1", 1), "south/hall"), Use::All);
    let again = row("i-3", "north/hall", "a:1", 1);
    let reuse = of(&[old, again.clone()]);
    assert_eq!(use_of(&reuse, &again, "north/hall"), Use::All);
}

#[test]
fn a_host_of_several_services_goes_by_the_longest_path_and_a_dropped_name_by_the_newest_configuration() {
    let bill = bill(7, ROUTES, &["north/hall", "south/hall", "south/choir"]);
    let (table, server) = (oatbank_config_model::Table::new(&bill), row("i-1", "choir", "a:1", 4));
    let catalogue = of(&[server.clone(), row("i-2", "hall", "a:2", 1)]);
    let owners = snapshot::who_owns(&catalogue, Some(&table), "halls");
    assert_eq!((owners.title.as_str(), owners.rows.len()), ("halls: 2 owners", 2));
    let explained = snapshot::explain(&catalogue, &table, "halls", "/s/x", None);
    assert_eq!(explained.rows[0][0], "south/hall");
    assert_eq!(explained.rows[0][5], "refused until it is uncontested");
    let without = Arc::new(Cast::new(4, &self::bill(9, "", &["north/hall"])));
    let dropped = under(without, std::slice::from_ref(&server));
    assert_eq!(dropped.of_id("i-1")[0].standing, Standing::Unknown);
    let taken = of(std::slice::from_ref(&server));
    assert_eq!(use_of(&taken, &server, "south/choir"), Use::All);
    let differ = snapshot::diff(&dropped, &taken);
    assert_eq!(differ.rows[0][..2], ["changed", "i-1"]);
}

#[test]
fn two_parts_that_learned_other_owners_see_one_collision_once_they_have_met() {
    let (mut east, mut west) = (Book::new(1, 1500.0, 0.0), Book::new(2, 1500.0, 0.0));
    east.server(0.0, &row("i-1", "north/hall", "a:1", 7));
    west.server(0.0, &row("i-1", "south/hall", "a:2", 3));
    let told = east.since(10.0, 0, 0, false);
    east.merge(10.0, &west.since(10.0, 0, 0, false));
    west.merge(10.0, &told);
    for book in [&east, &west] {
        let catalogue = Catalogue::new(cast(), book.rows());
        assert_eq!(snapshot::collisions(&catalogue).rows.len(), 2);
        assert_eq!(snapshot::who_owns(&catalogue, None, "i-1").title, "i-1: its owner is contested");
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
                ServerRow { silent: draw(6) == 0, ..row }
            })
            .collect();
        let books = [0, 1].map(|_| {
            let (mut book, mut order) = (Book::new(1, 1500.0, 0.0), rows.clone());
            (1..order.len()).for_each(|i| order.swap(i, draw(i as u64 + 1) as usize));
            order.iter().chain(&order[..4]).for_each(|row| _ = book.server(0.0, row));
            book
        });
        let snapshots = [0, 1].map(|at| Catalogue::new(cast(), books[at].rows()));
        assert_eq!(snapshots[0].entries(), snapshots[1].entries(), "seed {seed}");
        assert_eq!(books[0].digest(), books[1].digest(), "seed {seed}");
        assert!(snapshot::diff(&snapshots[0], &snapshots[1]).rows.is_empty(), "seed {seed}");
    }
}

#[test]
fn each_kind_stands_in_the_table_and_on_its_page_once() {
    let page = include_str!("../../../docs/design/catalogue.md");
    for rule in TABLE {
        assert_eq!(TABLE.iter().filter(|other| other.collision == rule.collision).count(), 1, "{rule:?}");
        assert_eq!(rule.collision.rule().word, rule.word);
        assert_eq!(page.matches(&format!("| *{}* |", rule.word)).count(), 1, "{}", rule.word);
    }
    assert_eq!(snapshot::rules().rows.len(), TABLE.len());
}
