//! Subcommand `fleet`: runs a role on the users' platform with the settings that the platform writes.

use std::net::{IpAddr, SocketAddr};
use std::process::ExitCode;

use chestnutfork_events::{Format, ProcessEvent, Severity, emit};
use chestnutfork_net::{HttpServer, Metrics, MetricsRegistry, ProcessLimits, RequestBudget};
use chestnutfork_platform::nodes::{
    Node, StartError, start_agent_node, start_control_node, start_entry_node,
};
use chestnutfork_platform::{NodeSettings, SettingsError};
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::process::{install_signal_handlers, report_error};

/// Name of the subcommand.
pub(crate) const NAME: &str = "fleet";

/// Exit code of a process whose settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

const AFTER_HELP: &str = "\
The settings are the JSON file that CHESTNUTFORK_CONFIG names. Events go to
standard output as JSON, one per line; docs/EVENTS.md lists them.

Signals:
  SIGTERM, SIGINT  Finish work in flight, then exit; a second signal exits at
                   once.
  SIGHUP           Read the settings again and log whether they have changed.

Exit codes:
  0  stopped gracefully
  2  the settings are not usable
  1  anything else

Example:
  CHESTNUTFORK_CONFIG=local.json chestnutfork fleet entry --metrics-port 9464";

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Runs a role on the users' platform, with the platform's settings")
        .arg(
            Arg::new("role")
                .value_name("ROLE")
                .required(true)
                .value_parser(["entry", "agent", "control"])
                .help("Role of the process"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .help("Port that serves counters and histograms as text under /metrics"),
        )
        .arg(
            Arg::new("bind")
                .long("bind")
                .value_name("IP")
                .value_parser(value_parser!(IpAddr))
                .help("Address to listen on, if other machines reach this one by another"),
        )
        .after_help(AFTER_HELP)
}

/// Runs the role until a termination signal arrives.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    serve(matches).await.unwrap_or_else(|exit| exit)
}

async fn serve(matches: &ArgMatches) -> Result<ExitCode, ExitCode> {
    let mut signals = install_signal_handlers()?;
    let hangup = signal(SignalKind::hangup()).map_err(|error| report_error(&error))?;
    chestnutfork_events::init_stdout(Severity::Info, Format::Json).map_err(|error| report_error(&error))?;
    let bind_ip = matches.get_one::<IpAddr>("bind").copied();
    let settings = read_settings(bind_ip).map_err(|error| settings_refused(&error))?;
    let registry = MetricsRegistry::default();
    let metrics = Metrics::registry(&registry);
    let role = matches.get_one::<String>("role").map_or("", String::as_str);
    let node = start(role, &settings, metrics)
        .await
        .map_err(|error| report_error(&error))?;
    let port = matches.get_one::<u16>("metrics-port").copied();
    let metrics_server = serve_metrics(&settings, port, registry).await;
    emit(&ProcessEvent::Started {
        role,
        node: &settings.name,
        process: node.process(),
    });
    let failed = tokio::select! {
        () = signals.next() => false,
        () = log_settings_changes(hangup, &settings) => false,
        () = node.failed() => true,
    };
    emit(&ProcessEvent::Draining {
        node: &settings.name,
        grace: settings.shutdown_grace,
    });
    let unfinished = tokio::select! {
        unfinished = node.shutdown() => unfinished,
        () = signals.next() => {
            emit(&ProcessEvent::Interrupted { node: &settings.name, unfinished: 0 });
            return Ok(ExitCode::FAILURE);
        }
    };
    drop(metrics_server);
    emit(&ProcessEvent::Stopped {
        node: &settings.name,
        unfinished,
    });
    if failed {
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

fn read_settings(bind_ip: Option<IpAddr>) -> Result<NodeSettings, SettingsError> {
    let settings = NodeSettings::from_environment()?;
    Ok(NodeSettings { bind_ip, ..settings })
}

async fn start(role: &str, settings: &NodeSettings, metrics: Metrics) -> Result<Node, StartError> {
    match role {
        "entry" => start_entry_node(settings, metrics).await,
        "agent" => start_agent_node(settings, metrics).await,
        "control" => start_control_node(settings, metrics).await,
        _ => unreachable!("the command line requires a known role"),
    }
}

/// Serves metrics if a port is given; a failure is logged and the process runs without them.
async fn serve_metrics(
    settings: &NodeSettings,
    port: Option<u16>,
    registry: MetricsRegistry,
) -> Option<HttpServer> {
    let address = settings.bind_address(SocketAddr::new(settings.link_address.ip(), port?));
    let socket = TcpListener::bind(address).await;
    let budget = RequestBudget::start(ProcessLimits::monitoring(), Metrics::disabled());
    match socket.and_then(|socket| HttpServer::builder(socket).budget(budget).serve(registry)) {
        Ok(server) => Some(server),
        Err(error) => {
            emit(&ProcessEvent::MetricsFailed {
                address: &address.to_string(),
                error: &error.to_string(),
            });
            None
        }
    }
}

/// Reads the settings again on each SIGHUP and logs whether they changed; a change takes effect at the next start.
async fn log_settings_changes(mut hangup: Signal, settings: &NodeSettings) {
    while hangup.recv().await.is_some() {
        match read_settings(settings.bind_ip) {
            Ok(current) => emit(&ProcessEvent::Reloaded {
                node: &settings.name,
                changed: current != *settings,
            }),
            Err(error) => {
                settings_refused(&error);
            }
        }
    }
    // The signal stream has ended. Never completes, because the caller takes completion as a request to shut down.
    std::future::pending::<()>().await;
}

fn settings_refused(error: &SettingsError) -> ExitCode {
    emit(&ProcessEvent::SettingsRefused {
        file: "CHESTNUTFORK_CONFIG",
        key: "",
        error: &error.to_string(),
    });
    ExitCode::from(EXIT_INVALID_SETTINGS)
}
