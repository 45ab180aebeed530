//! `oatbank members`: prints the list of servers that a limiter would use.

use crate::feed::Feed;
use crate::serve::on_one_thread;
use oatbank_engine::config::{Config, FileServers, ZooKeeper};
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::{Member, MembershipSink, News};
use oatbank_engine::supervise::keep_running;
use oatbank_limiter_core::interface::{Millis, ServerState};
use oatbank_membership::damping;
use oatbank_membership::intake::{Intake, Standing};
use oatbank_zookeeper::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;

/// How long the command waits for a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the parameters of the ZooKeeper source.
pub fn source_config(folder: &ZooKeeper) -> oatbank_zookeeper::Config {
    oatbank_zookeeper::Config {
        cluster: folder.zookeeper.clone(),
        path: folder.path.clone(),
        session_timeout: Duration::from_millis(folder.session_timeout_ms),
        auth: credentials(folder.auth.as_deref()),
    }
}

/// Splits `SCHEME:CREDENTIALS` for the coordinator.
pub fn credentials(auth: Option<&str>) -> Option<(String, Vec<u8>)> {
    let (scheme, credentials) = auth?.split_once(':')?;
    Some((scheme.to_owned(), credentials.as_bytes().to_vec()))
}

/// Rank of the ZooKeeper source.
pub const ZOOKEEPER_RANK: usize = 0;
/// Rank of the configuration file as a source.
pub const FILE_RANK: usize = 1;

/// Creates the intake that merges the sources of a configuration into one list.
pub fn intake(config: &Config) -> Intake {
    let hold_down = config.zookeeper.as_ref().is_some_and(|z| z.hold_down);
    Intake::new(&["zookeeper", "file"], hold_down.then(damping::Settings::default))
}

/// Returns the update for the servers of the file. With a ZooKeeper folder and `UntilRead` they are used only until the
/// folder has been read.
pub fn file_news(config: &Config) -> News {
    let members = config.members.clone();
    match &config.zookeeper {
        Some(folder) if folder.servers == FileServers::UntilRead => News::Remembered(members),
        _ => News::Complete(members),
    }
}

/// Prints the list; with `follow`, also its changes until the process ends.
///
/// # Errors
/// If the configuration is invalid, or no list arrives within 10 s.
pub fn run(path: &str, follow: bool) -> Result<(), String> {
    let config = Config::load(path, std::env::vars()).map_err(|e| e.lines(path).join("\n"))?;
    on_one_thread(show(config, follow))
}

async fn show(config: Config, follow: bool) -> Result<(), String> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::new());
    let (tell, mut heard) = unbounded_channel();
    // The receiver lives as long as the process.
    let told: MembershipSink = Rc::new(move |news| _ = tell.send(news));
    let feed = Feed::start(intake(&config), told, clock.clone());
    feed.source(FILE_RANK)(file_news(&config));
    let mut tree = None;
    if let Some(folder) = &config.zookeeper {
        let source = source_config(folder);
        let state = oatbank_zookeeper::state(&source);
        let (beside, told, there) = (clock.clone(), feed.source(ZOOKEEPER_RANK), state.clone());
        keep_running("members", move || {
            oatbank_zookeeper::follow(source.clone(), beside.clone(), told.clone(), there.clone())
        });
        let read = async {
            while state.borrow().current_at().is_none() {
                if heard.recv().await.is_none() {
                    break;
                }
            }
        };
        let read = tokio::time::timeout(LIST_TIMEOUT, read).await;
        read.map_err(|_| format!("{}: no list from {} in 10 s", folder.path, folder.zookeeper))?;
        tree = Some(state);
    }
    print(&feed, tree.as_ref(), clock.now());
    while let Some(news) = if follow { heard.recv().await } else { None } {
        let (kind, members) = match news {
            News::Complete(members) => ("all", members),
            News::Changes(members) | News::Remembered(members) => ("change", members),
        };
        members.iter().for_each(|m| println!("{kind:<8} {}", line(m, clock.now())));
    }
    Ok(())
}

fn print(feed: &Feed, tree: Option<&Shared>, now: Millis) {
    let rows = feed.inspect(Intake::rows);
    for (row, standing) in &rows {
        let standing = match standing {
            Standing::Announced => String::new(),
            Standing::Shadowed => ", left out: a source of higher rank has its id or address".into(),
            Standing::HeldUntil(at) => {
                format!(", held back for {:.1} s: it comes and goes", (at - now) / 1000.0)
            }
        };
        println!("{} from {}{standing}", line(&row.member, now), row.source);
    }
    if let Some(state) = tree.map(|t| t.borrow()) {
        state.left_out().iter().for_each(|(node, reason)| println!("{node:<24} left out: {reason}"));
        let age =
            state.current_at().map_or("never read whole".into(), |at| format!("{:.0} ms old", now - at));
        println!(
            "{} members; the folder's list is {age}",
            rows.iter().filter(|r| r.1 == Standing::Announced).count()
        );
    }
}

fn line(member: &Member, now: Millis) -> String {
    let state = match member.state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Gone => "gone",
    };
    let address = member.address.map_or("-".into(), |a| a.to_string());
    let up = Some(member.started).filter(|started| *started > 0.0).map(|started| (now - started) / 1000.0);
    let up = up.map_or("-".into(), |s| format!("{s:.0} s"));
    let zone = if member.zone.is_empty() { "-" } else { &member.zone };
    format!("{:<24} {state:<9} {address:<22} zone {zone} weight {} up {up}", member.id, member.weight)
}
