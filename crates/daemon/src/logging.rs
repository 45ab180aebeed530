//! The log: lines on standard error.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes to standard error, a bounded number of lines a second: a log must not outgrow the troubles told in it.
struct Lines(Mutex<(Instant, u32)>);

const LINES_A_SECOND: u32 = 20;

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Ok(mut window) = self.0.lock() else { return };
        if window.0.elapsed() > Duration::from_secs(1) {
            *window = (Instant::now(), 0);
        }
        window.1 += 1;
        if window.1 <= LINES_A_SECOND {
            // There is nowhere to tell of a log that cannot be written.
            let _ = writeln!(std::io::stderr(), "{} {}", record.level(), record.args());
        }
    }

    fn flush(&self) {}
}

/// Sends what is logged to standard error from now on.
pub fn start() {
    let lines = Box::new(Lines(Mutex::new((Instant::now(), 0))));
    if log::set_boxed_logger(lines).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}
