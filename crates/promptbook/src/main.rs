//! The program `promptbook`: runs on every core machine and votes on the configuration.

use promptbook::link;
use promptbook::voter::{Terms, Voter};
use quick_error::quick_error;
use serde::Deserialize;
use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::prelude::*;
use spdlog::sink::StdStreamSink;
use spdlog::terminal_style::StyleMode;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

const HELP: &str = "promptbook: keeps the configuration, agreed on by a majority of the core machines

Usage: promptbook [--settings FILE]

  --settings FILE  the node's settings (default: the file named by OATBANK_SETTINGS)
  --help           this text
  --version        the version
";

/// The wait before the disk is tried again at the start.
const DISK_AGAIN: Duration = Duration::from_millis(250);

quick_error! {
    /// Why the program does not run.
    #[derive(Debug)]
    enum StartError {
        Usage(error: lexopt::Error) {
            from()
            display("{}", error)
        }
        NoSettings {
            display("neither --settings nor OATBANK_SETTINGS names a settings file")
        }
        Unreadable(path: PathBuf, error: std::io::Error) {
            source(error)
            display("cannot read {}: {}", path.display(), error)
        }
        Settings(path: PathBuf, what: String) {
            display("{}: {}", path.display(), what.trim_end())
        }
        Listen(address: SocketAddr, error: std::io::Error) {
            source(error)
            display("cannot listen on {}: {}", address, error)
        }
        System(error: std::io::Error) {
            from()
            source(error)
            display("{}", error)
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Settings {
    node_name: String,
    ip: IpAddr,
    inner_ports: Vec<u16>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    first_start: bool,
    data_folder: PathBuf,
}

impl Settings {
    fn read(path: &Path) -> Result<Settings, StartError> {
        let text =
            std::fs::read_to_string(path).map_err(|error| StartError::Unreadable(path.to_owned(), error))?;
        Settings::parse(&text).map_err(|what| StartError::Settings(path.to_owned(), what))
    }

    fn parse(text: &str) -> Result<Settings, String> {
        let settings: Settings = toml::from_str(text).map_err(|error| error.to_string())?;
        if settings.inner_ports.is_empty() {
            return Err("innerPorts names no port".into());
        }
        Ok(settings)
    }

    fn terms(self) -> Terms {
        let port = self.inner_ports[0];
        Terms {
            address: SocketAddr::new(self.ip, port),
            seeds: self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect(),
            first_start: self.first_start,
            folder: self.data_folder,
        }
    }
}

/// The settings file; `None` where all was said already.
fn arguments() -> Result<Option<PathBuf>, StartError> {
    use lexopt::prelude::*;
    let mut settings = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("help") | Short('h') => {
                print!("{HELP}");
                return Ok(None);
            }
            Long("version") | Short('V') => {
                println!("promptbook {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    settings
        .or_else(|| std::env::var_os("OATBANK_SETTINGS").map(PathBuf::from))
        .map(Some)
        .ok_or(StartError::NoSettings)
}

fn log_to_stderr() {
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never)
        .formatter(Box::new(PatternFormatter::new(pattern!("store: {payload}{eol}"))))
        .build();
    if let Ok(sink) = sink {
        if let Ok(logger) = spdlog::Logger::builder().sink(Arc::new(sink)).build() {
            spdlog::set_default_logger(Arc::new(logger));
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    };
    bound().map_err(|error| StartError::Listen(address, error))
}

/// Opens the disk, again and again if it refuses.
async fn start(terms: Terms) -> std::rc::Rc<Voter> {
    let mut said = false;
    loop {
        match Voter::start(terms.clone()) {
            Ok(voter) => return voter,
            Err(error) => {
                if !said {
                    error!("Cannot start yet: {error}.");
                }
                said = true;
                tokio::time::sleep(DISK_AGAIN).await;
            }
        }
    }
}

async fn run(settings: Settings) -> Result<(), StartError> {
    let mut end = signal(SignalKind::terminate())?;
    // Told to read its settings again it goes on: what it needs of them does not change in its life.
    let mut again = signal(SignalKind::hangup())?;
    tokio::task::spawn_local(async move { while again.recv().await.is_some() {} });
    let name = settings.node_name.clone();
    let terms = settings.terms();
    let listener = listen(terms.address)?;
    info!("{name} listens on {}.", terms.address);
    let serving = async {
        let voter = start(terms).await;
        tokio::task::spawn_local(voter.clone().vote());
        tokio::task::spawn_local(voter.clone().look());
        link::serve(listener, voter.handler()).await;
    };
    // Writes are made whole between two waits, so none is open here.
    tokio::select! {
        _ = end.recv() => info!("Ends on request."),
        () = serving => {}
    }
    Ok(())
}

fn main() -> ExitCode {
    log_to_stderr();
    let started = || -> Result<(), StartError> {
        let Some(path) = arguments()? else { return Ok(()) };
        let settings = Settings::read(&path)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, run(settings))
    };
    match started() {
        // At once, without taking the file apart: it is as whole as after any loss of power.
        Ok(()) => std::process::exit(0),
        Err(error) => {
            error!("{error}.");
            ExitCode::from(if matches!(error, StartError::Usage(_) | StartError::NoSettings) { 2 } else { 1 })
        }
    }
}
