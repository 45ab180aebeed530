//! `oatbank fleet`: shows and changes a fleet's rules through the HTTP API at a limiter's `fleet.control` address.

use crate::serve::on_one_thread;
use bytes::Bytes;
use clap::{Args, Subcommand};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use oatbank_fleet::document::Digest;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time limit of a call: the longest timeout of a proposal (60 s) and a margin.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(65);
/// Number of checks whether a change is in force after its response was lost.
const CONFIRM_CHECKS: u32 = 20;
/// Interval between these checks, and between attempts of `suspend` and `resume`.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Number of retries of `suspend` and `resume` when another revision has become current meanwhile.
const MAX_RETRIES: u32 = 20;

/// Exit codes besides 0 and 1, in the order of the help text.
const VETOED: u8 = 2;
const OTHER_CURRENT: u8 = 3;
const NO_DECIDER: u8 = 4;
const TIMED_OUT: u8 = 5;
const DECIDED_ANSWER_LOST: u8 = 6;

/// Limiter addresses and output format of a command.
#[derive(Args)]
pub struct At {
    /// Address of a limiter's fleet.control. Changes and the history need the decider; of several addresses, separated by
    /// commas, the decider's is used.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',', required = true)]
    at: Vec<SocketAddr>,
    /// Print the response as JSON.
    #[arg(long)]
    json: bool,
}

/// Subcommands of `oatbank fleet`.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Show the rules a limiter applies; at the decider, also the state of every limiter.
    #[command(after_help = "Example:\n  oatbank fleet status --at 127.0.0.1:7100")]
    Status {
        #[command(flatten)]
        at: At,
    },
    /// Propose a file as the rules of all limiters, and wait for the decision.
    #[command(
        after_help = "Exit codes: 0 decided, 2 vetoed, 3 another revision is current or being decided, \
        4 no decider, 5 timed out and nothing has changed, 6 decided though the answer was lost.\n\n\
        Example:\n  oatbank fleet apply rules.toml --at 127.0.0.1:7100 --expect 4"
    )]
    Apply {
        /// Rules file (TOML) with the keys attempts, classes, cold, left, max_units, plans, servers, suspended, zones.
        file: String,
        /// Apply only if this is the number of the current revision.
        #[arg(long)]
        expect: Option<u64>,
        /// Only check whether all limiters accept the rules.
        #[arg(long)]
        dry_run: bool,
        /// Limiters that are gone for good and are not waited for, separated by commas.
        #[arg(long, value_name = "NAMES")]
        without: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// Suspend servers at all limiters, by changing `suspended` in the rules.
    #[command(after_help = "Example:\n  oatbank fleet suspend engine-3 engine-4 --at 127.0.0.1:7100")]
    Suspend {
        /// Server ids; they need not be listed.
        #[arg(required = true)]
        servers: Vec<String>,
        #[command(flatten)]
        at: At,
    },
    /// Resume suspended servers.
    #[command(after_help = "Example:\n  oatbank fleet resume engine-3 --at 127.0.0.1:7100")]
    Resume {
        /// Server ids.
        #[arg(required = true)]
        servers: Vec<String>,
        #[command(flatten)]
        at: At,
    },
    /// List the revisions that were in force, the current one last.
    #[command(after_help = "Example:\n  oatbank fleet history --at 127.0.0.1:7100")]
    History {
        #[command(flatten)]
        at: At,
    },
    /// Propose the text of an earlier revision again.
    #[command(after_help = "Example:\n  oatbank fleet rollback 3 --at 127.0.0.1:7100")]
    Rollback {
        /// Number of the revision.
        number: u64,
        #[command(flatten)]
        at: At,
    },
    /// Show the lines that differ between two revisions, or between a revision and the current one.
    #[command(after_help = "Example:\n  oatbank fleet diff 3 4 --at 127.0.0.1:7100")]
    Diff {
        /// Number of the first revision.
        one: u64,
        /// Number of the second revision; the current one by default.
        other: Option<u64>,
        #[command(flatten)]
        at: At,
    },
}

/// Failure of a command: its exit code and message.
pub(super) struct Failure(pub(super) u8, pub(super) String);

/// Runs a command and returns its exit code.
///
/// # Errors
/// If the runtime cannot be started.
pub fn run(command: FleetCommand) -> Result<ExitCode, String> {
    run_to_exit_code(carry_out(command))
}

/// Runs a command, prints the reason of a failure to standard error, and returns the exit code.
///
/// # Errors
/// If the runtime cannot be started.
pub(super) fn run_to_exit_code(
    command: impl Future<Output = Result<(), Failure>> + 'static,
) -> Result<ExitCode, String> {
    let ended = Rc::new(std::cell::Cell::new(0));
    let code = ended.clone();
    on_one_thread(async move {
        if let Err(Failure(n, say)) = command.await {
            eprintln!("oatbank: {}", say.trim_end());
            code.set(n);
        }
        Ok(())
    })?;
    Ok(ExitCode::from(ended.get()))
}

async fn carry_out(command: FleetCommand) -> Result<(), Failure> {
    match command {
        FleetCommand::Status { at } => {
            let status = get(&at, "status").await?;
            print(&at, &status, || status_lines(&status));
        }
        FleetCommand::History { at } => {
            let history = get(&at, "history").await?;
            print(&at, &history, || history.as_array().into_iter().flatten().map(history_line).collect());
        }
        FleetCommand::Diff { one, other, at } => {
            let other = match other {
                Some(number) => number,
                None => current(&at).await?,
            };
            let (a, b) = (text(&at, one).await?, text(&at, other).await?);
            difference(&a, &b).iter().for_each(|line| println!("{line}"));
        }
        FleetCommand::Rollback { number, at } => {
            let text = text(&at, number).await?;
            let expect = Some(current(&at).await?);
            apply(&at, text, expect, false, None).await?;
        }
        FleetCommand::Suspend { servers, at } => suspend(&at, &servers, true).await?,
        FleetCommand::Resume { servers, at } => suspend(&at, &servers, false).await?,
        FleetCommand::Apply { file, expect, dry_run, without, at } => {
            let text = std::fs::read_to_string(&file).map_err(|e| Failure(1, format!("{file}: {e}")))?;
            apply(&at, text, expect, dry_run, without).await?;
        }
    }
    Ok(())
}

/// Changes the suspended servers. If another revision becomes current meanwhile, the change is applied to that one.
async fn suspend(at: &At, servers: &[String], out: bool) -> Result<(), Failure> {
    let mut tries = 0;
    loop {
        let number = current(at).await?;
        let changed = super::edit::suspend(&text(at, number).await?, servers, out);
        let changed = changed.map_err(|why| Failure(1, why))?;
        match apply(at, changed, Some(number), false, None).await {
            Err(Failure(OTHER_CURRENT, _)) if tries < MAX_RETRIES => tries += 1,
            done => return done,
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn apply(
    at: &At,
    text: String,
    expect: Option<u64>,
    dry_run: bool,
    without: Option<String>,
) -> Result<(), Failure> {
    let author = std::env::var("USER").unwrap_or_else(|_| "operator".into());
    let encoded = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
    let mut path = format!("propose?author={}", encoded(&author));
    path.extend(expect.map(|number| format!("&expect={number}")));
    path.extend(dry_run.then_some("&dry_run=1".to_owned()));
    path.extend(without.map(|names| format!("&without={}", encoded(&names))));
    let digest = Digest::of(&text);
    let (status, body) = match call(target_address(at).await?, Method::POST, &path, text).await {
        Ok(answer) => answer,
        Err(CallError::NotSent(why)) => return Err(Failure(NO_DECIDER, why)),
        Err(CallError::NoResponse(why)) => return Err(confirm_decided(at, digest, dry_run, why).await),
    };
    let answer: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
    let say = answer["say"].as_str().or(answer["error"].as_str()).unwrap_or(&body).to_owned();
    if status == 200 {
        print(at, &answer, || vec![say]);
        return Ok(());
    }
    let code = match answer["result"].as_str() {
        Some("vetoed") => VETOED,
        Some("conflict" | "busy") => OTHER_CURRENT,
        Some("recovering" | "not decider" | "no decider" | "no coordinator") => NO_DECIDER,
        Some("unsure") => return Err(confirm_decided(at, digest, dry_run, say).await),
        Some("timed out") => TIMED_OUT,
        _ => 1,
    };
    Err(Failure(code, say))
}

/// Checks whether a change whose response was lost is in force, and returns the resulting failure.
async fn confirm_decided(at: &At, digest: Digest, dry_run: bool, why: String) -> Failure {
    for _ in 0..if dry_run { 0 } else { CONFIRM_CHECKS } {
        let status = get(at, "status").await.unwrap_or(Value::Null);
        if status["holds"]["hash"] == digest.to_string() {
            return Failure(
                DECIDED_ANSWER_LOST,
                format!("{why}; the change was decided nevertheless, as {}", status["holds"]["revision"]),
            );
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    Failure(
        TIMED_OUT,
        format!("{why}; the change is not in force but may still be decided: see `oatbank fleet status`"),
    )
}

/// Returns the address to call: of several the decider's, or else the first that responds.
async fn target_address(at: &At) -> Result<SocketAddr, Failure> {
    let [first, more @ ..] = &at.at[..] else {
        return Err(Failure(NO_DECIDER, "--at has no address".into()));
    };
    if more.is_empty() {
        return Ok(*first);
    }
    let (mut answers, mut last) = (None, String::new());
    for address in &at.at {
        match call(*address, Method::GET, "status", String::new()).await {
            Ok((_, body)) => {
                let status: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
                if status["limiter"].is_string() && status["limiter"] == status["decider"] {
                    return Ok(*address);
                }
                answers = answers.or(Some(*address));
            }
            Err(CallError::NotSent(why) | CallError::NoResponse(why)) => last = why,
        }
    }
    answers.ok_or(Failure(NO_DECIDER, last))
}

pub(super) async fn get(at: &At, path: &str) -> Result<Value, Failure> {
    let body = fetch(at, path).await?;
    serde_json::from_str(&body).map_err(|e| Failure(1, format!("{path}: {e}")))
}

async fn text(at: &At, number: u64) -> Result<String, Failure> {
    fetch(at, &format!("revisions/{number}")).await
}

async fn current(at: &At) -> Result<u64, Failure> {
    let status = get(at, "status").await?;
    status["holds"]["number"]
        .as_u64()
        .ok_or_else(|| Failure(NO_DECIDER, "the limiter has no rules in force yet".into()))
}

async fn fetch(at: &At, path: &str) -> Result<String, Failure> {
    match call(target_address(at).await?, Method::GET, path, String::new()).await {
        Ok((200, body)) => Ok(body),
        Ok((421, body)) => Err(Failure(NO_DECIDER, body)),
        Ok((_, body)) => Err(Failure(1, body)),
        Err(CallError::NotSent(why) | CallError::NoResponse(why)) => Err(Failure(NO_DECIDER, why)),
    }
}

/// Makes a call that changes something and returns its status and body.
pub(super) async fn call_at(at: &At, method: Method, path: &str) -> Result<(u16, String), Failure> {
    match call(target_address(at).await?, method, path, String::new()).await {
        Ok((421 | 503, body)) => Err(Failure(NO_DECIDER, body)),
        Ok(answer) => Ok(answer),
        Err(CallError::NotSent(why)) => Err(Failure(NO_DECIDER, why)),
        Err(CallError::NoResponse(why)) => Err(Failure(
            TIMED_OUT,
            format!("{why}; the order may have been accepted: see `oatbank zone status`"),
        )),
    }
}

/// Call without a response: it failed before or after the request may have been sent.
enum CallError {
    NotSent(String),
    NoResponse(String),
}

async fn call(at: SocketAddr, method: Method, path: &str, body: String) -> Result<(u16, String), CallError> {
    let not_sent = |e: &dyn std::fmt::Display| CallError::NotSent(format!("{at}: {e}"));
    let stream = TcpStream::connect(at).await.map_err(|e| not_sent(&e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(&e))?;
    // The connection ends with its call.
    tokio::task::spawn_local(async move { drop(connection.await) });
    let request =
        Request::builder().method(method).uri(format!("/v1/fleet/{path}")).header("host", at.to_string());
    let request = request.body(Full::new(Bytes::from(body))).map_err(|e| not_sent(&e))?;
    let answer = async {
        let response = sender.send_request(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok::<_, hyper::Error>((status, String::from_utf8_lossy(&body).into_owned()))
    };
    match tokio::time::timeout(RESPONSE_TIMEOUT, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(e)) => Err(CallError::NoResponse(format!("{at}: {e}"))),
        Err(_) => Err(CallError::NoResponse(format!("{at}: no response in time"))),
    }
}

pub(super) fn print(at: &At, answer: &Value, lines: impl FnOnce() -> Vec<String>) {
    if at.json {
        println!("{answer:#}");
    } else {
        lines().iter().for_each(|line| println!("{line}"));
    }
}

pub(super) fn text_of(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn status_lines(status: &Value) -> Vec<String> {
    let mut lines = vec![
        format!(
            "{} acts by {} ({}), lease {} ms; {} decides",
            text_of(&status["limiter"]),
            text_of(&status["holds"]["revision"]),
            text_of(&status["acting"]),
            text_of(&status["lease_left_ms"]),
            text_of(&status["decider"])
        ),
        format!(
            "two may differ for {} ms at most, of {} allowed; {} lapses so far",
            text_of(&status["bound_ms"]),
            text_of(&status["within_ms"]),
            text_of(&status["lapses"])
        ),
    ];
    if let Some(term) = status["term"].as_u64() {
        let heard = text_of(&status["coordinator_heard_ms_ago"]);
        lines.push(format!("term {term}; the coordinator was heard {heard} ms ago"));
    }
    if let Some(veto) = status["veto"].as_object() {
        lines.push(format!("cannot take {}: {}", text_of(&veto["revision"]), text_of(&veto["why"])));
    }
    if status["recovering"] == true {
        lines.push("has just started and is waiting for the other limiters".into());
    }
    if let Some(limiters) = status["limiters"].as_array() {
        lines.push(format!(
            "{:<16} {:<24} {:>12} {:>10}  veto",
            "limiter", "holds", "heard ms ago", "leased ms"
        ));
        lines.extend(limiters.iter().map(|l| {
            format!(
                "{:<16} {:<24} {:>12} {:>10}  {}",
                text_of(&l["limiter"]),
                text_of(&l["holds"]) + if l["current"] == true { "" } else { " (not current)" },
                text_of(&l["heard_ms_ago"]),
                text_of(&l["leased_ms"]),
                text_of(&l["veto"])
            )
        }));
    }
    lines
}

fn history_line(row: &Value) -> String {
    format!(
        "{:<24} {} follows {:<24} {:>7} bytes by {}",
        text_of(&row["revision"]),
        text_of(&row["hash"]),
        text_of(&row["parent"]),
        text_of(&row["bytes"]),
        text_of(&row["author"])
    )
}

/// Returns the lines that only one of the texts has, marked with `-` and `+`.
fn difference(a: &str, b: &str) -> Vec<String> {
    let diff = similar::TextDiff::from_lines(a, b);
    let changes = diff.iter_all_changes().filter(|c| c.tag() != similar::ChangeTag::Equal);
    changes.map(|c| format!("{} {}", c.tag(), c.value().trim_end())).collect()
}

#[cfg(test)]
mod tests {
    use super::difference;

    #[test]
    fn difference_returns_only_changed_lines() {
        assert_eq!(difference("a\nb\nc\n", "a\nx\nc\nd\n"), ["- b", "+ x", "+ d"]);
        assert!(difference("a\n", "a\n").is_empty());
    }
}
