use super::*;

const GOOD: &str = r#"
name = "x"
zones = ["a", "b"]
zone = "b"
[[servers]]
id = "engine-1"
address = "127.0.0.1:9001"
zone = "a"
[[classes]]
name = "book"
aim_ms = 500
deadline_ms = 2000
repeat = "keyed"
key_window_ms = 25000
[[plans]]
name = "team"
rate = 5
burst = 10
"#;

fn with(variables: &[(&str, &str)]) -> Result<Config, ConfigError> {
    Config::read(GOOD, variables.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned())))
}

/// Returns the errors of a text as the `check` command prints them.
fn lines(text: &str) -> Vec<String> {
    assert_agrees_with_jsonschema(text);
    Config::parse(text).expect_err(text).lines("f.toml")
}

/// Asserts that validation against the schema reports the same keys as the `jsonschema` crate.
fn assert_agrees_with_jsonschema(text: &str) {
    let Ok(read) = text::Read::new(text, std::iter::empty()) else { return };
    let schema = Config::schema();
    let pointer = |path: &[validation::Step]| {
        let step = |s: &validation::Step| match s {
            validation::Step::Key(name) => format!("/{name}"),
            validation::Step::Element(i) => format!("/{i}"),
        };
        path.iter().map(step).collect::<String>()
    };
    let at = |m: &ValidationError| match m.allowed.starts_with("missing")
        || m.allowed.starts_with("no such key")
    {
        true => pointer(&m.path[..m.path.len() - 1]),
        false => pointer(&m.path),
    };
    let mut ours: Vec<String> = validation::validate(&schema, &read.value).iter().map(at).collect();
    let validator = jsonschema::validator_for(&schema).expect("a schema");
    let mut theirs: Vec<String> =
        validator.iter_errors(&read.value).map(|e| e.instance_path().as_str().to_owned()).collect();
    ours.sort();
    theirs.sort();
    assert_eq!(ours, theirs, "{text}");
}

#[test]
fn a_valid_file_is_loaded_with_defaults() {
    let config = Config::parse(GOOD).expect("a configuration");
    assert_eq!((config.counter, config.setup.settings.zone), (CounterKind::Local, 1));
    assert_eq!(config.setup.settings.classes[0].deadline, 2000.0);
    assert_eq!(config.members[0].zone, "a");
    assert_eq!(config.listen.to_string(), "127.0.0.1:8080");
}

#[test]
fn each_error_names_its_line_its_key_and_what_is_allowed() {
    for (of, with, line, key, allowed) in [
        ("burst = 10", "burst = 0", 18, "plans[0].burst", "a number over 0"),
        ("burst = 10", "burst = nan", 18, "plans[0].burst", "a number is from 0 to 1000000000"),
        ("burst = 10", "burst = inf", 18, "plans[0].burst", "a number is from 0"),
        ("rate = 5", "rate = -1", 17, "plans[0].rate", "a number from 0 to 1000000000"),
        ("rate = 5", "rate = \"much\"", 17, "plans[0].rate", "a number is from 0"),
        ("aim_ms = 500", "aim_ms = 5000", 12, "classes[0].deadline_ms", "a number from 5000"),
        (
            "aim_ms = 500\n",
            "",
            9,
            "classes[0].aim_ms",
            "missing; needed is target latency, ms; an answer within it",
        ),
        ("key_window_ms = 25000", "", 9, "classes[0].key_window_ms", "a number from 1"),
        ("zone = \"b\"", "zone = \"c\"", 4, "zone", "not among zones"),
        ("zone = \"a\"", "zone = \"c\"", 8, "servers[0].zone", "not among zones"),
        ("id = \"engine-1\"", "id = \"a b\"", 6, "servers[0].id", "1 to 64 letters"),
        ("name = \"x\"", "counter = \"redis\"", 2, "counter", "\"local\""),
        ("name = \"x\"", "limiters = 2", 1, "counter", "text://"),
        ("name = \"x\"", "attempts.most = 0", 2, "attempts.most", "from 1 to 16"),
        ("name = \"x\"", "name = 7", 2, "name", "text is"),
        (
            "repeat = \"keyed\"",
            "repeat = \"often\"",
            13,
            "classes[0].repeat",
            "\"safe\", \"keyed\", \"unsafe\"",
        ),
        ("rate = 5", "rat = 5", 17, "plans[0].rat", "allowed are burst, ceiling_burst"),
        ("9001", "none", 7, "servers[0].address", "with its port"),
        (
            "[[plans]]",
            "[members]\nzookeeper = \"x\"\npath = \"/a\"\n[[plans]]",
            16,
            "members.zookeeper",
            "HOST:PORT",
        ),
        (
            "[[plans]]",
            "[members]\nzookeeper = \"x:1\"\npath = \"a/\"\n[[plans]]",
            17,
            "members.path",
            "/services",
        ),
        (
            "[[plans]]",
            "[members]\nzookeeper = \"x:1\"\npath = \"/a\"\nregister = \"/a\"\n[[plans]]",
            18,
            "members.register",
            "a separate folder for limiters",
        ),
        (
            "name = \"x\"",
            "name = \"x/y\"\nmembers = { zookeeper = \"x:1\", path = \"/a\", register = \"/b\" }",
            2,
            "name",
            "without '/'",
        ),
    ] {
        assert!(GOOD.contains(of), "{of}");
        let reported = lines(&GOOD.replacen(of, with, 1));
        let found = reported.iter().find(|l| l.starts_with(&format!("f.toml:{line}: {key}: ")));
        assert!(found.is_some_and(|l| l.contains(allowed)), "{with}: {reported:#?}");
    }
    let twice = lines(&format!("{GOOD}[[plans]]\nname = \"team\"\n"));
    assert_eq!(twice, ["f.toml:20: plans[1].name: \"team\" is a duplicate; each name must be unique"]);
    assert!(lines("name = ")[0].contains("line 1"));
}

#[test]
fn all_errors_are_reported_at_once_in_file_order() {
    let bad = GOOD.replace("aim_ms = 500", "aim_ms = -1").replace("rate = 5", "rat = 5");
    let reported = lines(&bad.replace("zone = \"b\"", "zone = \"c\""));
    let keys: Vec<&str> = reported.iter().map(|l| l.split(": ").nth(1).expect("a key")).collect();
    assert_eq!(keys, ["zone", "classes[0].aim_ms", "plans[0].rat"]);
    let empty = lines("");
    assert!(empty.iter().any(|l| l.contains("classes: missing")), "{empty:?}");
    assert!(empty.iter().any(|l| l.contains("plans: missing")), "{empty:?}");
    assert!(lines("classes = []\nplans = []").iter().all(|l| l.contains("at least 1 is needed")));
}

#[test]
fn variables_override_keys_and_their_errors_name_the_variable() {
    let config = with(&[
        ("OATBANK__LISTEN", "127.0.0.1:9"),
        ("OATBANK__PLANS__0__RATE", "7.5"),
        ("OATBANK__LIMITS__SOCKETS", "256"),
        ("OATBANK__SERVERS__1__ADDRESS", "127.0.0.1:9002"),
        ("OATBANK__SERVERS__1__ID", "engine-2"),
        ("OATBANK_PLANS", "of another program"),
    ])
    .expect("a configuration");
    assert_eq!((config.listen.port(), config.limits.0), (9, 256));
    assert_eq!(config.setup.settings.plans[0].rate, 7.5);
    assert_eq!(config.members[1].id, "engine-2");
    for (variable, value, says) in [
        ("OATBANK__PLANS__0__RATE", "-1", "plans[0].rate: -1 is not allowed; a number from 0"),
        ("OATBANK__PLANS__0__RAT", "1", "plans[0].rat: no such key"),
        ("OATBANK__PLANS__7__RATE", "1", "plans[7].rate: 0 to 1 are allowed here"),
        ("OATBANK__PLANS__RATE", "1", "but its parent is not a table"),
        ("OATBANK__NAME__0", "1", "but its parent is not a list"),
        ("OATBANK__LIMITS", "much", "limits: \"much\" is not allowed; a table is"),
    ] {
        let reported = with(&[(variable, value)]).expect_err(variable).lines("f.toml");
        assert!(reported.iter().any(|l| l.starts_with(variable) && l.contains(says)), "{reported:?}");
    }
}

#[test]
fn the_example_matches_the_schema_and_the_schema_is_valid() {
    let text = include_str!("../../../../deploy/standalone.toml");
    let example: serde_json::Value = toml::from_str(text).expect("TOML");
    assert_eq!(validation::validate(&Config::schema(), &example), []);
    Config::parse(text).expect("the example");
    let schema = Config::schema();
    assert!(jsonschema::meta::is_valid(&schema));
    for key in ["/properties/plans/items/properties/rate/maximum", "/properties/limits/properties/sockets"] {
        assert!(schema.pointer(key).is_some(), "{key}");
    }
}
