//! The program `oatbankctl`: sends queries to a process of the system and prints the answers as tables or JSON.

use oatbank_node_runtime::rpc::RpcClient;
use oatbankctl::output;
use oatbankctl::query::{ask, QueryError};
use quick_error::quick_error;
use std::io::BufRead;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

const HELP: &str = "oatbankctl: queries the state of the system's processes

Usage: oatbankctl --at ADDRESS [--json] [--near] [COMMAND ...]

  --at ADDRESS  address to query: a core machine at its second inner port, or a proxy at its third
  --json        print each answer as one JSON object on one line
  --near        answer from the queried process's own state, without asking other processes
  --help, --version

Without a command, each line of standard input is run as one; the answers are printed in the same order.

  outcome TRY-ID      whether an attempt of an at-most-once request ran, and on which server
  servers [SERVICE]   servers: id, service, address, zone, state, time since the last heartbeat, warm-up time left
  limiters            limiters: name, zone, state, configuration edition, time since the last sign of life
  core                core machines: whether they are in touch, configuration edition, age of their information
  voters              on a core machine: voters of the configuration store, the data that each holds, and how many
                      more of them may fail
  version             name and version of the queried process
  guard               on a proxy: size of the outcome log; for each service, at-most-once requests in flight and
                      decisions that were blocked because a request could have run twice

Some processes have more commands; an unknown command prints a list of those available.
Exit codes: 0 for success, 1 if there is no answer, 2 if the command line or a command is invalid.
";

/// Exit code if a command gets no answer, or the program cannot start.
const EXIT_NO_ANSWER: u8 = 1;
/// Exit code if the command line or a command is invalid.
const EXIT_WRONG_COMMAND: u8 = 2;

quick_error! {
    /// An invalid command line.
    #[derive(Debug)]
    enum CommandLineError {
        /// An option has no value, or one that is not valid UTF-8.
        Argument(error: lexopt::Error) {
            from()
            display("{}", error)
        }
        /// An unknown option.
        Unexpected(error: lexopt::Error) {
            display("{}; see oatbankctl --help", error)
        }
        /// The value of `--at` is not a socket address.
        Address(value: String) {
            display("--at: {:?}; allowed: an address with a port, such as 10.0.0.4:7001", value)
        }
        /// `--at` is missing.
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

/// Parses the command line. Returns `None` after printing the help or the version.
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

/// Runs one command and prints its answer, or the error on standard error. Returns the exit code.
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

/// Runs the command given on the command line, or else each line of standard input. Returns the highest exit code.
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
