//! The limiter as a daemon: `oatbank` alone serves on the platform; see `oatbank --help` for the rest.

mod demo;
mod front;
mod logging;
mod members;
mod platform;
mod serve;
mod standalone;

use clap::{Parser, Subcommand};
use oatbank_engine::config::Config;
use std::process::ExitCode;

/// A rate limiter: quotas over many gateways, choice of server, retries, one answer to every request.
///
/// Without a command it serves on the platform, by the file that PROXY_CONFIG names.
#[derive(Parser)]
#[command(name = "oatbank", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve without a platform, from a configuration file.
    Serve {
        /// The file (TOML).
        #[arg(long)]
        config: String,
    },
    /// Check a configuration file and tell what it says.
    Check {
        /// The file (TOML).
        file: String,
    },
    /// Print the list of servers as a limiter would have it.
    Members {
        /// The file (TOML).
        #[arg(long)]
        config: String,
        /// Go on, and print what changes.
        #[arg(long)]
        follow: bool,
    },
    /// Start engines and a limiter on loopback, let some fail, and print what happens.
    Demo,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        None => platform(),
        Some(Command::Serve { config }) => {
            logging::start();
            standalone::run(config)
        }
        Some(Command::Check { file }) => check(&file),
        Some(Command::Members { config, follow }) => members::run(&config, follow),
        Some(Command::Demo) => demo::run(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            // Commands that keep no log have no other place for it.
            log::error!("{e}");
            if log::max_level() == log::LevelFilter::Off {
                eprintln!("oatbank: {e}");
            }
            ExitCode::FAILURE
        }
    }
}

fn platform() -> Result<(), String> {
    logging::start();
    platform::run(std::env::var("PROXY_CONFIG").unwrap_or_else(|_| "/run/balancer/config.json".into()))
}

fn check(file: &str) -> Result<(), String> {
    let config = Config::load(file).map_err(|e| format!("{file}: {e}"))?;
    let names = &config.setup.names;
    println!("{file}: good");
    println!("  {} would listen on {}, counter {:?}", config.name, config.listen, config.counter);
    println!("  {} servers, classes {:?}, plans {:?}", config.members.len(), names.classes, names.plans);
    if config.members.is_empty() {
        println!("  note: without servers every request is refused");
    }
    Ok(())
}
