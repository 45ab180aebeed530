//! Logging of short lines to standard error, each prefixed with the name of its module.
//!
//! Writing costs CPU time, so lines that may be frequent are limited by a [`RateLimitedLog`].

use quick_error::quick_error;
use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};
use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use spdlog::{debug, error, info, warn};

/// Lines per second that one [`RateLimitedLog`] allows.
const MAX_LINES_PER_SECOND: u32 = 5;

quick_error! {
    /// The reason for which logging could not start.
    #[derive(Debug)]
    pub enum LogError {
        /// An unknown log level.
        UnknownLevel(level: String) {
            display("log level {:?}: allowed are error, warn, info, debug, off", level)
        }
        /// The logger cannot be created.
        Setup(error: spdlog::Error) {
            from()
            source(error)
            display("log: {}", error)
        }
    }
}

/// Starts logging at this level and above: `error`, `warn`, `info`, `debug` or `off`.
///
/// # Errors
/// [`LogError::UnknownLevel`] for any other level, [`LogError::Setup`] if the logger cannot be created.
pub fn start(level: &str) -> Result<(), LogError> {
    use spdlog::Level;
    let filter = match level {
        "off" => LevelFilter::Off,
        "error" => LevelFilter::MoreSevereEqual(Level::Error),
        "warn" => LevelFilter::MoreSevereEqual(Level::Warn),
        "info" => LevelFilter::MoreSevereEqual(Level::Info),
        "debug" => LevelFilter::MoreSevereEqual(Level::Debug),
        other => return Err(LogError::UnknownLevel(other.to_owned())),
    };
    let formatter = PatternFormatter::new(pattern!("{time}.{millisecond} {level} {payload}{eol}"));
    let sink =
        StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(Box::new(formatter)).build()?;
    let logger = Logger::builder().sink(Arc::new(sink)).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Limits frequent log lines to a few per second and counts the suppressed ones.
#[derive(Debug)]
pub struct RateLimitedLog {
    second_began: Cell<Instant>,
    written: Cell<u32>,
    suppressed: Cell<u32>,
}

impl Default for RateLimitedLog {
    fn default() -> Self {
        RateLimitedLog {
            second_began: Cell::new(Instant::now()),
            written: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }
}

impl RateLimitedLog {
    /// Returns the number of lines suppressed since the last one if a line may be written now, or `None` if not.
    pub fn allow(&self) -> Option<u32> {
        if self.second_began.get().elapsed() >= Duration::from_secs(1) {
            self.second_began.set(Instant::now());
            self.written.set(0);
        }
        if self.written.get() >= MAX_LINES_PER_SECOND {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.suppressed.take())
    }
}
