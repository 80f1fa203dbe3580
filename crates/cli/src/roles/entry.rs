//! Subcommand `entry`: accepts jobs over HTTP and dispatches their tasks.

use std::process::ExitCode;

use chestnutfork_entry::{EntryConfig, EntryError, start};
use chestnutfork_net::ClusterSecret;
use chestnutfork_settings::{EntrySettings, Role};
use clap::{ArgMatches, Command};

use super::process::{self, RoleProcess, report_error, report_listen_failure};

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    process::command(
        Role::Entry,
        "Accepts jobs over HTTP, dispatches their tasks and answers",
        "chestnutfork entry --config examples/entry.yaml",
    )
}

/// Runs the entry until a termination signal arrives.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    serve(matches).await.unwrap_or_else(|exit| exit)
}

async fn serve(matches: &ArgMatches) -> Result<ExitCode, ExitCode> {
    let signals = process::install_signal_handlers()?;
    let settings = process::load_settings(matches, EntrySettings::load)?;
    let process = RoleProcess::new(Role::Entry, settings.process.clone(), signals)?;
    let metrics = process.metrics();
    let grace = settings.process.shutdown_grace;
    let budget = process::start_budget(settings.limits, metrics.clone());
    let cfg = EntryConfig::builder(
        settings.process.name,
        ClusterSecret::new(settings.cluster_secret.expose()),
    )
    .failure_domain(settings.failure_domain)
    .listen(settings.listen.to_string())
    .peer_listen(settings.peer_listen.to_string())
    .advertise(settings.advertise_peers.to_string())
    .control_addresses(settings.control.iter().map(ToString::to_string).collect())
    .max_records(settings.register.max_records)
    .retention(settings.register.retention)
    .metrics(metrics)
    .budget(budget.clone())
    .build();
    let entry = start(cfg).await.map_err(|error| match &error {
        EntryError::Listen { address, source } => report_listen_failure(address, source),
        _ => report_error(&error),
    })?;
    Ok(process
        .serve(entry.process(), &budget, || entry.shutdown(grace))
        .await)
}
