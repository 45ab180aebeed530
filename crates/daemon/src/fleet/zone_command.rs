//! `oatbank zone`: shows and controls a fleet's zones through the HTTP API at the decider's `fleet.control` address.

use super::command::{call_at, get, print, run_to_exit_code, text_of, At, Failure};
use clap::Subcommand;
use hyper::Method;
use serde_json::Value;
use std::process::ExitCode;

/// Exit code if the zone is unknown or is the last one in full use.
const NOT_POSSIBLE: u8 = 3;

/// Subcommands of `oatbank zone`.
#[derive(Subcommand)]
pub enum ZoneCommand {
    /// Show all zones: the share in use and why, failures, and the limiters that see them.
    #[command(after_help = "Example:\n  oatbank zone status --at 127.0.0.1:7100")]
    Status {
        #[command(flatten)]
        at: At,
    },
    /// Show whether the other zones could take the load of this zone now; changes nothing.
    #[command(after_help = "Example:\n  oatbank zone plan a --at 127.0.0.1:7100")]
    Plan {
        /// Name of the zone.
        zone: String,
        #[command(flatten)]
        at: At,
    },
    /// Stop using a zone, regardless of its health, until `return` or `end`.
    #[command(after_help = "Example:\n  oatbank zone leave a --over 30 --at 127.0.0.1:7100")]
    Leave {
        /// Name of the zone.
        zone: String,
        /// Period over which the zone is evenly drained, in seconds; 0 drains it at once.
        #[arg(long, value_name = "SECONDS", default_value_t = 0)]
        over: u64,
        #[command(flatten)]
        at: At,
    },
    /// Use a zone again step by step, regardless of its health; automatic failover resumes once it is in full use.
    #[command(after_help = "Example:\n  oatbank zone return a --at 127.0.0.1:7100")]
    Return {
        /// Name of the zone.
        zone: String,
        #[command(flatten)]
        at: At,
    },
    /// Keep a zone's current share, regardless of its health, until `end`.
    #[command(after_help = "Example:\n  oatbank zone hold a --at 127.0.0.1:7100")]
    Hold {
        /// Name of the zone.
        zone: String,
        #[command(flatten)]
        at: At,
    },
    /// End an order and resume automatic failover.
    #[command(after_help = "Example:\n  oatbank zone end a --at 127.0.0.1:7100")]
    End {
        /// Name of the zone.
        zone: String,
        #[command(flatten)]
        at: At,
    },
}

/// Runs a command and returns its exit code.
///
/// # Errors
/// If the runtime cannot be started.
pub fn run(command: ZoneCommand) -> Result<ExitCode, String> {
    run_to_exit_code(carry_out(command))
}

async fn carry_out(command: ZoneCommand) -> Result<(), Failure> {
    match command {
        ZoneCommand::Status { at } => {
            let zones = get(&at, "zones").await?;
            print(&at, &zones, || lines(&zones));
        }
        ZoneCommand::Plan { zone, at } => {
            let zones = get(&at, "zones").await?;
            let found = zones.as_array().into_iter().flatten().find(|z| z["zone"] == zone.as_str());
            let Some(found) = found else {
                return Err(Failure(NOT_POSSIBLE, format!("{zone:?} is not known")));
            };
            print(&at, found, || vec![plan(found)]);
        }
        ZoneCommand::Leave { zone, over, at } => {
            order(&at, &zone, &format!("leave?over_ms={}", over.saturating_mul(1000))).await?;
        }
        ZoneCommand::Return { zone, at } => order(&at, &zone, "return").await?,
        ZoneCommand::Hold { zone, at } => order(&at, &zone, "hold").await?,
        ZoneCommand::End { zone, at } => order(&at, &zone, "end").await?,
    }
    Ok(())
}

async fn order(at: &At, zone: &str, what: &str) -> Result<(), Failure> {
    let (status, body) = call_at(at, Method::POST, &format!("zones/{zone}/{what}")).await?;
    let answer: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
    let say = answer["say"].as_str().or(answer["error"].as_str()).unwrap_or(&body).to_owned();
    match status {
        200 => {
            print(at, &answer, || vec![say]);
            Ok(())
        }
        404 | 409 => Err(Failure(NOT_POSSIBLE, say)),
        _ => Err(Failure(1, say)),
    }
}

fn percent(value: &Value) -> String {
    value.as_f64().map_or("-".into(), |part| format!("{:.0}%", 100.0 * part))
}

fn plan(zone: &Value) -> String {
    let (name, rate) = (text_of(&zone["zone"]), zone["rate"].as_f64().unwrap_or(0.0));
    match zone["stays"].as_f64() {
        Some(stays) if stays <= 0.0 => {
            format!("{name}: the other zones could take its {rate:.0} attempts per second")
        }
        stays => format!(
            "{name}: of its {rate:.0} attempts a second the others would bear {:.0}% for a start",
            100.0 * (1.0 - stays.unwrap_or(1.0))
        ),
    }
}

fn lines(zones: &Value) -> Vec<String> {
    let head = format!(
        "{:<16} {:>5} {:<10} {:<10} {:>9} {:>8} {:>9}  seen by",
        "zone", "used", "phase", "verdict", "a second", "failing", "evidence"
    );
    let name = |value: &Value| match value {
        Value::Object(map) => map.keys().next().cloned().unwrap_or_default(),
        other => text_of(other),
    };
    let row = |zone: &Value| {
        let seen = zone["limiters"].as_array().into_iter().flatten();
        let seen = seen.filter(|l| l["failed"].as_f64().is_some_and(|n| n >= 1.0));
        let seen: Vec<String> = seen.map(|l| text_of(&l["limiter"])).collect();
        let order = match &zone["order"] {
            Value::Null => String::new(),
            order => format!(" (ordered: {})", name(order)),
        };
        format!(
            "{:<16} {:>5} {:<10} {:<10} {:>9.0} {:>8} {:>9}  {}{order}",
            text_of(&zone["zone"]),
            percent(&zone["share"]),
            name(&zone["phase"]),
            name(&zone["verdict"]),
            zone["rate"].as_f64().unwrap_or(0.0),
            percent(&zone["failing"]),
            format!(
                "{:.0}/{:.0}",
                zone["evidence"].as_f64().unwrap_or(0.0),
                zone["sure"].as_f64().unwrap_or(0.0)
            ),
            seen.join(", ")
        )
    };
    std::iter::once(head).chain(zones.as_array().into_iter().flatten().map(row)).collect()
}
