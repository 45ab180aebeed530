//! `oatbank members`: prints the list of servers as a limiter would have it.

use crate::serve::on_one_thread;
use oatbank_engine::config::{Config, ZooKeeper};
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::{Member, News, Told};
use oatbank_engine::supervise::keep_running;
use oatbank_zookeeper::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use topazwind::interface::{Millis, ServerState};

/// Without a list in this time the command gives up.
const PATIENCE: Duration = Duration::from_secs(10);

/// The source's parameters from a configuration.
pub fn source(folder: &ZooKeeper) -> oatbank_zookeeper::Config {
    let auth = folder.auth.as_ref().and_then(|a| a.split_once(':'));
    oatbank_zookeeper::Config {
        cluster: folder.zookeeper.clone(),
        path: folder.path.clone(),
        session_timeout: Duration::from_millis(folder.session_timeout_ms),
        auth: auth.map(|(scheme, credentials)| (scheme.to_owned(), credentials.as_bytes().to_vec())),
    }
}

/// Prints the list; with `follow`, what changes in it until the process is ended.
///
/// # Errors
/// When the configuration cannot be used, or no list comes.
pub fn run(path: &str, follow: bool) -> Result<(), String> {
    let config = Config::load(path, std::env::vars()).map_err(|e| e.lines(path).join("\n"))?;
    let Some(folder) = config.zookeeper else {
        config.members.iter().for_each(|m| println!("{}", line("file", m, None)));
        return Ok(());
    };
    on_one_thread(show(folder, follow))
}

async fn show(folder: ZooKeeper, follow: bool) -> Result<(), String> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::new());
    let source = source(&folder);
    let state = oatbank_zookeeper::state(&source);
    let (tell, mut heard) = unbounded_channel();
    // This command ends with its process, so somebody reads to the end.
    let told: Told = Rc::new(move |news| _ = tell.send(news));
    let (beside, there) = (clock.clone(), state.clone());
    keep_running("members", move || {
        oatbank_zookeeper::follow(source.clone(), beside.clone(), told.clone(), there.clone())
    });
    let first = tokio::time::timeout(PATIENCE, heard.recv()).await;
    first.map_err(|_| format!("{}: no list from {} in 10 s", folder.path, folder.zookeeper))?;
    print(&state, clock.now());
    if !follow {
        return Ok(());
    }
    while let Some(news) = heard.recv().await {
        let (kind, members) = match news {
            News::Complete(members) => ("all", members),
            News::Changes(members) | News::Remembered(members) => ("change", members),
        };
        members.iter().for_each(|m| println!("{kind:<8} {}", line("zookeeper", m, Some(clock.now()))));
    }
    Ok(())
}

fn print(state: &Shared, now: Millis) {
    let state = state.borrow();
    state.list().values().for_each(|m| println!("{}", line("zookeeper", m, Some(now))));
    for (node, reason) in state.left_out() {
        println!("{node:<24} left out: {reason}");
    }
    let age = state.current_at().map_or("never read whole".into(), |at| format!("{:.0} ms old", now - at));
    println!("{} members; the list is {age}", state.list().len());
}

fn line(source: &str, member: &Member, now: Option<Millis>) -> String {
    let state = match member.state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Gone => "gone",
    };
    let address = member.address.map_or("-".into(), |a| a.to_string());
    let up = now.filter(|_| member.started > 0.0).map(|now| (now - member.started) / 1000.0);
    let up = up.map_or("-".into(), |s| format!("{s:.0} s"));
    let zone = if member.zone.is_empty() { "-" } else { &member.zone };
    format!(
        "{:<24} {state:<9} {address:<22} zone {zone} weight {} up {up} from {source}",
        member.id, member.weight
    )
}
