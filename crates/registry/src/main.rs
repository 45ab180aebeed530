//! The registry's program.

use oatbank_cluster_state::admin_query::{add_outcome, Answering, Commands, Desk};
use oatbank_cluster_state::replication::Steady;
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::{self, listen, Program, Signals, Told, Word};
use oatbank_node_runtime::rpc;
use oatbank_node_runtime::settings::place::REGISTRY;
use oatbank_registry::node::Station;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

fn main() -> ExitCode {
    let about = "the registry of servers and limiters, and the outside calls of the core";
    process::main(&Program { name: "oatbank-registry", about }, serve)
}

async fn serve(told: Rc<Told>, mut signals: Signals) -> Result<(), String> {
    let settings = told.settings();
    let control = settings
        .listen_on("control")
        .ok_or("listenOn.control: is missing; allowed: an address with a port")?;
    let station = Station::new(told.clone(), Steady::start());

    // Other processes of the system.
    let inner = listen(settings.inner_address(REGISTRY))?;
    let known = station.known();
    let mut commands = Commands::of(known, "oatbank-registry", &settings.node);
    add_outcome(&mut commands, &Desk::new(known.clone(), settings.node.clone(), None));
    let asked = station.names().clone();
    oatbank_service_catalog::commands::add(
        &mut commands,
        Rc::new(move |show| {
            let named = asked.now();
            show(&named.names.catalogue, named.routes.as_deref());
        }),
    );
    let asked = station.clone();
    let voters = Rc::new(move |_, _| -> Answering { Box::pin(asked.clone().voters()) });
    commands.add_later("voters", "voters", 0, voters);
    tokio::task::spawn_local(rpc::serve(inner, station.handler(commands)));
    station.listens();

    // Callers from outside, once it is known who agrees.
    let outside = station.opens().await;
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
