//! The proxy's program.

use oatbank_cluster_state::admin_query::{add_outcome, Commands, Desk};
use oatbank_cluster_state::messages::call;
use oatbank_cluster_state::replication::{Knowledge, Steady};
use oatbank_cluster_state::state::member_state;
use oatbank_engine::front::{Front, FrontLimits};
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::{self, listen, Program, Signals, Told, Word};
use oatbank_node_runtime::rpc;
use oatbank_node_runtime::settings::place::PROXY;
use oatbank_proxy::quota_counter::Counter;
use oatbank_proxy::readiness;
use oatbank_proxy::request_handler::{budget, House, HouseDesk};
use oatbank_proxy::session::{Links, Session};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often it is looked at whether clients may be served, and what changes by time alone.
const LOOK: Duration = Duration::from_millis(50);
const REFRESH: Duration = Duration::from_millis(500);
/// After SIGTERM clients that still hold an old answer of the directory are taken for this share of the time there is.
const TAKING: f64 = 0.5;
/// What is left of that time for the last bytes.
const LAST: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let about = "the proxy: takes clients' requests to the servers";
    process::main(&Program { name: "oatbank-proxy", about }, serve)
}

async fn serve(told: Rc<Told>, mut signals: Signals) -> Result<(), String> {
    let node = told.settings();
    let missing = |key: &str| format!("listenOn.{key}: is missing; allowed: an address with a port");
    let front_at = node.listen_on("front").ok_or_else(|| missing("front"))?;
    let known = Knowledge::new(Steady::start(), node.beat_every);
    let links = Rc::new(Links::default());
    let seed = oatbank_node_runtime::random::chance();
    let counter = Counter::new(known.clone(), links.clone(), node.node.clone(), seed);
    let house = House::new(known.clone(), told.clone(), counter.clone());

    // Other processes of the system.
    let desk = Desk::new(known.clone(), node.node.clone(), Some(house.outcomes()));
    let mut commands = Commands::of(&known, "oatbank-proxy", &node.node);
    add_outcome(&mut commands, &desk);
    let guarding = house.clone();
    commands.add("guard", "guard", 0, move |_| guarding.guard());
    let judging = house.clone();
    commands.add("verdicts", "verdicts", 0, move |_| judging.verdicts());
    let named = house.clone();
    oatbank_service_catalog::commands::add(&mut commands, Rc::new(move |show| named.show_names(show)));
    let commands = Rc::new(commands);
    let (telling, counting) = (known.clone(), counter.clone());
    let handler: Rc<dyn Fn(u8, bytes::Bytes) -> rpc::Answering> = Rc::new(move |kind, body| {
        let (known, counter) = (telling.clone(), counting.clone());
        let (commands, desk) = (commands.clone(), desk.clone());
        Box::pin(async move {
            match kind {
                call::FOLLOW => known.answer_bytes(body).await,
                call::COUNT => counter.answer(body),
                call::QUERY => commands.answer_bytes(body).await,
                call::OUTCOME => desk.answer_bytes(body),
                _ => Vec::new(),
            }
        })
    });
    tokio::task::spawn_local(rpc::serve(listen(node.inner_address(PROXY))?, handler));
    let session = Session::new(known.clone(), told.clone(), links);
    tokio::task::spawn_local(session.clone().hold());
    session.follow_few();
    tokio::task::spawn_local(counter.run());

    // What changes is taken in at once; what changes by time alone, a little later.
    let refreshing = house.clone();
    known.on_change(Rc::new(move || refreshing.refresh()));
    let refreshing = house.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(REFRESH).await;
            refreshing.refresh();
        }
    });

    // Clients.
    let limits = FrontLimits { whole_within: 3500.0, keep_idle: 15_000.0, ..FrontLimits::default() };
    let front = Front::new(HouseDesk(house.clone()), budget(&node), limits);
    let listener = Rc::new(listen(front_at)?);
    let accepting = tokio::task::spawn_local(front.clone().accept(listener));
    tokio::task::spawn_local(front.clone().look_round());
    if let Some(at) = node.listen_on("ready") {
        let (house, session) = (house.clone(), session.clone());
        let says = Rc::new(move || house.is_ready() && !session.is_leaving());
        tokio::task::spawn_local(readiness::serve(listen(at)?, says));
    }
    let (looking, telling) = (house.clone(), session.clone());
    tokio::task::spawn_local(async move {
        loop {
            let state = if looking.is_ready() { member_state::READY } else { member_state::STARTING };
            telling.turn(state);
            telling.notice(looking.watch(telling.life()));
            tokio::time::sleep(LOOK).await;
        }
    });
    log::info!("proxy: {} listens at {}", node.node, front_at);

    loop {
        match signals.next().await {
            Word::End => break,
            Word::Settings => {
                if told.reread() {
                    house.refresh();
                    log::info!("settings: taken again");
                }
            }
        }
    }
    let begun = Instant::now();
    let grace = Duration::from_secs_f64(told.settings().bounds.grace_s);
    log::info!("proxy: {} leaves, {} connections, {} owed", node.node, front.open(), house.owed());
    session.turn(member_state::LEAVING);
    front.stop();
    tokio::time::sleep(grace.mul_f64(TAKING)).await;
    accepting.abort();
    front.close_idle();
    let end = begun + grace.saturating_sub(LAST);
    // What a server is at work on runs on, whether or not its client still waits.
    while (front.open() > 0 || house.out_once() > 0) && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(20)).await;
        front.close_idle();
    }
    log::info!("proxy: {} has ended, {} connections left", node.node, front.open());
    Ok(())
}
