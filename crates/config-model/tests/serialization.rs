//! Round trips: a configuration is serialized with the values that were sent.

use oatbank_config_model::mesh::Naming;
use oatbank_config_model::{Configuration, Proposal};

/// A configuration without white space, its fields in the order of serialization.
fn whole(routes: &str, rest: &str) -> String {
    format!(
        r#"{{"version":"r3","routes":{{"columns":["name","hostName","pathStart","service","x"],"rows":[{routes}]}},"services":{{"columns":["name","y"],"rows":[["s",{{"a":[1,2.0],"b":null}}]]}}{rest}}}"#
    )
}

fn change(configuration: &Configuration, body: &str) -> Configuration {
    Proposal::change(body.as_bytes()).unwrap().onto(Some(configuration)).unwrap()
}

#[test]
fn every_value_is_serialized_unchanged() {
    for value in [
        "3",
        "3.0",
        "0",
        "-0",
        "-0.0",
        "-7",
        "1e3",
        "0.1",
        // Floats whose last bit the JSON parser gets wrong, and integers that exceed 64 bits.
        "0.30000000000000004",
        "123456.78901234567",
        "5e-324",
        "18446744073709551615",
        "-9223372036854775808",
        "123456789012345678901234567890",
        "true",
        "null",
        r#""""#,
        r#""1.5""#,
        r#""a \"quote\", a \\ and a / \n\t""#,
        r#""Улаанбаатар é 🎭""#,
        r#"{"k":{"deep":[[],{},"é",0.30000000000000004]},"z":false}"#,
    ] {
        let text = whole(&format!(r#"["r","h","/","s",{value}]"#), "");
        assert_eq!(Configuration::read(&text).unwrap().text(), text);
    }
}

#[test]
fn escapes_are_decoded() {
    let text = |x: &str| whole(&format!(r#"["r","h","/","s",{x}]"#), "");
    let configuration = Configuration::read(&text(r#""\u00e9\ud83c\udfad\/\u0041\u001f""#)).unwrap();
    assert_eq!(configuration.text(), text(r#""é🎭/A\u001f""#));
}

#[test]
fn unknown_fields_and_lists_are_kept() {
    let rest = r#","limits":{"idleMs":15000,"other":[1.50]},"caches":{"columns":["name","size"],"rows":[["c",1]]},"note":"é""#;
    let text = whole(r#"["r","h","/","s",null]"#, rest);
    let configuration = Configuration::read(&text).unwrap();
    assert_eq!(configuration.text(), text);
    let next = change(
        &configuration,
        r#"{"version":"r4","builtOn":"r3","note":"new","putItems":{"caches":{"columns":["name","ttl"],"rows":[["d",2.0]]}}}"#,
    );
    let expected = text.replace("r3", "r4").replace(r#""note":"é""#, r#""note":"new""#).replace(
        r#"["name","size"],"rows":[["c",1]]"#,
        r#"["name","size","ttl"],"rows":[["c",1,null],["d",null,2.0]]"#,
    );
    assert_eq!(next.text(), expected);
    let last = change(&next, r#"{"version":"r5","builtOn":"r4","remove":{"caches":["c"],"unknown":["c"]}}"#);
    assert_eq!(last.text(), expected.replace("r4", "r5").replace(r#"["c",1,null],"#, ""));
}

#[test]
fn rows_with_different_columns_are_written_with_the_union_of_columns() {
    let configuration =
        Configuration::read(&whole(r#"["r","h","/","s",1],["q","h","/q/","s",2.50]"#, "")).unwrap();
    let next = change(
        &configuration,
        r#"{"version":"r12","builtOn":"r3","putItems":{"routes":{"columns":["tries","name","pathStart","hostName","shares"],
        "rows":[[2,"r","/r/","h",[{"weight":1.0,"service":"s"}]],[3,"new","/n/","h",[{"weight":7,"service":"s"}]]]}}}"#,
    );
    let rows = r#"["r","h","/r/",null,null,2,[{"service":"s","weight":1.0}]],["q","h","/q/","s",2.50,null,null],["new","h","/n/",null,null,3,[{"service":"s","weight":7}]]"#;
    let expected = whole(rows, "")
        .replace("\"r3\"", "\"r12\"")
        .replace(r#""service","x"]"#, r#""service","x","tries","shares"]"#);
    assert_eq!(next.text(), expected);
    assert_eq!(Configuration::read(&expected).unwrap(), next);
}

#[test]
fn hostile_bodies_are_rejected_without_a_panic() {
    let deep = "[".repeat(100_000);
    let nul = whole(r#"["r","h","/","s","\u00001.5"]"#, "");
    let key = whole(r#"["r","h","/","s",{1.5:2}]"#, "");
    let escaped = whole(r#"["r","h","/","s","\\u0000"]"#, "");
    for body in [deep.as_str(), &nul, &key, "\"\\", "{\"a\":1.2.3}", "-", "[1.5.]"] {
        assert!(Configuration::read(body).is_err(), "{body:.60}");
    }
    assert_eq!(Configuration::read(&escaped).unwrap().text(), escaped);
}

/// A configuration with these routes, which have a mesh column, and these services.
fn meshes(routes: &str, services: &str) -> String {
    format!(
        r#"{{"version":"r3","routes":{{"columns":["name","hostName","pathStart","mesh","service","shares"],"rows":[{routes}]}},"services":{{"columns":["name"],"rows":[{services}]}}}}"#
    )
}

const NORTH_AND_SOUTH: &str = r#"["north/hall"],["south/hall"],["south/choir"]"#;

#[test]
fn equal_service_names_in_different_meshes_are_resolved_and_serialized_unchanged() {
    let routes = r#"["a","h","/a/","north","hall",null],["b","h","/b/",null,"south/hall",null],["c","h","/c/",null,"choir",null],["d","h","/d/","south",null,[{"service":"hall","weight":9},{"service":"south/choir","weight":1}]]"#;
    let text = meshes(routes, NORTH_AND_SOUTH);
    let configuration = Configuration::read(&text).unwrap();
    assert_eq!(configuration.text(), text);
    let service_names: Vec<Vec<&str>> = configuration
        .routes
        .iter()
        .map(|r| r.shares.iter().map(|(name, _)| name.as_str()).collect())
        .collect();
    assert_eq!(
        service_names,
        [vec!["north/hall"], vec!["south/hall"], vec!["south/choir"], vec!["south/hall", "south/choir"]]
    );
    assert_eq!(configuration.naming().parts("north/hall"), ("north", "hall"));
    // A leading or trailing slash does not separate a mesh.
    let alone = meshes(
        r#"["a","h","/a/",null,"/hall",null],["b","h","/b/","north","hall",null]"#,
        r#"["/hall"],["hall/"],["north/hall"]"#,
    );
    let naming = Configuration::read(&alone).unwrap().naming();
    assert_eq!([naming.parts("/hall"), naming.parts("hall/")], [("", "/hall"), ("", "hall/")]);
}

#[test]
fn ambiguous_names_are_rejected_with_the_candidates_and_the_allowed_forms() {
    for (routes, services, expected) in [
        (
            r#"["a","h","/a/",null,"hall",null],["b","h","/b/","south","choir",null]"#,
            NORTH_AND_SOUTH,
            r#"routes, row 1 ("a"), service: found "hall", which may be north/hall or south/hall, allowed is one of these in full, or a mesh in the route's column mesh"#,
        ),
        (
            r#"["a","h","/a/","north","choir",null]"#,
            NORTH_AND_SOUTH,
            r#"routes, row 1 ("a"), service: found "choir", allowed is the name of a service in services"#,
        ),
        (
            r#"["a","h","/a/","north","hall",null]"#,
            r#"["hall"],["north/hall"]"#,
            r#"services, row 2 ("north/hall"), name: found "north/hall" beside "hall" without a mesh in row 1, allowed is a mesh before that one's name too, as "mesh/hall""#,
        ),
        (
            r#"["a","h","/a/","north","hall",null],["b","H","/a/","south","hall",null]"#,
            NORTH_AND_SOUTH,
            r#"routes, row 2 ("b"), pathStart: found "/a/" of "H" for south/hall, which route "a" has for north/hall, allowed is a path or a host of its own for each of the two"#,
        ),
    ] {
        let problem = Configuration::read(&meshes(routes, services)).unwrap_err().to_string();
        assert_eq!(problem, expected);
    }
}

/// The problem for which a call that replaces the configuration is rejected; `None` if it is accepted.
fn problem(routes: &str, services: &str) -> Option<String> {
    Proposal::replace(meshes(routes, services).as_bytes()).err().map(|error| error.problem)
}

/// Guards against a slash in a service name being read as a mesh that no route declares: a route to a service that is not
/// there was accepted, and a service was rejected for its name.
#[test]
fn slash_in_a_service_name_has_no_meaning_unless_a_route_declares_a_mesh() {
    let unknown =
        r#"routes, row 1 ("a"), service: found "jobs", allowed is the name of a service in services"#;
    for services in [r#"["north/jobs"]"#, r#"["north/jobs"],["south/jobs"]"#, r#"["a/north/jobs"]"#] {
        assert_eq!(problem(r#"["a","h","/a/",null,"jobs",null]"#, services).as_deref(), Some(unknown));
    }
    for (routes, services) in [
        (r#"["a","h","/a/",null,"jobs",null]"#, r#"["jobs"],["north/jobs"],["a/north/jobs"]"#),
        (r#"["a","h","/a/",null,"x/1",null],["b","h","/a/",null,"y/2",null]"#, r#"["x/1"],["y/2"]"#),
        (r#"["a","h","/a/",null,"/",null],["b","h","/b/",null,"//",null]"#, r#"["/"],["//"],["a//"]"#),
    ] {
        assert_eq!(problem(routes, services), None, "{services}");
        let configuration = Configuration::read(&meshes(routes, services)).unwrap();
        assert_eq!(configuration.naming(), Naming::Plain);
        for route in &configuration.routes {
            assert!(routes.contains(&format!("null,{:?}", route.shares[0].0)), "{route:?}");
        }
    }
}

/// Guards against an upgrade that leaves a configuration unreadable which an earlier version accepted.
#[test]
fn accepted_configuration_with_abbreviated_names_stays_readable_and_can_be_changed() {
    let old = meshes(
        r#"["a","h","/a/",null,"jobs",null],["b","h","/b/",null,"east/b",null]"#,
        r#"["north/jobs"],["east/b"]"#,
    );
    assert!(Proposal::replace(old.as_bytes()).is_err());
    let old = Configuration::read(&old).unwrap();
    assert_eq!(old.naming(), Naming::WithMeshes);
    assert_eq!(old.routes[0].shares[0].0, "north/jobs");
    let change = |version: u64, put: &str| {
        let columns = r#"["name","hostName","pathStart","service"]"#;
        let body = format!(
            r#"{{"version":"r{version}","putItems":{{"routes":{{"columns":{columns},"rows":[{put}]}}}},"builtOn":"r3"}}"#
        );
        Proposal::change(body.as_bytes()).unwrap().onto(Some(&old))
    };
    // Another route changes: the abbreviated one stays as it is, and leads where it did.
    let changed = change(4, r#"["c","h","/c/","east/b"]"#).unwrap();
    assert_eq!(Configuration::read(&changed.text()).unwrap(), changed);
    assert_eq!(changed.routes[0].shares[0].0, "north/jobs");
    assert!(change(4, r#"["c","h","/c/","jobs"]"#).is_err(), "a new route abbreviates a name");
    // Once no name is abbreviated, a slash has no meaning.
    let full = change(4, r#"["a","h","/a/","north/jobs"]"#).unwrap();
    assert_eq!(full.naming(), Naming::Plain);
    assert_eq!(Configuration::read(&full.text()).unwrap(), full);
}
