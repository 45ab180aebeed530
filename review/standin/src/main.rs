//! Stand-ins for clients, servers and the operator, and the cases of the review. `review-standin CASE FOLDER`, at the
//! project's root. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod bed;
mod cases;
mod cluster;
mod http;
mod record;
mod server;

pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else { cannot_run("usage: review-standin CASE FOLDER") };
    cases::run(case, folder)
}
