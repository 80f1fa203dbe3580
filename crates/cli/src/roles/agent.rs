//! Subcommand `agent`: runs the agent of one target.

use std::process::ExitCode;

use chestnutfork_agent::{AgentConfig, AgentError, start};
use chestnutfork_net::ClusterSecret;
use chestnutfork_settings::{AgentSettings, Role};
use clap::{ArgMatches, Command};

use super::process::{self, RoleProcess, report_error, report_listen_failure};

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    process::command(
        Role::Agent,
        "Admits, starts and records the tasks of one target",
        "chestnutfork agent --config examples/agent.yaml",
    )
}

/// Runs the agent until a termination signal arrives.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    serve(matches).await.unwrap_or_else(|exit| exit)
}

async fn serve(matches: &ArgMatches) -> Result<ExitCode, ExitCode> {
    let signals = process::install_signal_handlers()?;
    let settings = process::load_settings(matches, AgentSettings::load)?;
    let process = RoleProcess::new(Role::Agent, settings.process.clone(), signals)?;
    let metrics = process.metrics();
    let grace = settings.process.shutdown_grace;
    let budget = process::start_budget(settings.limits, metrics.clone());
    let cfg = AgentConfig::builder(
        settings.process.name,
        ClusterSecret::new(settings.cluster_secret.expose()),
    )
    .failure_domain(settings.failure_domain)
    .listen(settings.listen.to_string())
    .target_token(settings.target_token.expose())
    .control_addresses(settings.control.iter().map(ToString::to_string).collect())
    .metrics(metrics)
    .budget(budget.clone())
    .build();
    let agent = start(cfg).await.map_err(|error| match &error {
        AgentError::Listen { address, source } => report_listen_failure(address, source),
        _ => report_error(&error),
    })?;
    Ok(process
        .serve(agent.process(), &budget, || agent.shutdown(grace))
        .await)
}
