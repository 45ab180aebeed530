//! Logs: short sentences, each with the prefix of the part that says it, on standard error.
//!
//! Writing costs processor time, so what may come often is told at most so many times a second, and how many lines
//! were left out is told with the next.

use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};
use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use spdlog::{debug, error, info, warn};

/// Lines told in one second by one [`Few`].
const MOST: u32 = 5;

/// Begins to log from this level on: `error`, `warn`, `info`, `debug` or `off`.
///
/// # Errors
/// When the level is none of these, or the log cannot be set up.
pub fn start(level: &str) -> Result<(), String> {
    use spdlog::Level;
    let filter = match level {
        "off" => LevelFilter::Off,
        "error" => LevelFilter::MoreSevereEqual(Level::Error),
        "warn" => LevelFilter::MoreSevereEqual(Level::Warn),
        "info" => LevelFilter::MoreSevereEqual(Level::Info),
        "debug" => LevelFilter::MoreSevereEqual(Level::Debug),
        other => return Err(format!("log level {other:?}: allowed are error, warn, info, debug, off")),
    };
    let formatter = PatternFormatter::new(pattern!("{time}.{millisecond} {level} {payload}{eol}"));
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(Box::new(formatter)).build();
    let sink = sink.map_err(|e| format!("log: {e}"))?;
    let logger = Logger::builder().sink(Arc::new(sink)).level_filter(filter).build();
    let logger = logger.map_err(|e| format!("log: {e}"))?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Lets a few lines a second through.
#[derive(Debug)]
pub struct Few {
    since: Cell<Instant>,
    told: Cell<u32>,
    left_out: Cell<u32>,
}

impl Default for Few {
    fn default() -> Self {
        Few { since: Cell::new(Instant::now()), told: Cell::new(0), left_out: Cell::new(0) }
    }
}

impl Few {
    /// Whether a line may be told now; with it how many were left out before it.
    pub fn may(&self) -> Option<u32> {
        if self.since.get().elapsed() >= Duration::from_secs(1) {
            self.since.set(Instant::now());
            self.told.set(0);
        }
        if self.told.get() >= MOST {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.told.set(self.told.get() + 1);
        Some(self.left_out.take())
    }
}
