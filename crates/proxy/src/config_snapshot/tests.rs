//! Tests of the parent module.

use super::*;

fn settings() -> Settings {
    Settings::parse(include_str!("../../../node-runtime/tests/node.toml")).expect("settings")
}

fn agreed_state() -> AgreedState {
    let config = r#"{"version":"r7","routes":{"columns":["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","shares","tries","homeRegions","service"],"rows":[["a","h","/a/","safe",1000,400,2,[{"service":"s","weight":90},{"service":"t","weight":10}],2,[],null],["b","h","/b/","unsafe",1200,500,1,null,2,["akl"],"s"]]},"services":{"columns":["name","healthPath"],"rows":[["s","/health"],["t","/health"]]},"limits":{},"customers":{"columns":["name","keys","rank","ratePerS","burst","homeRegions"],"rows":[["x",["k"],0,83,83,[]],["y",["l"],0,0,0,["chc"]]]}}"#;
    AgreedState {
        config: config.into(),
        evacuated_zones: vec!["chc-hornby".into()],
        ..AgreedState::default()
    }
}

#[test]
fn allowed_zones_are_the_intersection_of_route_and_tenant_homes() {
    let (settings, snapshot) =
        (settings(), ConfigSnapshot::new(3, &agreed_state(), &settings()).expect("a snapshot"));
    let zones = |mask: u64| -> Vec<&str> {
        let zones = settings.zones.iter().enumerate();
        zones.filter(|(at, _)| mask & 1 << at != 0).map(|(_, (zone, _))| zone.as_str()).collect()
    };
    assert_eq!(snapshot.allowed_zones(0, Some(0)), Some(0), "all zones");
    assert_eq!(zones(snapshot.allowed_zones(1, Some(0)).expect("some")), ["akl-eastt", "akl-penrose"]);
    assert_eq!(zones(snapshot.allowed_zones(0, Some(1)).expect("some")), ["chc-hornby", "chc-sockburn"]);
    assert_eq!(snapshot.allowed_zones(1, Some(1)), None, "the homes have no zone in common");
}

#[test]
fn only_repeatable_requests_may_use_contested_servers() {
    let settings = settings();
    let snapshot = ConfigSnapshot::new(3, &agreed_state(), &settings).expect("a snapshot");
    let (all, zone_count_of_settings) = (zone_names(&settings), settings.zones.len());
    let names = |mask: u64| -> Vec<&str> {
        let zones = all.iter().enumerate().filter(|(at, _)| mask & 1 << at != 0);
        zones.map(|(_, zone)| zone.as_str()).collect()
    };
    assert_eq!(
        (snapshot.with_contested(0, true), names(snapshot.with_contested(0, false)).len()),
        (0, zone_count_of_settings)
    );
    let home = snapshot.allowed_zones(1, None).expect("its homes' zones");
    assert_eq!(snapshot.with_contested(home, false), home);
    let contested = ["akl-eastt (contested)", "akl-penrose (contested)"];
    assert_eq!(names(snapshot.with_contested(home, true)), [names(home), contested.to_vec()].concat());
    // The mask has no room for two zones each, so contested servers get nothing.
    let wide = ConfigSnapshot { zone_count: 40, ..snapshot };
    assert_eq!((wide.with_contested(0, true), wide.with_contested(5, true)), ((1 << 40) - 1, 5));
}

#[test]
fn services_are_chosen_by_weight() {
    let snapshot = ConfigSnapshot::new(3, &agreed_state(), &settings()).expect("a snapshot");
    let route = &snapshot.configuration().routes[0];
    assert_eq!(
        (choose_service(route, 0.0), choose_service(route, 0.89), choose_service(route, 0.91)),
        (Some("s"), Some("s"), Some("t"))
    );
    assert_eq!(choose_service(route, 1.0), Some("t"));
}
