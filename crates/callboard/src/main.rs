//! The registry's program.

use callboard::council::Council;
use callboard::names::Names;
use callboard::outside::Outside;
use greenroom::follow::{ask, Heard, Knowledge, Place, Steady};
use greenroom::link::{self, Link};
use greenroom::log;
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
    let telling = known.clone();
    let handler: Rc<dyn Fn(u8, bytes::Bytes) -> link::Answering> = Rc::new(move |kind, body| {
        let known = telling.clone();
        Box::pin(async move {
            match kind {
                call::FOLLOW => known.answer_bytes(body).await,
                _ => Vec::new(),
            }
        })
    });
    tokio::task::spawn_local(link::serve(inner, handler));
    let mut peers = BTreeSet::new();
    follow_peers(&known, &settings, settings.seeds.iter().map(|s| *s.ip()), &mut peers);
    let names = Names::new(known.clone());
    tokio::task::spawn_local(look(known.clone(), names));

    // What is agreed.
    let voters = voters(&settings).await;
    let of_voters = voters.iter().filter_map(|v| match v.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    });
    follow_peers(&known, &settings, of_voters, &mut peers);
    let alone = voters.len() < 2;
    let links = voters.iter().map(|at| Link::new(*at)).collect();
    let council = Council::new(known.clone(), Rc::new(Caller::new(u64::from(u32::from(settings.ip)), links)));
    tokio::task::spawn_local(council.clone().keep_up());

    // Callers from outside.
    let zones = settings.zones.iter().map(|(zone, _)| zone.clone()).collect();
    let outside = Outside::new(known.clone(), council, alone, zones, settings.bounds.ttl_max_s);
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
                    let settings = told.settings();
                    follow_peers(&known, &settings, settings.seeds.iter().map(|s| *s.ip()), &mut peers);
                    log::info!("settings: taken again");
                }
            }
        }
    }
    outside.stop(Duration::from_millis(600)).await;
    log::info!("registry: {} has ended in order", settings.node);
    Ok(())
}

/// The store's voters, as soon as one of it names them.
async fn voters(settings: &Settings) -> Vec<SocketAddr> {
    let own = std::iter::once(settings.ip);
    let stores: Vec<SocketAddr> =
        own.chain(settings.seeds.iter().map(|s| *s.ip())).map(|ip| settings.inner_of(ip, STORE)).collect();
    let mut told = false;
    loop {
        if let Some(voters) = promptbook::caller::voters(&stores, WHO_WITHIN).await {
            return voters;
        }
        if !told {
            log::warn!("registry: no store names its voters yet");
            told = true;
        }
        tokio::time::sleep(AGAIN).await;
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
        if ask(&known, &link, &mut place, &name, true, HOLD, None).await == Heard::Nothing {
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
