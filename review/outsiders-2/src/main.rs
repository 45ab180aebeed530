//! Plays one case of the second review: starts a small deployment of the project's own programs as processes on loopback
//! addresses, and clients, servers and an operator that keep to the users' pages.
//!
//! `outsiders-2 CASE RECORD`, started in the project's root. With `TROUBLE=0` in the environment the disruption is left
//! out. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod clients;
mod deployment;
mod http;
mod record;
mod servers;

use record::Record;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// The time after which a case gives up and its processes are ended.
const LONGEST: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: outsiders-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    deployment::end_all_after(LONGEST, record.clone());
    let result = cases::play(case, trouble, &record);
    deployment::end_all();
    match result {
        Ok(broken) => {
            record.line(if broken { "RULE BROKEN" } else { "the rule held" });
            println!("{}", if broken { "rule broken" } else { "rule held" });
            ExitCode::from(u8::from(broken))
        }
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            eprintln!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}
