//! Look-up of routes by host and path, and of tenants by key.

use oatbank_config_model::{Configuration, RouteTable};

fn table(routes: &[(&str, &str)], customers: &str) -> RouteTable {
    let rows: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(at, (host, path))| format!(r#"["r{at}","{host}","{path}","s"]"#))
        .collect();
    let text = format!(
        r#"{{"version":"r3","routes":{{"columns":["name","hostName","pathStart","service"],"rows":[{}]}},
        "services":{{"columns":["name"],"rows":[["s"]]}}{customers}}}"#,
        rows.join(",")
    );
    RouteTable::new(&Configuration::read(&text).unwrap())
}

#[test]
fn longest_matching_prefix_gets_the_request() {
    let table = table(
        &[("a.example", "/x/"), ("a.example", "/x/y/"), ("b.example", "/"), ("a.example", "/x/yy/z/")],
        "",
    );
    for (host, path, expected) in [
        ("a.example", "/x/", Some(0)),
        ("a.example", "/x/1", Some(0)),
        ("a.example", "/x/y", Some(0)),
        ("a.example", "/x/y/", Some(1)),
        ("a.example", "/x/y/z/1", Some(1)),
        ("a.example", "/x/yy/z", Some(0)),
        ("a.example", "/x/yy/z/", Some(3)),
        ("a.example", "/x", None),
        ("a.example", "/", None),
        ("a.example", "", None),
        ("a.example", "/q?/x/", None),
        ("a.example", "/x/?/y/", Some(0)),
        ("b.example", "/anything", Some(2)),
        ("b.example", "*", None),
        ("c.example", "/x/", None),
        ("", "/x/", None),
    ] {
        assert_eq!(table.route(host, path), expected, "{host} {path}");
    }
}

#[test]
fn hosts_are_compared_without_case_and_port() {
    let table = table(&[("A.Example", "/"), ("[::1]", "/"), ("c.example:8080", "/")], "");
    for (host, expected) in [
        ("a.example", Some(0)),
        ("a.EXAMPLE:8389", Some(0)),
        ("[::1]:80", Some(1)),
        ("[::1]", Some(1)),
        ("c.example", Some(2)),
        ("a.example.org", None),
    ] {
        assert_eq!(table.route(host, "/p"), expected, "{host}");
    }
}

#[test]
fn lookup_agrees_with_a_linear_search() {
    let paths: Vec<String> = (0..400u32)
        .map(|n| {
            (0..n % 5).fold("/".to_owned(), |path, part| format!("{path}{}/", (n / 5).pow(part + 1) % 7))
        })
        .collect();
    let mut prefixes: Vec<&str> = paths.iter().step_by(3).map(String::as_str).collect();
    prefixes.sort_unstable_by_key(|prefix| std::cmp::Reverse(*prefix));
    prefixes.dedup();
    let routes: Vec<_> = prefixes.iter().skip(1).map(|prefix| ("h", *prefix)).collect();
    let table = table(&routes, "");
    for path in &paths {
        let expected = (0..routes.len())
            .filter(|at| path.starts_with(routes[*at].1))
            .max_by_key(|at| routes[*at].1.len());
        assert_eq!(table.route("h", path), expected, "{path}");
    }
}

#[test]
fn later_of_two_routes_with_equal_host_and_prefix_gets_the_requests() {
    assert_eq!(table(&[("h", "/"), ("H", "/"), ("h", "/a/")], "").route("h", "/b"), Some(1));
}

#[test]
fn tenants_are_found_by_each_of_their_keys() {
    let customers =
        r#","customers":{"columns":["name","keys"],"rows":[["t",["k1","k2"]],["u",["k3","k3"]]]}"#;
    let with = table(&[("h", "/")], customers);
    assert_eq!(
        ["k1", "k2", "k3", "K1", ""].map(|key| with.customer(key)),
        [Some(0), Some(0), Some(1), None, None]
    );
    assert_eq!((with.version(), with.has_customers(), with.configuration().routes.len()), (3, true, 1));
    // An empty list still requires keys: removing the last tenant must not open the routes to everybody.
    assert!(table(&[], r#","customers":{"columns":[],"rows":[]}"#).has_customers());
    assert!(!table(&[], "").has_customers());
    assert!(!table(&[], r#","customers":null"#).has_customers());
}
