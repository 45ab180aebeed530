//! The shell's program.

use oatbank_node_runtime::rpc::Link;
use oatbankctl::output;
use oatbankctl::query::{ask, NoAnswer};
use std::io::BufRead;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

const HELP: &str = "oatbankctl: asks the system's programs what they know

Usage: oatbankctl --at ADDRESS [--json] [--near] [COMMAND ...]

  --at ADDRESS  inner address of a core machine (its second inner port) or a proxy (its third)
  --json        one JSON object a line
  --near        by what that process knows alone: it asks no other
  --help, --version

Without a command each line of the input is one; the answers come in their order.

  outcome TRY-ID      what became of a try that may run once
  servers [SERVICE]   id, service, address, zone, state, last word, how long still cold
  limiters            name, zone, state, edition, last word
  core                who is in touch, by which edition, as of when
  voters              at a core machine: who votes in the store, what each holds, how many more may be lost
  version             of the program that answers
  guard               at a proxy: tries kept, and decisions not carried out

A program may answer more; what it answers is told with any word that it does not know.
Ends with 0, with 1 if there is no answer, with 2 if the question is wrong.
";
const SILENT: u8 = 1;
const WRONG: u8 = 2;

struct Asked {
    at: SocketAddr,
    json: bool,
    near: bool,
    words: Vec<String>,
}

fn asked() -> Result<Option<Asked>, String> {
    use lexopt::prelude::*;
    let (mut at, mut json, mut near, mut words) = (None, false, false, Vec::new());
    let mut parser = lexopt::Parser::from_env();
    let text = |e: lexopt::Error| e.to_string();
    while let Some(arg) = parser.next().map_err(text)? {
        match arg {
            Long("at") => {
                let value = parser.value().and_then(|v| v.string()).map_err(text)?;
                let wrong = |_| format!("--at: {value:?}; allowed: an address with a port, as 10.0.0.4:7001");
                at = Some(value.parse().map_err(wrong)?);
            }
            Long("json") => json = true,
            Long("near") => near = true,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("oatbankctl {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Value(word) => words.push(word.string().map_err(text)?),
            other => return Err(format!("{}; see oatbankctl --help", other.unexpected())),
        }
    }
    let at = at.ok_or("--at is missing; allowed: an address with a port")?;
    Ok(Some(Asked { at, json, near, words }))
}

/// Asks, and writes what comes; the code to end with.
async fn put(link: &Rc<Link>, asked: &Asked, words: Vec<String>) -> u8 {
    match ask(link, words, asked.near).await {
        Ok(table) => {
            print!("{}", if asked.json { output::json(&table) } else { output::text(&table) });
            0
        }
        Err(e) => {
            eprintln!("oatbankctl: {e}");
            if matches!(e, NoAnswer::Wrong(_)) {
                WRONG
            } else {
                SILENT
            }
        }
    }
}

async fn run(asked: Asked) -> u8 {
    let link = Link::new(asked.at);
    if !asked.words.is_empty() {
        return put(&link, &asked, asked.words.clone()).await;
    }
    let mut worst = 0;
    for line in std::io::stdin().lock().lines() {
        let Ok(line) = line else { break };
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        if !words.is_empty() {
            worst = worst.max(put(&link, &asked, words).await);
        }
    }
    worst
}

fn main() -> ExitCode {
    let asked = match asked() {
        Ok(Some(asked)) => asked,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oatbankctl: {e}");
            return ExitCode::from(WRONG);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("oatbankctl: {e}");
            return ExitCode::from(SILENT);
        }
    };
    ExitCode::from(tokio::task::LocalSet::new().block_on(&runtime, run(asked)))
}
