//! The program `oatbankctl`: asks the system's programs what they know.

use oatbank_node_runtime::rpc::RpcClient;
use oatbankctl::output;
use oatbankctl::query::{ask, QueryError};
use quick_error::quick_error;
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

/// Exit code: there is no answer.
const EXIT_NO_ANSWER: u8 = 1;
/// Exit code: the command line or the command is wrong.
const EXIT_WRONG_COMMAND: u8 = 2;

quick_error! {
    /// What is wrong with the command line.
    #[derive(Debug)]
    enum CommandLineError {
        /// An argument has no value, or one that is no text.
        Argument(error: lexopt::Error) {
            from()
            display("{}", error)
        }
        /// There is no such argument.
        Unexpected(error: lexopt::Error) {
            display("{}; see oatbankctl --help", error)
        }
        /// The address cannot be read.
        Address(value: String) {
            display("--at: {:?}; allowed: an address with a port, as 10.0.0.4:7001", value)
        }
        /// There is no address.
        MissingAddress {
            display("--at is missing; allowed: an address with a port")
        }
    }
}

struct CommandLine {
    address: SocketAddr,
    json: bool,
    local_only: bool,
    words: Vec<String>,
}

/// The command line; `None` if it asked only for help or the version, which has been printed.
fn parse_command_line() -> Result<Option<CommandLine>, CommandLineError> {
    use lexopt::prelude::*;
    let (mut address, mut json, mut local_only, mut words) = (None, false, false, Vec::new());
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("at") => {
                let value = parser.value()?.string()?;
                address = Some(value.parse().map_err(|_| CommandLineError::Address(value))?);
            }
            Long("json") => json = true,
            Long("near") => local_only = true,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("oatbankctl {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Value(word) => words.push(word.string()?),
            other => return Err(CommandLineError::Unexpected(other.unexpected())),
        }
    }
    let address = address.ok_or(CommandLineError::MissingAddress)?;
    Ok(Some(CommandLine { address, json, local_only, words }))
}

/// Runs one command and prints its answer; the exit code.
async fn run_command(client: &Rc<RpcClient>, line: &CommandLine, words: Vec<String>) -> u8 {
    match ask(client, words, line.local_only).await {
        Ok(table) => {
            print!("{}", if line.json { output::json(&table) } else { output::text(&table) });
            0
        }
        Err(error) => {
            eprintln!("oatbankctl: {error}");
            match error {
                QueryError::Rejected(_) => EXIT_WRONG_COMMAND,
                QueryError::NoAnswer(_) => EXIT_NO_ANSWER,
            }
        }
    }
}

/// Runs the command of the command line, or each line of the input; the highest exit code.
async fn run(line: CommandLine) -> u8 {
    let client = RpcClient::new(line.address);
    if !line.words.is_empty() {
        return run_command(&client, &line, line.words.clone()).await;
    }
    let mut exit_code = 0;
    for input in std::io::stdin().lock().lines() {
        let Ok(input) = input else { break };
        let words: Vec<String> = input.split_whitespace().map(str::to_owned).collect();
        if !words.is_empty() {
            exit_code = exit_code.max(run_command(&client, &line, words).await);
        }
    }
    exit_code
}

fn main() -> ExitCode {
    let line = match parse_command_line() {
        Ok(Some(line)) => line,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oatbankctl: {error}");
            return ExitCode::from(EXIT_WRONG_COMMAND);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("oatbankctl: {error}");
            return ExitCode::from(EXIT_NO_ANSWER);
        }
    };
    ExitCode::from(tokio::task::LocalSet::new().block_on(&runtime, run(line)))
}
