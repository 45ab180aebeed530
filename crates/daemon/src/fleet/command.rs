//! `oatbank fleet`: what operators do with a fleet's rules, by calls to a limiter's `fleet.control`.

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

/// A call without an answer by then has none: the longest patience of a proposal and some more.
const WAIT: Duration = Duration::from_secs(65);
/// After an answer was lost: how often it is looked whether the change stands, and with which pause.
const LOOKS: u32 = 20;
const LOOK: Duration = Duration::from_millis(250);

/// How often a change of one key is made again on what is current meanwhile.
const TRIES: u32 = 20;

/// Exit codes beside 0 and 1, in the order of the help.
const VETOED: u8 = 2;
const OTHER_CURRENT: u8 = 3;
const NO_DECIDER: u8 = 4;
const TIMED_OUT: u8 = 5;
const DECIDED_ANSWER_LOST: u8 = 6;

/// Which limiter is asked.
#[derive(Args)]
pub struct At {
    /// The limiter's fleet.control; changes and the history are the decider's. Of several, behind commas, the decider's is
    /// taken.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',', required = true)]
    at: Vec<SocketAddr>,
    /// Print what was answered, JSON.
    #[arg(long)]
    json: bool,
}

/// What is asked for.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// What a limiter acts by; at the decider, also what it knows of each other one.
    #[command(after_help = "Example:\n  oatbank fleet status --at 127.0.0.1:7100")]
    Status {
        #[command(flatten)]
        at: At,
    },
    /// Propose a file's text as the rules of all limiters, and wait for what becomes of it.
    #[command(
        after_help = "Exit codes: 0 decided, 2 vetoed, 3 another revision is current or being decided, \
        4 no decider, 5 timed out and nothing has changed, 6 decided though the answer was lost.\n\n\
        Example:\n  oatbank fleet apply rules.toml --at 127.0.0.1:7100 --expect 4"
    )]
    Apply {
        /// The file (TOML): attempts, classes, cold, left, max_units, plans, servers, suspended, zones.
        file: String,
        /// The number of the revision that it is to follow.
        #[arg(long)]
        expect: Option<u64>,
        /// Only whether all could take it.
        #[arg(long)]
        dry_run: bool,
        /// Limiters that are gone for good, behind commas: they are not waited for.
        #[arg(long, value_name = "NAMES")]
        without: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// Take servers out of use at all limiters: a change of the rules' `suspended`.
    #[command(after_help = "Example:\n  oatbank fleet suspend engine-3 engine-4 --at 127.0.0.1:7100")]
    Suspend {
        /// Their ids, listed or not.
        #[arg(required = true)]
        servers: Vec<String>,
        #[command(flatten)]
        at: At,
    },
    /// Put servers in again that `suspend` has taken out.
    #[command(after_help = "Example:\n  oatbank fleet resume engine-3 --at 127.0.0.1:7100")]
    Resume {
        /// Their ids.
        #[arg(required = true)]
        servers: Vec<String>,
        #[command(flatten)]
        at: At,
    },
    /// The revisions that were in force, the current one last.
    #[command(after_help = "Example:\n  oatbank fleet history --at 127.0.0.1:7100")]
    History {
        #[command(flatten)]
        at: At,
    },
    /// Propose an earlier revision's text again.
    #[command(after_help = "Example:\n  oatbank fleet rollback 3 --at 127.0.0.1:7100")]
    Rollback {
        /// Its number.
        number: u64,
        #[command(flatten)]
        at: At,
    },
    /// The lines in which two revisions differ; without the second, the first and the current one.
    #[command(after_help = "Example:\n  oatbank fleet diff 3 4 --at 127.0.0.1:7100")]
    Diff {
        /// The one.
        one: u64,
        /// The other.
        other: Option<u64>,
        #[command(flatten)]
        at: At,
    },
}

/// Why a command does not end well: its exit code and what to say.
pub(super) struct End(pub(super) u8, pub(super) String);

/// Runs a command.
///
/// # Errors
/// When there is no runtime.
pub fn run(command: FleetCommand) -> Result<ExitCode, String> {
    ended(carry_out(command))
}

/// Waits for a command's end, says why it did not end well, and gives its exit code.
///
/// # Errors
/// When there is no runtime.
pub(super) fn ended(command: impl Future<Output = Result<(), End>> + 'static) -> Result<ExitCode, String> {
    let ended = Rc::new(std::cell::Cell::new(0));
    let code = ended.clone();
    on_one_thread(async move {
        if let Err(End(n, say)) = command.await {
            eprintln!("oatbank: {}", say.trim_end());
            code.set(n);
        }
        Ok(())
    })?;
    Ok(ExitCode::from(ended.get()))
}

async fn carry_out(command: FleetCommand) -> Result<(), End> {
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
            let text = std::fs::read_to_string(&file).map_err(|e| End(1, format!("{file}: {e}")))?;
            apply(&at, text, expect, dry_run, without).await?;
        }
    }
    Ok(())
}

/// Another change meanwhile is no harm to this one: it is made again on what is current then.
async fn suspend(at: &At, servers: &[String], out: bool) -> Result<(), End> {
    let mut tries = 0;
    loop {
        let number = current(at).await?;
        let changed = super::edit::suspend(&text(at, number).await?, servers, out);
        let changed = changed.map_err(|why| End(1, why))?;
        match apply(at, changed, Some(number), false, None).await {
            Err(End(OTHER_CURRENT, _)) if tries < TRIES => tries += 1,
            done => return done,
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn apply(
    at: &At,
    text: String,
    expect: Option<u64>,
    dry_run: bool,
    without: Option<String>,
) -> Result<(), End> {
    let author = std::env::var("USER").unwrap_or_else(|_| "operator".into());
    let encoded = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
    let mut path = format!("propose?author={}", encoded(&author));
    path.extend(expect.map(|number| format!("&expect={number}")));
    path.extend(dry_run.then_some("&dry_run=1".to_owned()));
    path.extend(without.map(|names| format!("&without={}", encoded(&names))));
    let digest = Digest::of(&text);
    let (status, body) = match call(asked(at).await?, Method::POST, &path, text).await {
        Ok(answer) => answer,
        Err(Lost::Before(why)) => return Err(End(NO_DECIDER, why)),
        Err(Lost::After(why)) => return Err(look(at, digest, dry_run, why).await),
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
        Some("unsure") => return Err(look(at, digest, dry_run, say).await),
        Some("timed out") => TIMED_OUT,
        _ => 1,
    };
    Err(End(code, say))
}

/// The answer was lost: the change may be decided all the same.
async fn look(at: &At, digest: Digest, dry_run: bool, why: String) -> End {
    for _ in 0..if dry_run { 0 } else { LOOKS } {
        let status = get(at, "status").await.unwrap_or(Value::Null);
        if status["holds"]["hash"] == digest.to_string() {
            return End(
                DECIDED_ANSWER_LOST,
                format!("{why}; yet it is decided, as {}", status["holds"]["revision"]),
            );
        }
        tokio::time::sleep(LOOK).await;
    }
    End(
        TIMED_OUT,
        format!("{why}; it is not in force, and may be decided yet: look at `oatbank fleet status`"),
    )
}

/// The one to be asked: of several the decider, or the first that answers.
async fn asked(at: &At) -> Result<SocketAddr, End> {
    let [first, more @ ..] = &at.at[..] else { return Err(End(NO_DECIDER, "--at names nobody".into())) };
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
            Err(Lost::Before(why) | Lost::After(why)) => last = why,
        }
    }
    answers.ok_or(End(NO_DECIDER, last))
}

pub(super) async fn get(at: &At, path: &str) -> Result<Value, End> {
    let body = fetch(at, path).await?;
    serde_json::from_str(&body).map_err(|e| End(1, format!("{path}: {e}")))
}

async fn text(at: &At, number: u64) -> Result<String, End> {
    fetch(at, &format!("revisions/{number}")).await
}

async fn current(at: &At) -> Result<u64, End> {
    let status = get(at, "status").await?;
    status["holds"]["number"]
        .as_u64()
        .ok_or_else(|| End(NO_DECIDER, "no rules are in force there yet".into()))
}

async fn fetch(at: &At, path: &str) -> Result<String, End> {
    match call(asked(at).await?, Method::GET, path, String::new()).await {
        Ok((200, body)) => Ok(body),
        Ok((421, body)) => Err(End(NO_DECIDER, body)),
        Ok((_, body)) => Err(End(1, body)),
        Err(Lost::Before(why) | Lost::After(why)) => Err(End(NO_DECIDER, why)),
    }
}

/// A call that orders something: its status and text.
pub(super) async fn call_at(at: &At, method: Method, path: &str) -> Result<(u16, String), End> {
    match call(asked(at).await?, method, path, String::new()).await {
        Ok((421 | 503, body)) => Err(End(NO_DECIDER, body)),
        Ok(answer) => Ok(answer),
        Err(Lost::Before(why)) => Err(End(NO_DECIDER, why)),
        Err(Lost::After(why)) => {
            Err(End(TIMED_OUT, format!("{why}; it may have been taken: look at `oatbank zone status`")))
        }
    }
}

/// No answer came, and the call can or cannot have been made.
enum Lost {
    Before(String),
    After(String),
}

async fn call(at: SocketAddr, method: Method, path: &str, body: String) -> Result<(u16, String), Lost> {
    let before = |e: &dyn std::fmt::Display| Lost::Before(format!("{at}: {e}"));
    let stream = TcpStream::connect(at).await.map_err(|e| before(&e))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| before(&e))?;
    // It ends with its call.
    tokio::task::spawn_local(async move { drop(connection.await) });
    let request =
        Request::builder().method(method).uri(format!("/v1/fleet/{path}")).header("host", at.to_string());
    let request = request.body(Full::new(Bytes::from(body))).map_err(|e| before(&e))?;
    let answer = async {
        let response = sender.send_request(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        Ok::<_, hyper::Error>((status, String::from_utf8_lossy(&body).into_owned()))
    };
    match tokio::time::timeout(WAIT, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(e)) => Err(Lost::After(format!("{at}: {e}"))),
        Err(_) => Err(Lost::After(format!("{at}: no answer"))),
    }
}

pub(super) fn print(at: &At, answer: &Value, lines: impl FnOnce() -> Vec<String>) {
    if at.json {
        println!("{answer:#}");
    } else {
        lines().iter().for_each(|line| println!("{line}"));
    }
}

pub(super) fn word(value: &Value) -> String {
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
            word(&status["limiter"]),
            word(&status["holds"]["revision"]),
            word(&status["acting"]),
            word(&status["lease_left_ms"]),
            word(&status["decider"])
        ),
        format!(
            "two may differ for {} ms at most, of {} allowed; {} lapses so far",
            word(&status["bound_ms"]),
            word(&status["within_ms"]),
            word(&status["lapses"])
        ),
    ];
    if let Some(term) = status["term"].as_u64() {
        let heard = word(&status["coordinator_heard_ms_ago"]);
        lines.push(format!("term {term}; the coordinator was heard {heard} ms ago"));
    }
    if let Some(veto) = status["veto"].as_object() {
        lines.push(format!("cannot take {}: {}", word(&veto["revision"]), word(&veto["why"])));
    }
    if status["recovering"] == true {
        lines.push("has just started, and waits for the others".into());
    }
    if let Some(limiters) = status["limiters"].as_array() {
        lines.push(format!(
            "{:<16} {:<24} {:>12} {:>10}  veto",
            "limiter", "holds", "heard ms ago", "leased ms"
        ));
        lines.extend(limiters.iter().map(|l| {
            format!(
                "{:<16} {:<24} {:>12} {:>10}  {}",
                word(&l["limiter"]),
                word(&l["holds"]) + if l["current"] == true { "" } else { " (not current)" },
                word(&l["heard_ms_ago"]),
                word(&l["leased_ms"]),
                word(&l["veto"])
            )
        }));
    }
    lines
}

fn history_line(row: &Value) -> String {
    format!(
        "{:<24} {} follows {:<24} {:>7} bytes by {}",
        word(&row["revision"]),
        word(&row["hash"]),
        word(&row["parent"]),
        word(&row["bytes"]),
        word(&row["author"])
    )
}

/// Lines that only one has.
fn difference(a: &str, b: &str) -> Vec<String> {
    let diff = similar::TextDiff::from_lines(a, b);
    let changes = diff.iter_all_changes().filter(|c| c.tag() != similar::ChangeTag::Equal);
    changes.map(|c| format!("{} {}", c.tag(), c.value().trim_end())).collect()
}

#[cfg(test)]
mod tests {
    use super::difference;

    #[test]
    fn only_what_differs_is_shown() {
        assert_eq!(difference("a\nb\nc\n", "a\nx\nc\nd\n"), ["- b", "+ x", "+ d"]);
        assert!(difference("a\n", "a\n").is_empty());
    }
}
