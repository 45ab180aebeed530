//! Stand-ins for clients, servers and the operator, and the cases of the review. `review-standin CASE FOLDER`, at the
//! project's root. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod bed;
mod cases;
mod cluster;
mod http;
mod record;
mod server;

use std::path::PathBuf;
use std::sync::Mutex;

/// The temporary folder of the case.
pub static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends the case, which could not run. The programs that it has started end with it.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    if let Some(folder) = &*FOLDER.lock().unwrap() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(2)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else { cannot_run("usage: review-standin CASE FOLDER") };
    cases::run(case, folder)
}
