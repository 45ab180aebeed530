//! The program `oatbank-config-store`: runs on every core machine and is a voter of the configuration store.

use oatbank_config_store::voter::{Voter, VoterOptions};
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::{
    self, listen, ProcessError, Program, ReloadableSettings, SignalEvent, Signals,
};
use oatbank_node_runtime::rpc;
use oatbank_node_runtime::settings::port_offset::STORE;
use oatbank_node_runtime::settings::Settings;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// Wait before another attempt to open the file at startup.
const DISK_RETRY: Duration = Duration::from_millis(250);
/// The longest delay of a planned shutdown for leaving the voters.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);

fn main() -> ExitCode {
    let about = "configuration store: keeps the value that a majority of the core machines agrees on";
    process::main(&Program { name: "oatbank-config-store", about }, serve)
}

fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| settings.rpc_address_of(*seed.ip(), STORE)).collect()
}

fn options(settings: &Settings) -> Result<VoterOptions, ProcessError> {
    let folder = settings.data_folder.as_ref();
    let folder = folder.ok_or(ProcessError::MissingSetting("dataFolder", "a folder"))?;
    Ok(VoterOptions {
        address: settings.rpc_address(STORE),
        seeds: seeds(settings),
        first_start: settings.first_start,
        folder: PathBuf::from(folder),
        tolerated_failures: settings.tolerated.machines as usize,
    })
}

/// Opens the voter's file, with retries for as long as the disk fails.
async fn start(options: VoterOptions) -> Rc<Voter> {
    let mut is_logged = false;
    loop {
        match Voter::start(options.clone()) {
            Ok(voter) => return voter,
            Err(error) => {
                if !is_logged {
                    log::error!("store: cannot start yet: {}", error);
                }
                is_logged = true;
                tokio::time::sleep(DISK_RETRY).await;
            }
        }
    }
}

/// A started voter and the handle of its maintenance task.
struct Started {
    voter: Rc<Voter>,
    maintenance: AbortHandle,
}

async fn serve(reloadable: Rc<ReloadableSettings>, mut signals: Signals) -> Result<(), ProcessError> {
    let settings = reloadable.settings();
    let options = options(&settings)?;
    let listener = listen(options.address)?;
    log::info!("store: {} listens at {}", settings.node_name, options.address);
    let started: Rc<RefCell<Option<Started>>> = Rc::default();
    tokio::task::spawn_local(run_voter(options, listener, started.clone()));
    // Of all settings, only changes of the seeds take effect while the program runs.
    while signals.next().await != SignalEvent::Shutdown {
        if reloadable.reload() {
            if let Some(Started { voter, .. }) = &*started.borrow() {
                voter.set_seeds(seeds(&reloadable.settings()));
            }
            log::info!("settings: reloaded");
        }
    }
    if let Some(Started { voter, maintenance }) = started.take() {
        maintenance.abort();
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, voter.leave()).await;
    }
    // Writes are synchronous on this thread, so none is in progress here.
    log::info!("store: {} has shut down", settings.node_name);
    std::process::exit(0)
}

/// Starts the voter and answers requests; never returns.
async fn run_voter(options: VoterOptions, listener: TcpListener, started: Rc<RefCell<Option<Started>>>) {
    let voter = start(options).await;
    tokio::task::spawn_local(voter.clone().run());
    let maintenance = tokio::task::spawn_local(voter.clone().maintain_voters()).abort_handle();
    *started.borrow_mut() = Some(Started { voter: voter.clone(), maintenance });
    rpc::serve(listener, voter.handler()).await;
}
