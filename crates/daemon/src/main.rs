//! The limiter as a daemon: `oatbank` alone serves on the platform; see `oatbank --help` for the rest.

mod front;
mod logging;
mod platform;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    logging::start();
    let path = std::env::var("PROXY_CONFIG").unwrap_or_else(|_| "/run/balancer/config.json".into());
    match platform::run(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
