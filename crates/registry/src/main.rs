//! The program `oatbank-registry`, which runs on every core machine and answers servers, operators, and clients that look up
//! limiters.

use oatbank_cluster_state::admin_query::{Commands, TableFuture};
use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::outcome_service::{add_outcome_command, OutcomeService};
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::{
    self, listen, ProcessError, Program, ReloadableSettings, SignalEvent, Signals,
};
use oatbank_node_runtime::rpc;
use oatbank_node_runtime::settings::port_offset::REGISTRY;
use oatbank_registry::control_server::ControlServer;
use oatbank_registry::node::RegistryNode;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Longest time that open connections may delay a shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(600);

fn main() -> ExitCode {
    let about = "the registry of servers and limiters, and the external API of the core";
    process::main(&Program { name: "oatbank-registry", about }, serve)
}

async fn serve(settings: Rc<ReloadableSettings>, mut signals: Signals) -> Result<(), ProcessError> {
    let initial = settings.settings();
    let control = initial
        .listen_address("control")
        .ok_or(ProcessError::MissingSetting("listenOn.control", "an address with a port"))?;
    let node = RegistryNode::new(settings.clone(), MonotonicClock::start());

    let inner = listen(initial.rpc_address(REGISTRY))?;
    let commands = admin_commands(&node, &initial.node_name);
    tokio::task::spawn_local(rpc::serve(inner, node.handler(commands)));
    node.start_following();

    // External callers are served once the voters are known.
    let server = ControlServer::new(node.open_control_api().await);
    tokio::task::spawn_local(server.clone().serve(listen(control)?));
    if let Some(directory) = initial.listen_address("directory") {
        tokio::task::spawn_local(server.clone().serve(listen(directory)?));
    }
    log::info!("registry: {} answers at {}", initial.node_name, control);

    while signals.next().await != SignalEvent::Shutdown {
        if settings.reload() {
            log::info!("settings: reloaded");
        }
    }
    server.shut_down(SHUTDOWN_TIMEOUT).await;
    log::info!("registry: {} has shut down", initial.node_name);
    Ok(())
}

/// Returns the `oatbankctl` commands that this program answers.
fn admin_commands(node: &Rc<RegistryNode>, node_name: &str) -> Commands {
    let view = node.view();
    let mut commands = Commands::of(view, "oatbank-registry", node_name);
    add_outcome_command(&mut commands, &OutcomeService::new(view.clone(), node_name.to_owned(), None));
    let catalog = node.catalog().clone();
    oatbank_service_catalog::commands::add(
        &mut commands,
        Rc::new(move |show| {
            let latest = catalog.latest();
            show(&latest.current.catalog, latest.routes.as_deref());
        }),
    );
    let node = node.clone();
    let voters = Rc::new(move |_, _| -> TableFuture { Box::pin(node.clone().voters_table()) });
    commands.add_async("voters", "voters", 0, voters);
    commands
}
