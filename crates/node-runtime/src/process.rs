//! Command line, settings, signals and the one thread of a program.

use crate::log;
use crate::settings::{Settings, VARIABLE};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a program is and says of itself.
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// One line on what it does.
    pub about: &'static str,
}

/// What was asked for on the command line.
struct Asked {
    path: Option<String>,
    level: String,
    check: bool,
}

fn help(program: &Program) -> String {
    format!(
        "{name} {version}: {about}\n\n\
         Usage: {name} [--settings FILE] [--log-level LEVEL] [--check]\n\n\
         \x20 --settings FILE    settings (TOML); without it the file that {VARIABLE} names\n\
         \x20 --log-level LEVEL  error, warn, info (as it is), debug, off\n\
         \x20 --check            tells all that is wrong in the settings, and ends\n\
         \x20 --help, --version\n\n\
         Example: {VARIABLE}=node.toml {name} --log-level warn\n",
        name = program.name,
        version = env!("CARGO_PKG_VERSION"),
        about = program.about,
    )
}

fn asked(program: &Program) -> Result<Option<Asked>, String> {
    use lexopt::prelude::*;
    let mut asked = Asked { path: std::env::var(VARIABLE).ok(), level: "info".into(), check: false };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Long("settings") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                asked.path = Some(value.string().map_err(|e| e.to_string())?);
            }
            Long("log-level") => {
                let value = parser.value().map_err(|e| e.to_string())?;
                asked.level = value.string().map_err(|e| e.to_string())?;
            }
            Long("check") => asked.check = true,
            Short('h') | Long("help") => {
                print!("{}", help(program));
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("{} {}", program.name, env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(format!("{}; see {} --help", other.unexpected(), program.name)),
        }
    }
    Ok(Some(asked))
}

/// Reads a settings file; the error tells all that is wrong in it.
///
/// # Errors
/// When it cannot be read or something in it is wrong.
pub fn load(path: &str) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    Settings::parse(&text)
        .map_err(|mistakes| mistakes.iter().map(|m| format!("{path}: {m}")).collect::<Vec<_>>().join("\n"))
}

/// The settings of the moment, and word of new ones.
pub struct Told {
    path: String,
    settings: RefCell<Settings>,
}

impl Told {
    /// These settings, as they stand in the file at `path`.
    pub fn new(path: String, settings: Settings) -> Self {
        Told { path, settings: RefCell::new(settings) }
    }

    /// Takes these settings instead.
    pub fn take(&self, settings: Settings) {
        *self.settings.borrow_mut() = settings;
    }

    /// The settings.
    pub fn settings(&self) -> Settings {
        self.settings.borrow().clone()
    }

    /// Reads the file again; whether anything in it is new. What cannot be read leaves the old settings in force.
    pub fn reread(&self) -> bool {
        match load(&self.path) {
            Ok(settings) => {
                let new = settings != *self.settings.borrow();
                *self.settings.borrow_mut() = settings;
                new
            }
            Err(e) => {
                log::warn!("settings: not taken, the old ones hold: {}", e);
                false
            }
        }
    }
}

/// Runs a program: reads the command line and the settings, and hands both to `serve` on one thread.
pub fn main<F: Future<Output = Result<(), String>>>(
    program: &Program,
    serve: impl FnOnce(std::rc::Rc<Told>, Signals) -> F,
) -> ExitCode {
    match try_main(program, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}: {e}", program.name);
            ExitCode::FAILURE
        }
    }
}

fn try_main<F: Future<Output = Result<(), String>>>(
    program: &Program,
    serve: impl FnOnce(std::rc::Rc<Told>, Signals) -> F,
) -> Result<(), String> {
    let Some(asked) = asked(program)? else { return Ok(()) };
    let path = asked.path.ok_or_else(|| format!("no settings: give --settings FILE or set {VARIABLE}"))?;
    let settings = load(&path)?;
    if asked.check {
        println!("{path}: in order");
        return Ok(());
    }
    log::start(&asked.level)?;
    let told = std::rc::Rc::new(Told::new(path, settings));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async move {
        let signals = Signals::new().map_err(|e| e.to_string())?;
        serve(told, signals).await
    })
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Listens at once also where the process before left connections behind.
///
/// # Errors
/// When the address cannot be had; the text names it.
pub fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let bound = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bound().map_err(|e: std::io::Error| format!("{address}: {e}"))
}

/// What the platform tells a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// End in order.
    End,
    /// The settings may be new.
    Settings,
}

/// How often the settings are looked at without a signal.
const LOOK: Duration = Duration::from_millis(2000);

/// The signals.
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next word; the settings are looked at every two seconds besides, as they may change untold.
    pub async fn next(&mut self) -> Word {
        tokio::select! {
            _ = self.term.recv() => Word::End,
            _ = self.int.recv() => Word::End,
            _ = self.hup.recv() => Word::Settings,
            () = tokio::time::sleep(LOOK) => Word::Settings,
        }
    }
}
