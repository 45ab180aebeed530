//! Serves the decision module on the bench's wire: frames on standard input, replies on standard output.

use std::io::{stdin, stdout, BufWriter};
use std::process::ExitCode;
use topazwind::wire::Host;

fn main() -> ExitCode {
    match Host::default().run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("topazwind-wirehost: {e}");
            ExitCode::FAILURE
        }
    }
}
