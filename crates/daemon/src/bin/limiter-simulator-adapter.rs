//! Runs the limiter core for the simulator: reads frames from standard input and writes replies to standard output.

use oatbank_limiter_core::wire::Host;
use std::io::{stdin, stdout, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match Host::default().run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("limiter-simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}
