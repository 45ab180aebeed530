//! What the log costs: CPU a request of the daemon at several levels and formats, in turn, in one run.
//!
//! `cargo build --release && cargo run --release -p oatbank-benches --bin logs [REQUESTS] [OTHER_BINARY]`
//!
//! With another build of the daemon, its `serve --config FILE` is measured beside the others.

use oatbank_benches::cpu;
use oatbank_testkit::{Client, Scratch, Server, Standalone};

const ROUNDS: usize = 5;

struct Variant {
    name: &'static str,
    program: String,
    further: &'static [&'static str],
    /// CPU a request in each round, us.
    rounds: Vec<f64>,
}

fn variant(name: &'static str, program: &str, further: &'static [&'static str]) -> Variant {
    Variant { name, program: program.to_owned(), further, rounds: Vec::new() }
}

fn round(variant: &Variant, file: &Scratch, requests: usize) -> f64 {
    let mut process = Standalone::serve_with(&variant.program, file, variant.further);
    process.drain_log();
    let mut client = Client::connect(process.address);
    let mut ask = |n: usize| (0..n).for_each(|_| assert_eq!(client.look_of_one().status(), 200));
    ask(requests / 10);
    let pid = process.child.id().to_string();
    let before = cpu(&pid);
    ask(requests);
    (cpu(&pid) - before).as_secs_f64() * 1e6 / requests as f64
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let requests = arguments.next().map_or(20_000, |n| n.parse().expect("a number of requests"));
    let server = Server::ok();
    let file = Scratch::new(&format!(
        "listen = \"127.0.0.1:0\"\n[[servers]]\nid = \"e\"\naddress = \"{}\"\n[[classes]]\nname = \"look\"\n\
         aim_ms = 1500\ndeadline_ms = 2000\nrepeat = \"safe\"\n[[plans]]\nname = \"team\"\n",
        server.address
    ));
    let here = "target/release/oatbank";
    let mut variants = vec![
        variant("level off", here, &["--log-level", "off"]),
        variant("level info", here, &[]),
        variant("level debug, text", here, &["--log-level", "debug"]),
        variant("level debug, json", here, &["--log-level", "debug", "--log-format", "json"]),
    ];
    variants.extend(arguments.next().map(|other| variant("the other build", &other, &[])));
    for _ in 0..ROUNDS {
        for v in &mut variants {
            let took = round(v, &file, requests);
            v.rounds.push(took);
        }
    }
    let median = |v: &Variant| {
        let mut rounds = v.rounds.clone();
        rounds.sort_by(f64::total_cmp);
        rounds[ROUNDS / 2]
    };
    let base = median(&variants[0]);
    for v in &variants {
        let (least, most) = v.rounds.iter().fold((f64::MAX, 0.0f64), |(a, b), r| (a.min(*r), b.max(*r)));
        let own = median(v);
        println!(
            "{:<20} {own:6.2} us CPU a request ({least:.2} to {most:.2}), {:.3} of off",
            v.name,
            own / base
        );
    }
}
