//! The registry's program.

use callboard::council::Council;
use callboard::names::Names;
use callboard::outside::Outside;
use greenroom::follow::{ask, Asking, Heard, Knowledge, Place, Steady};
use greenroom::link::{self, Link};
use greenroom::log;
use greenroom::query::{add_outcome, Commands, Desk};
use greenroom::run::{self, listen, Program, Signals, Told, Word};
use greenroom::settings::place::{REGISTRY, STORE};
use greenroom::settings::Settings;
use greenroom::wire::call;
use promptbook::caller::Caller;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Between two looks for silence, and what a look may be late for this process to have been awake.
const LOOK: Duration = Duration::from_millis(200);
const AWAKE: f64 = 800.0;
/// Who judges others has listened for so long, ms.
const LISTENED: f64 = 6500.0;
/// A peer is asked again so soon after a failure.
const AGAIN: Duration = Duration::from_millis(100);
/// The stores are asked for their voters within this.
const WHO_WITHIN: Duration = Duration::from_millis(800);
/// Between two looks at who votes.
const VOTERS_EVERY: Duration = Duration::from_millis(500);
/// What a peer's answer may be held.
const HOLD: u32 = 300;

fn main() -> ExitCode {
    let about = "the registry of servers and limiters, and the outside calls of the core";
    run::main(&Program { name: "callboard", about }, serve)
}

async fn serve(told: Rc<Told>, mut signals: Signals) -> Result<(), String> {
    let settings = told.settings();
    let control = settings
        .listen_on("control")
        .ok_or("listenOn.control: is missing; allowed: an address with a port")?;
    let known = Knowledge::new(Steady::start(), settings.beat_every);

    // Other processes of the system.
    let inner = listen(settings.inner_address(REGISTRY))?;
    let mut commands = Commands::of(&known, "callboard", &settings.node);
    add_outcome(&mut commands, &Desk::new(known.clone(), settings.node.clone(), None));
    let names = Names::new(known.clone());
    let asked = names.clone();
    dramatis::shell::add(
        &mut commands,
        Rc::new(move |show| {
            let named = asked.now();
            show(&named.names.catalogue, named.routes.as_deref());
        }),
    );
    let commands = Rc::new(commands);
    let telling = known.clone();
    let handler: Rc<dyn Fn(u8, bytes::Bytes) -> link::Answering> = Rc::new(move |kind, body| {
        let (known, commands) = (telling.clone(), commands.clone());
        Box::pin(async move {
            match kind {
                call::FOLLOW => known.answer_bytes(body).await,
                call::QUERY => commands.answer_bytes(body).await,
                _ => Vec::new(),
            }
        })
    });
    tokio::task::spawn_local(link::serve(inner, handler));
    let mut peers = BTreeSet::new();
    follow_peers(&known, &settings, settings.seeds.iter().map(|s| *s.ip()), &mut peers);
    tokio::task::spawn_local(look(known.clone(), names));

    // What is agreed.
    let caller = Rc::new(Caller::new(u64::from(u32::from(settings.ip))));
    find_voters(&caller, &settings).await;
    let council = Council::new(known.clone(), caller.clone());
    tokio::task::spawn_local(council.clone().keep_up());
    tokio::task::spawn_local(follow_voters(known.clone(), caller, told.clone(), peers));

    // Callers from outside.
    let zones = settings.zones.iter().map(|(zone, _)| zone.clone()).collect();
    let outside = Outside::new(known.clone(), council, zones, settings.bounds.ttl_max_s);
    tokio::task::spawn_local(outside.clone().serve(listen(control)?));
    if let Some(directory) = settings.listen_on("directory") {
        tokio::task::spawn_local(outside.clone().serve(listen(directory)?));
    }
    log::info!("registry: {} answers at {}", settings.node, control);

    loop {
        match signals.next().await {
            Word::End => break,
            Word::Settings => {
                if told.reread() {
                    log::info!("settings: taken again");
                }
            }
        }
    }
    outside.stop(Duration::from_millis(600)).await;
    log::info!("registry: {} has ended in order", settings.node);
    Ok(())
}

/// The stores to ask who votes.
fn stores(settings: &Settings) -> Vec<SocketAddr> {
    let own = std::iter::once(settings.ip);
    own.chain(settings.seeds.iter().map(|s| *s.ip())).map(|ip| settings.inner_of(ip, STORE)).collect()
}

/// Waits until a store names the voters.
async fn find_voters(caller: &Caller, settings: &Settings) {
    let mut told = false;
    while caller.voters().is_empty() {
        caller.look(&stores(settings), WHO_WITHIN).await;
        if !caller.voters().is_empty() {
            return;
        }
        if !told {
            log::warn!("registry: no store names its voters yet");
            told = true;
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Follows all core machines that are seeds or vote, as they come. The voters known here change with what is agreed;
/// where none of them answers any more, the seeds of the moment are asked.
async fn follow_voters(
    known: Rc<Knowledge>,
    caller: Rc<Caller>,
    told: Rc<Told>,
    mut peers: BTreeSet<Ipv4Addr>,
) {
    loop {
        let settings = told.settings();
        if !known.in_touch() {
            caller.look(&stores(&settings), WHO_WITHIN).await;
        }
        let voters = caller.voters().into_iter().filter_map(|voter| match voter.ip() {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        });
        let voters: Vec<Ipv4Addr> = voters.collect();
        follow_peers(
            &known,
            &settings,
            settings.seeds.iter().map(|s| *s.ip()).chain(voters.clone()),
            &mut peers,
        );
        let cast = caller.cast();
        if !cast.is_changing() {
            known.set_core(1 + cast.made.round, voters.into_iter());
        }
        tokio::time::sleep(VOTERS_EVERY).await;
    }
}

/// Follows the other core machines that are not followed yet.
fn follow_peers(
    known: &Rc<Knowledge>,
    settings: &Settings,
    ips: impl Iterator<Item = Ipv4Addr>,
    peers: &mut BTreeSet<Ipv4Addr>,
) {
    for ip in ips.filter(|ip| *ip != settings.ip) {
        if peers.insert(ip) {
            let link = Link::new(settings.inner_of(ip, REGISTRY));
            tokio::task::spawn_local(follow(known.clone(), link, settings.node.clone()));
        }
    }
}

async fn follow(known: Rc<Knowledge>, link: Rc<Link>, name: String) {
    let mut place = Place::default();
    loop {
        let asking = Asking { name: name.clone(), each: true, hold: HOLD, ..Asking::default() };
        if ask(&known, &link, &mut place, asking).await == Heard::Nothing {
            tokio::time::sleep(AGAIN).await;
        }
    }
}

/// Looks for silence. Who stood still, has just begun, or was not in touch with a majority has heard nothing, and says
/// nothing of others until it has listened for longer than a silence takes.
async fn look(known: Rc<Knowledge>, names: Rc<Names>) {
    let mut last = known.now();
    let mut awake_since = last;
    loop {
        tokio::time::sleep(LOOK).await;
        let now = known.now();
        if now - last > AWAKE {
            log::warn!("registry: stood still for {} ms", (now - last) as u64);
            awake_since = now;
        }
        last = now;
        if !known.in_touch() {
            awake_since = now;
        }
        let may_judge = now - awake_since > LISTENED && known.with(|book, now| book.is_warm(now));
        known.change(|book, now| book.look(now, may_judge));
        names.look();
    }
}
