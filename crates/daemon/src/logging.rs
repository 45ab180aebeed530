//! Logging to standard error with a limit of lines per second, so that logging does not add to an overload.

use clap::ValueEnum;
use std::fmt::Debug;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing::subscriber::Subscriber;
use tracing::{Event, Level, Metadata};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// Maximum number of lines per second. Further lines are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 20;
/// Target of events about the log itself, which are never dropped.
const LOG_TARGET: &str = "oatbank::log";

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Time, level, module, message and fields.
    Text,
    /// One JSON object per line.
    Json,
}

/// Start of the current second, lines counted in it, and lines dropped since the last report, by level.
struct Second {
    start: Instant,
    written: u32,
    dropped: [u64; 5],
}

/// Filter that limits the number of lines per second.
struct LineLimit(Mutex<Second>);

static LINE_LIMIT: OnceLock<LineLimit> = OnceLock::new();

fn line_limit() -> &'static LineLimit {
    LINE_LIMIT
        .get_or_init(|| LineLimit(Mutex::new(Second { start: Instant::now(), written: 0, dropped: [0; 5] })))
}

const LEVELS: [Level; 5] = [Level::ERROR, Level::WARN, Level::INFO, Level::DEBUG, Level::TRACE];

impl LineLimit {
    fn admit(&self, level: Level, now: Instant) -> bool {
        // The counters are valid even if another thread panicked while it held the lock.
        let mut second = self.0.lock().unwrap_or_else(|broken| broken.into_inner());
        if now.duration_since(second.start) > Duration::from_secs(1) {
            (second.start, second.written) = (now, 0);
        }
        second.written += 1;
        if second.written <= MAX_LINES_PER_SECOND {
            return true;
        }
        if let Some(place) = LEVELS.iter().position(|l| *l == level) {
            second.dropped[place] += 1;
        }
        false
    }

    /// Returns and resets the number of dropped lines, by level from errors down.
    fn take_dropped(&self) -> [u64; 5] {
        let mut second = self.0.lock().unwrap_or_else(|broken| broken.into_inner());
        std::mem::take(&mut second.dropped)
    }
}

impl<S: Subscriber> Filter<S> for &'static LineLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        metadata.target() == LOG_TARGET || self.admit(*metadata.level(), Instant::now())
    }
}

/// Line format of the platform: level and message.
struct Platform;

struct Message<'w, 'f>(&'w mut Writer<'f>);

impl Visit for Message<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == "message" {
            // A failure to write the log cannot be reported anywhere.
            let _ = write!(self.0, "{value:?}");
        }
    }
}

impl<S, N> FormatEvent<S, N> for Platform
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> std::fmt::Result {
        write!(writer, "{} ", event.metadata().level())?;
        event.record(&mut Message(&mut writer));
        writeln!(writer)
    }
}

/// Starts logging in the platform's format, at level info and above.
pub fn start_platform() {
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).event_format(Platform);
    install(lines.with_filter(line_limit()).with_filter(LevelFilter::INFO));
}

/// Starts logging in the given format, at levels by module.
pub fn start(format: Format, levels: Targets) {
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    match format {
        Format::Text => install(lines.with_filter(line_limit()).with_filter(levels)),
        Format::Json => install(lines.json().with_filter(line_limit()).with_filter(levels)),
    }
}

/// Parses levels such as `info,oatbank_zookeeper=debug`.
///
/// # Errors
/// If a single word is not a level; the parser would take it for a module and log everything of it.
pub fn levels(text: &str) -> Result<Targets, String> {
    let allowed = "expected off, error, warn, info, debug or trace, or MODULE=LEVEL, separated by commas";
    if let Some(word) = text.split(',').find(|w| !w.contains('=') && w.parse::<LevelFilter>().is_err()) {
        return Err(format!("{word:?} is not a level; {allowed}"));
    }
    text.parse().map_err(|e| format!("{e}; {allowed}"))
}

fn install(lines: impl Layer<tracing_subscriber::Registry> + Send + Sync) {
    // Starting twice in one process has no effect: the first log stays in use.
    let _ = tracing_subscriber::registry().with(lines).try_init();
}

/// Returns whether logging has been started.
pub fn is_on() -> bool {
    LINE_LIMIT.get().is_some()
}

/// Reports once per second how many lines were dropped, if any. Never returns.
pub async fn report_dropped_lines() {
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let [errors, warnings, infos, debugs, traces] = line_limit().take_dropped();
        if errors + warnings + infos + debugs + traces > 0 {
            tracing::warn!(
                target: LOG_TARGET,
                errors,
                warnings,
                infos,
                debugs,
                traces,
                "lines were left out of the log: {MAX_LINES_PER_SECOND} a second are written"
            );
        }
    }
}

#[cfg(test)]
mod tests;
