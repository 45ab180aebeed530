//! The life cycle of a program: command line, settings file, signals, and the single-threaded runtime.

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

/// Limit of connections that are waiting to be accepted.
const BACKLOG: u32 = 1024;
/// Interval at which the settings file is read again, as it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_millis(2000);

quick_error! {
    /// The reason for which a program cannot start or has failed.
    #[derive(Debug)]
    pub enum ProcessError {
        /// An invalid command-line argument.
        Argument(what: String) {
            display("{}", what)
        }
        /// Neither the command line nor the environment names a settings file.
        NoSettings {
            display("no settings: give --settings FILE or set {}", SETTINGS_VARIABLE)
        }
        /// The settings file cannot be opened.
        Unreadable(path: String, error: io::Error) {
            source(error)
            display("{}: {}", path, error)
        }
        /// The settings file is invalid. Lists all errors in it.
        Settings(path: String, errors: Vec<SettingsError>) {
            display("{}", list_errors(path, errors))
        }
        /// A setting that this program needs is missing.
        MissingSetting(key: &'static str, allowed: &'static str) {
            display("{}: is missing; allowed: {}", key, allowed)
        }
        /// The address cannot be bound.
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

/// The name and description of a program, for its help text.
pub struct Program {
    /// The name of the executable.
    pub name: &'static str,
    /// A one-line description.
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
         \x20 --settings FILE    settings file (TOML); default: the file named by {SETTINGS_VARIABLE}\n\
         \x20 --log-level LEVEL  error, warn, info (default), debug or off\n\
         \x20 --check            report all errors in the settings file and exit\n\
         \x20 --help, --version\n\n\
         Example: {SETTINGS_VARIABLE}=node.toml {name} --log-level warn\n",
        name = program.name,
        version = env!("CARGO_PKG_VERSION"),
        about = program.about,
    )
}

/// Parses the command line. Returns `None` after printing the help or the version.
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

/// Reads and checks the settings file at `path`.
///
/// # Errors
/// [`ProcessError::Unreadable`] if the file cannot be read, [`ProcessError::Settings`] with all errors in it.
pub fn load_settings(path: &str) -> Result<Settings, ProcessError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| ProcessError::Unreadable(path.to_owned(), error))?;
    Settings::parse(&text).map_err(|errors| ProcessError::Settings(path.to_owned(), errors))
}

/// The current settings and the path of their file.
pub struct ReloadableSettings {
    path: String,
    settings: RefCell<Settings>,
}

impl ReloadableSettings {
    /// Creates the holder of `settings`, which were read from the file at `path`.
    pub fn new(path: String, settings: Settings) -> Self {
        ReloadableSettings { path, settings: RefCell::new(settings) }
    }

    /// Replaces the current settings.
    pub fn replace(&self, settings: Settings) {
        *self.settings.borrow_mut() = settings;
    }

    /// A copy of the current settings.
    pub fn settings(&self) -> Settings {
        self.settings.borrow().clone()
    }

    /// Reads the file again and returns whether the settings have changed. If the file cannot be read or is invalid, the
    /// current settings are kept and a warning is logged.
    pub fn reload(&self) -> bool {
        match load_settings(&self.path) {
            Ok(settings) => {
                let has_changed = settings != *self.settings.borrow();
                *self.settings.borrow_mut() = settings;
                has_changed
            }
            Err(error) => {
                log::warn!("settings: reload failed, keeping the current settings: {}", error);
                false
            }
        }
    }
}

/// Runs a program: parses the command line, loads the settings, starts the log, and runs `serve` in a `LocalSet` on one
/// thread. An error is printed on standard error.
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

/// Listens on an address, even if connections of an earlier process remain in `TIME_WAIT`.
///
/// # Errors
/// [`ProcessError::Listen`] with the address if it cannot be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|error: io::Error| ProcessError::Listen(address, error))
}

/// A request of the platform to the process.
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

    /// Waits for the next event. Without a signal this is a reload after two seconds, as the settings file may change
    /// without one.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.term.recv() => SignalEvent::Shutdown,
            _ = self.int.recv() => SignalEvent::Shutdown,
            _ = self.hup.recv() => SignalEvent::Reload,
            () = tokio::time::sleep(RELOAD_INTERVAL) => SignalEvent::Reload,
        }
    }
}
