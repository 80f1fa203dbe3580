//! Subcommand `control`: replicates the configuration and serves operators.

use std::process::ExitCode;

use chestnutfork_control::{ControlConfig, ControlError, start};
use chestnutfork_settings::{ControlSettings, Role};
use chestnutfork_storage::DiskFolder;
use clap::{ArgMatches, Command};

use super::process::{self, RoleProcess, report_error, report_listen_failure};

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    process::command(
        Role::Control,
        "Replicates the configuration, the entry view and the audit trail",
        "chestnutfork control --config examples/control.yaml",
    )
}

/// Runs the control process until a termination signal arrives.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    serve(matches).await.unwrap_or_else(|exit| exit)
}

async fn serve(matches: &ArgMatches) -> Result<ExitCode, ExitCode> {
    let signals = process::install_signal_handlers()?;
    let settings = process::load_settings(matches, ControlSettings::load)?;
    let process = RoleProcess::new(Role::Control, settings.process.clone(), signals)?;
    let metrics = process.metrics();
    let grace = settings.process.shutdown_grace;
    let budget = process::start_budget(settings.limits, metrics.clone());
    let cfg = ControlConfig::from(&settings)
        .with_metrics(metrics)
        .with_budget(budget.clone());
    let folder = DiskFolder::open(&settings.data_dir).map_err(|error| report_error(&error))?;
    let control = start(cfg, folder).await.map_err(|error| match &error {
        ControlError::Listen { address, source } => report_listen_failure(address, source),
        _ => report_error(&error),
    })?;
    let id = control.process();
    let shutdown = || async {
        control.shutdown(grace).await;
        // Acknowledged writes are durable, so a shutdown leaves no work unfinished.
        0
    };
    Ok(process.serve(id, &budget, shutdown).await)
}
