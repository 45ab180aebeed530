//! The command line: what it prints, how it ends, and that what it starts really serves.

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
fn the_demo_shows_failures_a_drain_and_refusals_and_ends_well() {
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
fn a_file_is_checked_and_a_mistake_is_told_with_its_key() {
    let server = Server::ok();
    let good = Scratch::new(&config(&[&server]));
    let done = oatbank(&["check", good.path()]);
    assert!(done.status.success());
    assert!(String::from_utf8_lossy(&done.stdout).contains("1 servers"));
    for (of, with, says) in [
        ("aim_ms = 1500", "aim_ms = -1", "classes[0].aim_ms"),
        ("rate = 100000", "rate = \"much\"", "line 14"),
        ("repeat = \"safe\"", "", "missing field `repeat`"),
        ("name = \"cli\"", "nam = \"cli\"", "unknown field `nam`"),
    ] {
        let bad = Scratch::new(&config(&[&server]).replace(of, with));
        let done = oatbank(&["check", bad.path()]);
        let told = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(!done.status.success() && told.contains(says) && told.contains(bad.path()), "{with}: {told}");
    }
    let done = oatbank(&["check", "/nowhere/at/all.toml"]);
    assert!(!done.status.success() && String::from_utf8_lossy(&done.stderr).contains("/nowhere/at/all.toml"));
}

#[test]
fn it_serves_from_a_file_moves_to_new_servers_and_ends_on_a_signal() {
    let old = Server::ok();
    let new = Server::start(|_| Act::Write(oatbank_testkit::answer("200 OK", "", b"new")));
    let file = Scratch::new(&config(&[&old]));
    let mut process = Standalone::serve(OATBANK, &file);
    let ask = |process: &Standalone| Client::connect(process.address).look_of_one();
    assert_eq!(ask(&process).status(), 200);
    // A bad file changes nothing.
    file.write(&config(&[&new]).replace("aim_ms = 1500", "aim_ms = 0"));
    process.signal("-HUP");
    assert!(process.line_with("kept as it was").contains("classes[0].aim_ms"));
    assert_eq!(ask(&process).status(), 200);
    assert_eq!((old.count(), new.count()), (2, 0));
    // A good one does.
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
fn a_file_that_cannot_be_served_ends_the_process_with_its_reason() {
    let bad = Scratch::new("name = \"x\"\nclasses = []\nplans = []\n");
    let done = oatbank(&["serve", "--config", bad.path()]);
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(!done.status.success() && told.contains("classes: at least one is needed"), "{told}");
}
