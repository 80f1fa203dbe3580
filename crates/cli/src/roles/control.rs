//! Subcommand `control`: replicates the configuration and serves operators.

use std::process::ExitCode;

use chestnutfork_config::TokenHash;
use chestnutfork_control::{ControlConfig, ControlError, Member, Operator, start};
use chestnutfork_net::ClusterSecret;
use chestnutfork_settings::{ControlSettings, Role};
use chestnutfork_storage::DiskFolder;
use clap::{ArgMatches, Command};

use super::process::{self, RoleProcess, fail, listen_failed};

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    process::command(
        Role::Control,
        "Replicates the configuration, the entry view and the audit trail",
        "chestnutfork control --config examples/control.yaml",
    )
}

/// Runs the control process until a signal ends it.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    serve(matches).await.unwrap_or_else(|exit| exit)
}

async fn serve(matches: &ArgMatches) -> Result<ExitCode, ExitCode> {
    let settings = process::settings(matches, ControlSettings::load)?;
    let process = RoleProcess::new(Role::Control, settings.process.clone())?;
    let grace = settings.process.shutdown_grace;
    let members = settings.initial_members.iter().map(|member| Member {
        name: member.name.clone(),
        address: member.address.to_string(),
    });
    // The check of the settings admits only SHA-256 hashes.
    let operators = settings.operators.iter().filter_map(|operator| {
        Some(Operator {
            name: operator.name.clone(),
            token: TokenHash::from_hex(operator.token_sha256.expose())?,
        })
    });
    let secret = ClusterSecret::new(settings.cluster_secret.expose());
    let cfg = ControlConfig::builder(settings.process.name.clone(), secret)
        .listen(settings.listen.to_string())
        .peer_listen(settings.peer_listen.to_string())
        .advertise_operators(settings.advertise_operators.to_string())
        .advertise_peers(settings.advertise_peers.to_string())
        .members(members.collect::<Vec<_>>())
        .operators(operators.collect::<Vec<_>>())
        .metrics(process.metrics())
        .build();
    let folder = DiskFolder::open(&settings.data_dir).map_err(|error| fail(&error))?;
    let control = start(cfg, folder).await.map_err(|error| match &error {
        ControlError::Listen { address, source } => listen_failed(address, source),
        _ => fail(&error),
    })?;
    let id = control.process();
    let shutdown = || async {
        control.shutdown(grace).await;
        // What a control process acknowledged is durable, so it never gives up work.
        0
    };
    Ok(process.serve(id, shutdown).await)
}
