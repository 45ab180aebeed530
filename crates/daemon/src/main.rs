//! The limiter as a daemon: `oatbank` alone serves on the platform; see `oatbank --help` for the rest.

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

/// A rate limiter: quotas over many gateways, choice of server, retries, one answer to every request.
///
/// Without a command it serves on the platform, by the file that PROXY_CONFIG names.
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
    /// Serve without a platform, from a configuration file.
    #[command(after_help = "Example:\n  oatbank serve --config deploy/standalone.toml --log-format json \
        --log-level info,oatbank_zookeeper=debug")]
    Serve {
        /// The file (TOML). Variables as OATBANK__LIMITS__SOCKETS=512 override its keys.
        #[arg(long)]
        config: String,
        #[command(flatten)]
        log: LogArguments,
    },
    /// Check a configuration file: tell what it says, or all that is wrong in it.
    #[command(after_help = "Example:\n  oatbank check deploy/standalone.toml")]
    Check {
        /// The file (TOML).
        file: String,
    },
    /// What there is to know of configurations.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Print the list of servers as a limiter would have it.
    #[command(after_help = "Example:\n  oatbank members --config deploy/standalone.toml")]
    Members {
        /// The file (TOML).
        #[arg(long)]
        config: String,
        /// Go on, and print what changes.
        #[arg(long)]
        follow: bool,
    },
    /// The rules that all limiters of a fleet act by: look at them and change them.
    #[command(subcommand)]
    Fleet(fleet::command::FleetCommand),
    /// Zones that the fleet leaves and comes back to: look at them, order what is to be.
    #[command(subcommand)]
    Zone(fleet::zone_command::ZoneCommand),
    /// Start engines and a limiter on loopback, let some fail, and print what happens.
    #[command(after_help = "Example:\n  oatbank demo")]
    Demo,
    /// Print a shell's completions for this program.
    #[command(after_help = "Example:\n  oatbank completions bash > /etc/bash_completion.d/oatbank")]
    Completions {
        /// The shell.
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
    /// What a line of the log looks like.
    #[arg(long, value_enum, default_value = "text")]
    log_format: logging::Format,
    /// The least level that is logged: off, error, warn, info, debug, trace; also by module, behind commas.
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
        // Commands that keep no log have no other place for it.
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
        println!("  note: without servers every request is refused");
    }
    Ok(())
}
