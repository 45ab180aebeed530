//! Runs the daemon standalone, from a configuration file.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A temporary file that is deleted when dropped.
pub struct Scratch(PathBuf);

impl Scratch {
    pub fn new(text: &str) -> Scratch {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("oatbank-cli-{}-{}.toml", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let file = Scratch(std::env::temp_dir().join(name));
        file.write(text);
        file
    }

    pub fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("writing the file failed");
    }

    pub fn path(&self) -> &str {
        self.0.to_str().expect("path is not UTF-8")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A daemon process that is killed when dropped.
pub struct Standalone {
    pub child: Child,
    pub address: SocketAddr,
    log: Option<BufReader<std::process::ChildStderr>>,
}

impl Standalone {
    /// Starts `oatbank serve` at the path `program` and waits until it serves.
    pub fn serve(program: &str, file: &Scratch) -> Standalone {
        Standalone::serve_with(program, file, &[])
    }

    /// Starts `oatbank serve` with additional arguments and waits until it serves.
    pub fn serve_with(program: &str, file: &Scratch, further: &[&str]) -> Standalone {
        let mut command = Command::new(program);
        command.args(["serve", "--config", file.path()]).args(further).stderr(Stdio::piped());
        let mut child = command.spawn().expect("starting oatbank failed");
        let log = child.stderr.take().map(BufReader::new);
        let mut process = Standalone { child, address: SocketAddr::from(([0, 0, 0, 0], 0)), log };
        let line = process.line_with(" serves ");
        let (_, rest) = line.split_once(" serves ").expect("no address in the log line");
        let address = rest.split(|c: char| !(c.is_ascii_digit() || ".:".contains(c))).next();
        process.address = address.and_then(|a| a.parse().ok()).expect("no address in the log line");
        process
    }

    /// Returns the next log line that contains `mark`. Panics if the log ends first.
    pub fn line_with(&mut self, mark: &str) -> String {
        let mut line = String::new();
        loop {
            line.clear();
            let log = self.log.as_mut().expect("the log is already drained");
            assert!(
                log.read_line(&mut line).expect("reading the log failed") > 0,
                "the log ended before {mark:?}"
            );
            if line.contains(mark) {
                return line;
            }
        }
    }

    /// Reads the rest of the log in the background, so that the process never blocks on a full pipe.
    pub fn drain_log(&mut self) {
        if let Some(mut log) = self.log.take() {
            std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        }
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("running kill failed").success());
    }
}

impl Drop for Standalone {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
