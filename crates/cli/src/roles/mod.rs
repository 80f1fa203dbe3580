//! Subcommands that run a role, check settings or operate the system.

mod agent;
mod check;
mod control;
mod entry;
mod fleet;
mod operate;
mod process;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

/// Declares the subcommands of roles.
pub(crate) fn commands() -> Vec<Command> {
    vec![
        entry::command(),
        agent::command(),
        control::command(),
        fleet::command(),
    ]
}

/// Declares the subcommands about settings.
pub(crate) fn check_commands() -> Vec<Command> {
    vec![check::command()]
}

/// Declares the subcommands of operators.
pub(crate) fn operator_commands() -> Vec<Command> {
    operate::commands()
}

/// Returns whether a subcommand uses a single-threaded runtime, for small machines.
pub(crate) fn is_single_threaded(name: &str) -> bool {
    name == fleet::NAME
}

/// Runs a subcommand of this module; returns `None` for any other subcommand.
pub(crate) async fn run(name: &str, matches: &ArgMatches) -> Option<ExitCode> {
    Some(match name {
        "entry" => entry::run(matches).await,
        "agent" => agent::run(matches).await,
        "control" => control::run(matches).await,
        fleet::NAME => fleet::run(matches).await,
        "check" => check::run(matches),
        _ => return operate::run(name, matches).await,
    })
}
