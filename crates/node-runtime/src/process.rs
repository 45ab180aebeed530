//! The life cycle of a program: command line, settings file, signals, and the one thread that all else runs on.

use crate::log::{self, LogError};
use crate::settings::{Settings, SettingsError, SETTINGS_VARIABLE};
use quick_error::quick_error;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// How often the settings file is read without a signal: it may change without one.
const RELOAD_INTERVAL: Duration = Duration::from_millis(2000);

quick_error! {
    /// Why a program does not start, or has ended.
    #[derive(Debug)]
    pub enum ProcessError {
        /// An argument is wrong.
        Argument(what: String) {
            display("{}", what)
        }
        /// No settings file is named.
        NoSettings {
            display("no settings: give --settings FILE or set {}", SETTINGS_VARIABLE)
        }
        /// The settings file cannot be opened.
        Unreadable(path: String, error: io::Error) {
            source(error)
            display("{}: {}", path, error)
        }
        /// Something in the settings file is wrong; all of it is listed.
        Settings(path: String, errors: Vec<SettingsError>) {
            display("{}", list_errors(path, errors))
        }
        /// A setting that this program needs is missing.
        MissingSetting(key: &'static str, allowed: &'static str) {
            display("{}: is missing; allowed: {}", key, allowed)
        }
        /// The address cannot be listened on.
        Listen(address: SocketAddr, error: io::Error) {
            source(error)
            display("{}: {}", address, error)
        }
        /// Logging cannot be set up.
        Log(error: LogError) {
            from()
            source(error)
            display("{}", error)
        }
        /// The runtime or the signal handlers cannot be set up.
        Runtime(error: io::Error) {
            from()
            source(error)
            display("{}", error)
        }
    }
}

fn list_errors(path: &str, errors: &[SettingsError]) -> String {
    errors.iter().map(|error| format!("{path}: {error}")).collect::<Vec<_>>().join("\n")
}

/// What a program is called and says of itself.
pub struct Program {
    /// Its name.
    pub name: &'static str,
    /// One line on what it does.
    pub about: &'static str,
}

struct CommandLine {
    settings_path: Option<String>,
    log_level: String,
    check_only: bool,
}

fn help(program: &Program) -> String {
    format!(
        "{name} {version}: {about}\n\n\
         Usage: {name} [--settings FILE] [--log-level LEVEL] [--check]\n\n\
         \x20 --settings FILE    settings (TOML); without it the file that {SETTINGS_VARIABLE} names\n\
         \x20 --log-level LEVEL  error, warn, info (as it is), debug, off\n\
         \x20 --check            tells all that is wrong in the settings, and ends\n\
         \x20 --help, --version\n\n\
         Example: {SETTINGS_VARIABLE}=node.toml {name} --log-level warn\n",
        name = program.name,
        version = env!("CARGO_PKG_VERSION"),
        about = program.about,
    )
}

/// The command line; `None` if it asked only for help or the version, which has been printed.
fn parse_command_line(program: &Program) -> Result<Option<CommandLine>, ProcessError> {
    use lexopt::prelude::*;
    let wrong = |error: lexopt::Error| ProcessError::Argument(error.to_string());
    let mut line = CommandLine {
        settings_path: std::env::var(SETTINGS_VARIABLE).ok(),
        log_level: "info".into(),
        check_only: false,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next().map_err(wrong)? {
        match argument {
            Long("settings") => {
                line.settings_path = Some(parser.value().and_then(|value| value.string()).map_err(wrong)?);
            }
            Long("log-level") => {
                line.log_level = parser.value().and_then(|value| value.string()).map_err(wrong)?;
            }
            Long("check") => line.check_only = true,
            Short('h') | Long("help") => {
                print!("{}", help(program));
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("{} {}", program.name, env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => {
                let problem = other.unexpected();
                return Err(ProcessError::Argument(format!("{problem}; see {} --help", program.name)));
            }
        }
    }
    Ok(Some(line))
}

/// Reads a settings file.
///
/// # Errors
/// When it cannot be opened, or all that is wrong in it.
pub fn load_settings(path: &str) -> Result<Settings, ProcessError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ProcessError::Unreadable(path.to_owned(), error))?;
    Settings::parse(&text).map_err(|errors| ProcessError::Settings(path.to_owned(), errors))
}

/// The settings in force, and the file they come from.
pub struct ReloadableSettings {
    path: String,
    settings: RefCell<Settings>,
}

impl ReloadableSettings {
    /// These settings, as read from the file at `path`.
    pub fn new(path: String, settings: Settings) -> Self {
        ReloadableSettings { path, settings: RefCell::new(settings) }
    }

    /// Puts these settings in force.
    pub fn replace(&self, settings: Settings) {
        *self.settings.borrow_mut() = settings;
    }

    /// The settings in force.
    pub fn settings(&self) -> Settings {
        self.settings.borrow().clone()
    }

    /// Reads the file again; whether anything in it has changed. If it cannot be read, the old settings stay in force.
    pub fn reload(&self) -> bool {
        match load_settings(&self.path) {
            Ok(settings) => {
                let has_changed = settings != *self.settings.borrow();
                *self.settings.borrow_mut() = settings;
                has_changed
            }
            Err(error) => {
                log::warn!("settings: not reloaded, the old ones stay in force: {}", error);
                false
            }
        }
    }
}

/// Runs a program: reads the command line and the settings, and runs `serve` with both on one thread.
pub fn main<F: Future<Output = Result<(), ProcessError>>>(
    program: &Program,
    serve: impl FnOnce(Rc<ReloadableSettings>, Signals) -> F,
) -> ExitCode {
    match try_main(program, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", program.name);
            ExitCode::FAILURE
        }
    }
}

fn try_main<F: Future<Output = Result<(), ProcessError>>>(
    program: &Program,
    serve: impl FnOnce(Rc<ReloadableSettings>, Signals) -> F,
) -> Result<(), ProcessError> {
    let Some(line) = parse_command_line(program)? else { return Ok(()) };
    let path = line.settings_path.ok_or(ProcessError::NoSettings)?;
    let settings = load_settings(&path)?;
    if line.check_only {
        println!("{path}: in order");
        return Ok(());
    }
    log::start(&line.log_level)?;
    let settings = Rc::new(ReloadableSettings::new(path, settings));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async move { serve(settings, Signals::new()?).await })
}

/// Listens on an address, even if the process before has left connections behind.
///
/// # Errors
/// When the address cannot be bound; the text names it.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|error: io::Error| ProcessError::Listen(address, error))
}

/// What the platform wants of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalEvent {
    /// Shut down gracefully.
    Shutdown,
    /// The settings may have changed.
    Reload,
}

/// The signals that the process handles.
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next event. A reload comes every two seconds besides, as the settings may change without a signal.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.term.recv() => SignalEvent::Shutdown,
            _ = self.int.recv() => SignalEvent::Shutdown,
            _ = self.hup.recv() => SignalEvent::Reload,
            () = tokio::time::sleep(RELOAD_INTERVAL) => SignalEvent::Reload,
        }
    }
}
