//! The program `oatbank-config-store`: runs on every core machine and votes on what is agreed.

use oatbank_config_store::voter::{Terms, Voter};
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::{self, listen, Program, Signals, Told, Word};
use oatbank_node_runtime::rpc;
use oatbank_node_runtime::settings::place::STORE;
use oatbank_node_runtime::settings::Settings;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// The wait before the disk is tried again at the start.
const DISK_AGAIN: Duration = Duration::from_millis(250);
/// It ends within this once it is told to.
const LEAVING: Duration = Duration::from_millis(1500);

fn main() -> ExitCode {
    let about = "the store of configuration: keeps what a majority of the core machines agrees on";
    process::main(&Program { name: "oatbank-config-store", about }, serve)
}

fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    settings.seeds.iter().map(|seed| settings.inner_of(*seed.ip(), STORE)).collect()
}

fn terms(settings: &Settings) -> Result<Terms, String> {
    let folder = settings.data.as_ref().ok_or("dataFolder: is missing; allowed: a folder")?;
    Ok(Terms {
        address: settings.inner_address(STORE),
        seeds: seeds(settings),
        first_start: settings.first_start,
        folder: PathBuf::from(folder),
        tolerates: settings.tolerate.0 as usize,
    })
}

/// Opens the disk, again and again if it refuses.
async fn start(terms: Terms) -> Rc<Voter> {
    let mut said = false;
    loop {
        match Voter::start(terms.clone()) {
            Ok(voter) => return voter,
            Err(error) => {
                if !said {
                    log::error!("store: cannot start yet: {}", error);
                }
                said = true;
                tokio::time::sleep(DISK_AGAIN).await;
            }
        }
    }
}

/// A voter, and its watch over the others.
type Started = (Rc<Voter>, AbortHandle);

async fn serve(told: Rc<Told>, mut signals: Signals) -> Result<(), String> {
    let settings = told.settings();
    let terms = terms(&settings)?;
    let listener = listen(terms.address)?;
    log::info!("store: {} listens at {}", settings.node, terms.address);
    let shared: Rc<RefCell<Option<Started>>> = Rc::default();
    let started = shared.clone();
    tokio::task::spawn_local(async move {
        let voter = start(terms).await;
        tokio::task::spawn_local(voter.clone().vote());
        let look = tokio::task::spawn_local(voter.clone().look());
        *started.borrow_mut() = Some((voter.clone(), look.abort_handle()));
        rpc::serve(listener, voter.handler()).await;
    });
    // Of its settings only the seeds may change in its life.
    while signals.next().await != Word::End {
        if told.reread() {
            if let Some((voter, _)) = &*shared.borrow() {
                voter.seeds(seeds(&told.settings()));
            }
            log::info!("settings: taken again");
        }
    }
    let started = shared.take();
    if let Some((voter, look)) = started {
        look.abort();
        let _ = tokio::time::timeout(LEAVING, voter.leave()).await;
    }
    // Writes are made whole between two waits, so none is open here: it is as whole as after any loss of power.
    log::info!("store: {} has ended in order", settings.node);
    std::process::exit(0)
}
