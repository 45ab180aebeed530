//! The command line: what it prints, how it ends, and that what it starts really serves.

use oatbank_testkit::{eventually, Act, Client, Server, PATIENCE};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

fn oatbank(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_oatbank")).args(arguments).output().expect("oatbank runs")
}

/// A file that goes with its test.
struct Scratch(PathBuf);

impl Scratch {
    fn new(text: &str) -> Scratch {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("oatbank-cli-{}-{}.toml", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let file = Scratch(std::env::temp_dir().join(name));
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("a file");
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path of plain text")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
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

/// A process that is killed with its test.
struct Process {
    child: Child,
    address: SocketAddr,
    log: BufReader<std::process::ChildStderr>,
}

impl Process {
    fn serve(file: &Scratch) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oatbank"));
        command.args(["serve", "--config", file.path()]).stderr(Stdio::piped());
        let mut child = command.spawn().expect("oatbank");
        let log = BufReader::new(child.stderr.take().expect("a log"));
        let mut process = Process { child, address: SocketAddr::from(([0, 0, 0, 0], 0)), log };
        let line = process.line_with(" serves ");
        let (_, address) = line.split_once(" serves ").expect("an address");
        process.address = address.trim().parse().expect("an address");
        process
    }

    fn line_with(&mut self, mark: &str) -> String {
        let mut line = String::new();
        loop {
            line.clear();
            assert!(self.log.read_line(&mut line).expect("a line") > 0, "the log ended before {mark:?}");
            if line.contains(mark) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn it_serves_from_a_file_moves_to_new_servers_and_ends_on_a_signal() {
    let old = Server::ok();
    let new = Server::start(|_| Act::Write(oatbank_testkit::answer("200 OK", "", b"new")));
    let file = Scratch::new(&config(&[&old]));
    let mut process = Process::serve(&file);
    let ask = |process: &Process| Client::connect(process.address).look_of_one();
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
