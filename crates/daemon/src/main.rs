//! The limiter daemon. `oatbank` without a command serves on the platform; `oatbank --help` lists the commands.

mod control;
mod demo;
mod feed;
mod fleet;
mod front;
mod logging;
mod members;
mod platform;
mod reload;
mod serve;
mod standalone;
mod upgrade;

use clap::{Args, CommandFactory, Parser, Subcommand};
use oatbank_engine::config::Config;
use std::process::ExitCode;
use tracing_subscriber::filter::Targets;

/// A rate limiter: quotas across gateways, load balancing, retries, and exactly one response to each request.
///
/// Without a command it serves on the platform, with the configuration file named by PROXY_CONFIG.
#[derive(Parser)]
#[command(
    name = "oatbank",
    version,
    after_help = "Example:\n  oatbank serve --config deploy/standalone.toml"
)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve from a configuration file, without a platform.
    #[command(after_help = "Example:\n  oatbank serve --config deploy/standalone.toml --log-format json \
        --log-level info,oatbank_zookeeper=debug")]
    Serve {
        /// Configuration file (TOML). Environment variables such as OATBANK__LIMITS__SOCKETS=512 override its keys.
        #[arg(long)]
        config: String,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Check a configuration file: print a summary, or all errors in it.
    #[command(after_help = "Example:\n  oatbank check deploy/standalone.toml")]
    Check {
        /// Configuration file (TOML).
        file: String,
    },
    /// Show information about the configuration format.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Print the list of servers that a limiter would use.
    #[command(after_help = "Example:\n  oatbank members --config deploy/standalone.toml")]
    Members {
        /// Configuration file (TOML).
        #[arg(long)]
        config: String,
        /// Keep running and print changes.
        #[arg(long)]
        follow: bool,
    },
    /// Show and change the rules shared by all limiters of a fleet.
    #[command(subcommand)]
    Fleet(fleet::command::FleetCommand),
    /// Show the zones of a fleet and control zone failover.
    #[command(subcommand)]
    Zone(fleet::zone_command::ZoneCommand),
    /// Start servers and a limiter on loopback, simulate failures, and print what happens.
    #[command(after_help = "Example:\n  oatbank demo")]
    Demo,
    /// Print shell completions.
    #[command(after_help = "Example:\n  oatbank completions bash > /etc/bash_completion.d/oatbank")]
    Completions {
        /// Shell to print completions for.
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
enum ConfigCommand {
    /// Print the JSON Schema of the configuration file.
    #[command(after_help = "Example:\n  oatbank config schema > oatbank.schema.json")]
    Schema,
}

#[derive(Args)]
struct LogArguments {
    /// Format of log lines.
    #[arg(long, value_enum, default_value = "text")]
    log_format: logging::Format,
    /// Lowest level that is logged: off, error, warn, info, debug or trace; MODULE=LEVEL sets a module's, separated by
    /// commas.
    #[arg(long, default_value = "info", value_parser = logging::levels)]
    log_level: Targets,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        None => platform(),
        Some(Command::Serve { config, log }) => {
            logging::start(log.log_format, log.log_level);
            standalone::run(config)
        }
        Some(Command::Check { file }) => check(&file),
        Some(Command::Config(ConfigCommand::Schema)) => {
            println!("{:#}", Config::schema());
            Ok(())
        }
        Some(Command::Members { config, follow }) => members::run(&config, follow),
        Some(Command::Fleet(command)) => match fleet::command::run(command) {
            Ok(code) => return code,
            Err(e) => Err(e),
        },
        Some(Command::Zone(command)) => match fleet::zone_command::run(command) {
            Ok(code) => return code,
            Err(e) => Err(e),
        },
        Some(Command::Demo) => demo::run(),
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Arguments::command(), "oatbank", &mut std::io::stdout());
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        // Errors go to the log if there is one, otherwise to standard error.
        Err(e) if logging::is_on() => {
            e.lines().for_each(|line| tracing::error!("{line}"));
            ExitCode::FAILURE
        }
        Err(e) => {
            e.lines().for_each(|line| eprintln!("oatbank: {line}"));
            ExitCode::FAILURE
        }
    }
}

fn platform() -> Result<(), String> {
    logging::start_platform();
    platform::run(std::env::var("PROXY_CONFIG").unwrap_or_else(|_| "/run/balancer/config.json".into()))
}

fn check(file: &str) -> Result<(), String> {
    let config = Config::load(file, std::env::vars()).map_err(|e| e.lines(file).join("\n"))?;
    let names = &config.setup.names;
    println!("{file}: good");
    println!("  {} would listen on {}, counter {:?}", config.name, config.listen, config.counter);
    println!("  {} servers, classes {:?}, plans {:?}", config.members.len(), names.classes, names.plans);
    if config.members.is_empty() {
        println!("  note: without servers every request is rejected");
    }
    Ok(())
}
