//! What each role costs as one quantity grows with the others held: see `docs/CAPACITY.md`.
//!
//! `cargo build --profile system --workspace && cargo run --profile system -p oatbank-benches --bin scale -- followers`

use oatbank_benches::scale::sweep::{sweep, Load, Quantity, ALL};
use oatbank_benches::scale::{bad_day, decisions, hollow, page};
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "scale: what each role costs as one quantity grows with the others held

Usage: scale QUANTITY... [--sizes N,N,...] [--span S] [--HELD N]...
       scale all
       scale bad-day [--sizes N,N,...] [--HELD N]...
       scale decisions [NAME]...
       scale worked-out

worked-out: the rows of docs/CAPACITY.md that measured slopes come to at the next size
bad-day: so many followers all come back at once, and all core machines restart under them
QUANTITY: followers, servers, beats, churn, notices, services, routes, tenants, changes, cores
  --sizes N,N,...  in place of the usual ones
  --span S         measures for so long at each size (10)
  --patience S     followers know all there is within this (30), else the size ends the sweep
  --HELD N         what is held while another grows: --cores (3), --proxies (2), --followers (40), --servers (300),
                   --beats (200 a second, all servers together), --churn (0.3 a second), --notices (0 a second),
                   --routes (1000), --tenants (1000), --services (100), --changes (0.5 a second)
  --deaf N         so many followers take in nothing: the command must fail

Ends with 0 if each quantity was measured at its first size at least.
";

struct Asked {
    quantities: Vec<(Quantity, &'static str, Vec<f64>)>,
    /// Followers for bad days.
    bad_days: Vec<usize>,
    load: Load,
}

fn asked() -> Result<Option<Asked>, lexopt::Error> {
    use lexopt::prelude::*;
    let (mut load, mut quantities, mut sizes, mut bad) = (Load::default(), Vec::new(), None, false);
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("sizes") => {
                let text = parser.value()?.string()?;
                let read = text.split(',').map(str::parse).collect::<Result<Vec<f64>, _>>();
                sizes = Some(read.map_err(|e| format!("--sizes {text}: {e}; allowed: numbers with commas"))?);
            }
            Long("span") => load.span = Duration::from_secs_f64(parser.value()?.parse()?),
            Long("patience") => load.patience = Duration::from_secs_f64(parser.value()?.parse()?),
            Long("cores") => load.cores = parser.value()?.parse()?,
            Long("proxies") => load.proxies = parser.value()?.parse()?,
            Long("followers") => load.followers = parser.value()?.parse()?,
            Long("deaf") => load.deaf = parser.value()?.parse()?,
            Long("servers") => load.servers = parser.value()?.parse()?,
            Long("beats") => load.beats = parser.value()?.parse()?,
            Long("churn") => load.churn = parser.value()?.parse()?,
            Long("notices") => load.observations = parser.value()?.parse()?,
            Long("routes") => load.size.routes = parser.value()?.parse()?,
            Long("tenants") => load.size.tenants = parser.value()?.parse()?,
            Long("services") => load.size.services = parser.value()?.parse()?,
            Long("changes") => load.changes = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(None),
            Value(word) if word == "bad-day" => bad = true,
            Value(word) if word == "all" => quantities.extend(ALL),
            Value(word) => match ALL.iter().find(|(_, name, _)| word == *name) {
                Some(quantity) => quantities.push(*quantity),
                None => return Err(format!("{word:?}; allowed: {}", ALL.map(|q| q.1).join(", ")).into()),
            },
            other => return Err(other.unexpected()),
        }
    }
    let sized = |(quantity, name, usual): (Quantity, &'static str, &[f64])| {
        (quantity, name, sizes.clone().unwrap_or_else(|| usual.to_vec()))
    };
    let quantities: Vec<_> = quantities.into_iter().map(sized).collect();
    if quantities.is_empty() && !bad {
        return Ok(None);
    }
    let usual = || vec![60.0, 125.0, 250.0, 500.0];
    let bad_days = if bad { sizes.unwrap_or_else(usual) } else { Vec::new() };
    let bad_days = bad_days.into_iter().map(|size| size as usize).collect();
    Ok(Some(Asked { quantities, bad_days, load }))
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.first().map(String::as_str) {
        Some("hollow") => {
            let Some(cast) = hollow::Cast::read(&words[1..]) else { return ExitCode::FAILURE };
            hollow::run(cast);
            return ExitCode::SUCCESS;
        }
        Some("decisions") => {
            return if decisions::all(&words[1..]) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Some("worked-out") => {
            print!("{}", page::show(&page::next()));
            return ExitCode::SUCCESS;
        }
        Some("decision") => {
            return if decisions::one(&words[1..]) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        _ => {}
    }
    let asked = match asked() {
        Ok(Some(asked)) => asked,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("scale: {e}; see scale --help");
            return ExitCode::FAILURE;
        }
    };
    let mut good = asked.bad_days.is_empty()
        || bad_day::all(&asked.bad_days, &asked.load, &mut |line| println!("{line}"));
    for (quantity, name, sizes) in &asked.quantities {
        good &= sweep(*quantity, name, sizes, &asked.load, &mut |line| println!("{line}"));
    }
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
