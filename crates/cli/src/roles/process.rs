//! Settings, logging, metrics, signals and exit codes common to the processes of all roles.

use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chestnutfork_events::{Format, ProcessEvent, Severity, emit};
use chestnutfork_net::{Metrics, ProcessLimits, RequestBudget};
use chestnutfork_settings::{LimitSettings, ProcessSettings, Role, SettingsError};
use chestnutfork_types::ProcessId;
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code of a process whose settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Help on signals, exit codes and events, common to all roles.
const AFTER_HELP: &str = "\
Signals:
  SIGTERM, SIGINT  Finish work in flight within `shutdown_grace_ms`, then
                   exit; a second signal exits at once.

Exit codes:
  0  stopped gracefully
  2  the settings are not usable
  1  anything else, such as an address in use or unfinished work

Events go to standard error as text or JSON (`log` in the settings); all of
them are listed in docs/EVENTS.md, all settings in docs/SETTINGS.md.";

/// Declares the subcommand of a role.
pub(crate) fn command(role: Role, about: &'static str, example: &'static str) -> Command {
    Command::new(role.as_str())
        .about(about)
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings of the process (YAML); `chestnutfork check` tests a file"),
        )
        .after_help(format!("{AFTER_HELP}\n\nExample:\n  {example}"))
}

/// Installs the signal handlers of a process. A role does so before anything else, because a signal without a handler
/// kills the process instead of stopping it gracefully.
pub(crate) fn install_signal_handlers() -> Result<Signals, ExitCode> {
    Signals::new().map_err(|error| {
        report_error(&format!(
            "cannot receive signals: {error}; check the limits of the process"
        ))
    })
}

/// Loads the settings of a role; reports the problems of an invalid file on standard error.
pub(crate) fn load_settings<S>(
    matches: &ArgMatches,
    load: impl Fn(&Path) -> Result<S, SettingsError>,
) -> Result<S, ExitCode> {
    let file = matches.get_one::<PathBuf>("config").cloned().unwrap_or_default();
    load(&file).map_err(|error| {
        // The log settings could not be loaded, so the defaults apply.
        if chestnutfork_events::init(Severity::Info, Format::Text).is_err() {
            eprintln!("{error}");
        }
        for violation in &error.violations {
            emit(&ProcessEvent::SettingsRefused {
                file: &error.file,
                key: &violation.path,
                error: &violation.message,
            });
        }
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

/// Process of a role, from start to exit.
#[derive(Debug)]
pub(crate) struct RoleProcess {
    role: Role,
    settings: ProcessSettings,
    signals: Signals,
}

impl RoleProcess {
    /// Sets up logging.
    pub(crate) fn new(role: Role, settings: ProcessSettings, signals: Signals) -> Result<Self, ExitCode> {
        let log = settings.log;
        chestnutfork_events::init(log.level, log.format).map_err(|error| report_error(&error))?;
        Ok(Self {
            role,
            settings,
            signals,
        })
    }

    /// Returns the metrics of the configured statsd receiver; disabled if there is none or it cannot be used.
    pub(crate) fn metrics(&self) -> Metrics {
        let Some(address) = self.settings.statsd.as_ref().map(SocketAddr::to_string) else {
            return Metrics::disabled();
        };
        Metrics::statsd(&address).unwrap_or_else(|error| {
            emit(&ProcessEvent::MetricsFailed {
                address: &address,
                error: &error.to_string(),
            });
            Metrics::disabled()
        })
    }

    /// Serves until a signal arrives or the budget has ended, then shuts down; `shutdown` resolves to the number of
    /// unfinished jobs or tasks.
    pub(crate) async fn serve<F>(
        mut self,
        process: ProcessId,
        budget: &RequestBudget,
        shutdown: impl FnOnce() -> F,
    ) -> ExitCode
    where
        F: Future<Output = u64>,
    {
        let node = self.settings.name.as_str();
        emit(&ProcessEvent::Started {
            role: self.role.as_str(),
            node,
            process,
        });
        let failed = tokio::select! {
            () = self.signals.next() => false,
            () = budget.ended() => true,
        };
        emit(&ProcessEvent::Draining {
            node,
            grace: self.settings.shutdown_grace,
        });
        let unfinished = tokio::select! {
            unfinished = shutdown() => unfinished,
            () = self.signals.next() => {
                emit(&ProcessEvent::Interrupted { node, unfinished: 0 });
                return ExitCode::FAILURE;
            }
        };
        if unfinished > 0 {
            emit(&ProcessEvent::Interrupted { node, unfinished });
        }
        emit(&ProcessEvent::Stopped { node, unfinished });
        if failed || unfinished > 0 {
            return ExitCode::FAILURE;
        }
        ExitCode::SUCCESS
    }
}

/// Signals that terminate a process.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Prints an error that ends the process and returns its exit code.
pub(crate) fn report_error(error: &impl Display) -> ExitCode {
    eprintln!("chestnutfork: {error}");
    ExitCode::FAILURE
}

/// Logs an address that cannot be bound and returns the exit code.
pub(crate) fn report_listen_failure(address: &str, error: &impl Display) -> ExitCode {
    emit(&ProcessEvent::ListenFailed {
        address,
        error: &error.to_string(),
    });
    ExitCode::FAILURE
}

/// Starts the budget for the connections and unfinished requests of a process.
pub(crate) fn start_budget(limits: LimitSettings, metrics: Metrics) -> RequestBudget {
    let process = ProcessLimits::new(limits.memory_mb, limits.max_fds).max_head(limits.max_header_bytes);
    RequestBudget::start(process, metrics)
}
