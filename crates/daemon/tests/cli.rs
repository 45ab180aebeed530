//! Tests of the command line: output, exit codes, and that a started daemon serves.

use oatbank_testkit::{eventually, Act, Client, Scratch, Server, Standalone, PATIENCE};
use std::process::{Command, Output};

const OATBANK: &str = env!("CARGO_BIN_EXE_oatbank");

fn oatbank(arguments: &[&str]) -> Output {
    Command::new(OATBANK).args(arguments).output().expect("oatbank runs")
}

fn config(servers: &[&Server]) -> String {
    let line = |(i, s): (usize, &&Server)| {
        format!("[[servers]]\nid = \"s-0000000{}\"\naddress = \"{}\"\n", i + 1, s.address)
    };
    let servers: String = servers.iter().enumerate().map(line).collect();
    format!(
        "name = \"cli\"\nlisten = \"127.0.0.1:0\"\nlimiters = 1\n{servers}\
         [[classes]]\nname = \"look\"\naim_ms = 1500\ndeadline_ms = 2000\nrepeat = \"safe\"\n\
         [[plans]]\nname = \"team\"\nrate = 100000\nburst = 100000\n"
    )
}

#[test]
fn the_demo_prints_failures_a_drain_and_rejections_and_succeeds() {
    let done = oatbank(&["demo"]);
    let text = String::from_utf8(done.stdout).expect("text");
    assert!(done.status.success(), "{text}");
    let line =
        |mark: &str| text.lines().find(|l| l.contains(mark)).unwrap_or_else(|| panic!("no {mark}: {text}"));
    assert!(!line("  engine-2 ").contains(", 0 of them failed"), "{text}");
    assert!(line("team,").contains("served (200)"), "{text}");
    assert!(line("free,").contains("refused with a time to come back (429)"), "{text}");
    assert!(
        text.contains("no request reached engine-3 after the drain") || text.contains("ms after the drain")
    );
}

#[test]
fn check_reports_each_mistake_with_line_and_key() {
    let server = Server::ok();
    let good = Scratch::new(&config(&[&server]));
    let done = oatbank(&["check", good.path()]);
    assert!(done.status.success());
    assert!(String::from_utf8_lossy(&done.stdout).contains("1 servers"));
    let of_all = config(&[&server])
        .replace("aim_ms = 1500", "aim_ms = -1")
        .replace("rate = 100000", "rate = \"much\"")
        .replace("repeat = \"safe\"\n", "")
        .replace("name = \"cli\"", "nam = \"cli\"");
    let bad = Scratch::new(&of_all);
    let done = oatbank(&["check", bad.path()]);
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    let says = [
        ":1: nam: no such key; allowed are attempts, classes",
        ":7: classes[0].repeat: missing; needed is whether a request may run again",
        ":9: classes[0].aim_ms: -1 is not allowed; a number from 1 to 3600000 is",
        ":13: plans[0].rate: \"much\" is not allowed; a number is from 0",
    ];
    assert!(!done.status.success() && told.lines().count() == says.len(), "{told}");
    for (line, says) in told.lines().zip(says) {
        assert!(line.contains(&format!("{}{says}", bad.path())), "{line}");
    }
    let done = oatbank(&["check", "/nowhere/at/all.toml"]);
    assert!(!done.status.success() && String::from_utf8_lossy(&done.stderr).contains("/nowhere/at/all.toml"));
}

#[test]
fn environment_variables_override_keys_and_invalid_ones_are_reported() {
    let server = Server::ok();
    let good = Scratch::new(&config(&[&server]));
    let check = |value: &str| {
        let mut command = Command::new(OATBANK);
        command.args(["check", good.path()]).env("OATBANK__LISTEN", value).output().expect("oatbank runs")
    };
    assert!(String::from_utf8_lossy(&check("127.0.0.1:7777").stdout).contains("127.0.0.1:7777"));
    let told = String::from_utf8_lossy(&check("here").stderr).into_owned();
    assert!(told.contains("OATBANK__LISTEN: listen: \"here\" is not allowed"), "{told}");
}

#[test]
fn schema_completions_and_help_examples_are_printed() {
    let schema: serde_json::Value =
        serde_json::from_slice(&oatbank(&["config", "schema"]).stdout).expect("JSON");
    assert!(schema["properties"]["plans"]["items"]["properties"]["rate"]["description"].is_string());
    for shell in ["bash", "zsh", "fish"] {
        let done = oatbank(&["completions", shell]);
        assert!(
            done.status.success() && String::from_utf8_lossy(&done.stdout).contains("members"),
            "{shell}"
        );
    }
    for command in
        [&["serve"][..], &["check"], &["members"], &["demo"], &["completions"], &["config", "schema"]]
    {
        let done = oatbank(&[command, &["--help"]].concat());
        let text = String::from_utf8_lossy(&done.stdout).into_owned();
        assert!(text.contains(&format!("Example:\n  oatbank {}", command.join(" "))), "{text}");
    }
}

#[test]
fn without_servers_requests_are_rejected_with_a_retry_time_in_whole_seconds() {
    let file = Scratch::new(&config(&[]).replace("aim_ms = 1500", "aim_ms = 300"));
    let process = Standalone::serve(OATBANK, &file);
    let answer = Client::connect(process.address).look_of_one();
    assert_eq!(answer.status(), 429);
    // The class's target time, in whole seconds rounded up, and exactly.
    assert_eq!(answer.header("retry-after"), Some("1"));
    assert_eq!(answer.header("x-oatbank-retry-after"), Some("0.300"));
}

/// Guards against answers of any HTTP/1.1 server being lost for want of a length.
#[test]
fn serve_passes_on_an_answer_without_a_length() {
    let server = Server::start(|_| Act::Close(b"HTTP/1.1 200 OK\r\n\r\nall of it".to_vec()));
    let file = Scratch::new(&config(&[&server]));
    let process = Standalone::serve(OATBANK, &file);
    let answer = Client::connect(process.address).look_of_one();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"all of it"[..]));
}

#[test]
fn the_log_supports_json_and_levels_by_module_and_reports_dropped_lines() {
    let server = Server::ok();
    let file = Scratch::new(&config(&[&server]));
    let further = ["--log-format", "json", "--log-level", "info,oatbank=debug"];
    let mut process = Standalone::serve_with(OATBANK, &file, &further);
    let mut client = Client::connect(process.address);
    assert_eq!(client.look_of_one().status(), 200);
    let line = process.line_with("answered");
    let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!((&line["level"], &line["fields"]["outcome"]), (&"DEBUG".into(), &"served".into()));
    assert!(line["fields"]["ms"].is_number() && line["span"]["account"].is_number(), "{line}");
    // Lines beyond the limit per second are counted by level and reported.
    for _ in 0..60 {
        assert_eq!(client.look_of_one().status(), 200);
    }
    let told = process.line_with("left out of the log");
    let told: serde_json::Value = serde_json::from_str(&told).expect("JSON");
    assert!(told["fields"]["debugs"].as_u64().is_some_and(|n| n >= 20), "{told}");
    let done = oatbank(&["serve", "--config", file.path(), "--log-level", "loud"]);
    assert!(String::from_utf8_lossy(&done.stderr).contains("--log-level"));
}

#[test]
fn serve_uses_its_file_reloads_servers_and_ends_on_sigterm() {
    let old = Server::ok();
    let new = Server::start(|_| Act::Write(oatbank_testkit::answer("200 OK", "", b"new")));
    let file = Scratch::new(&config(&[&old]));
    let mut process = Standalone::serve(OATBANK, &file);
    let ask = |process: &Standalone| Client::connect(process.address).look_of_one();
    assert_eq!(ask(&process).status(), 200);
    // An invalid file changes nothing.
    file.write(&config(&[&new]).replace("aim_ms = 1500", "aim_ms = 0"));
    process.signal("-HUP");
    assert!(process.line_with("kept as it was").contains("classes[0].aim_ms"));
    assert_eq!(ask(&process).status(), 200);
    assert_eq!((old.count(), new.count()), (2, 0));
    // A valid file replaces the servers.
    file.write(&config(&[&new]).replace("s-00000001", "s-00000002"));
    process.signal("-HUP");
    process.line_with("1 servers");
    assert_eq!(ask(&process).body, b"new");
    assert_eq!((old.count(), new.count()), (2, 1));
    process.signal("-TERM");
    let end = std::time::Instant::now() + PATIENCE;
    let mut code = None;
    eventually("the end", || {
        code = process.child.try_wait().expect("a status");
        code.is_some() || std::time::Instant::now() > end
    });
    assert!(code.is_some_and(|c| c.success()), "{code:?}");
}

#[test]
fn an_invalid_file_ends_the_process_with_the_reason() {
    let bad = Scratch::new("name = \"x\"\nclasses = []\nplans = []\n");
    let done = oatbank(&["serve", "--config", bad.path()]);
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(!done.status.success() && told.contains("classes: at least 1 is needed"), "{told}");
}
