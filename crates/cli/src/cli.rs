//! Command line: declaration and dispatch to the commands.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::tools::{ToolError, load, platform, quickstart, target};

/// Declares the command line.
pub(crate) fn command() -> Command {
    Command::new("chestnutfork")
        .about("Dispatches sub-second tasks: every request answered once, on time, to the right caller")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(quickstart::command())
        .subcommand(quickstart::dev_command())
        .subcommand(load::command())
        .subcommand(target::command())
        .subcommand(platform::command())
}

/// Runs the chosen command.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    let result: Result<ExitCode, ToolError> = match matches.subcommand() {
        Some(("quickstart", matches)) => quickstart::run(matches).await,
        Some(("dev", _)) => quickstart::run_dev().await,
        Some(("load", matches)) => load::run(matches).await,
        Some(("target", matches)) => target::run(matches).await,
        Some(("platform", matches)) => platform::run(matches).await,
        _ => unreachable!("the command line requires a known subcommand"),
    };
    result.unwrap_or_else(|error| {
        eprintln!("chestnutfork: {error}");
        ExitCode::FAILURE
    })
}
