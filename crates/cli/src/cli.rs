//! Command-line definition and dispatch to the subcommands.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::help::{CommandGroup, add_groups};
use crate::roles;
use crate::tools::{ToolError, load, platform, quickstart, target};

/// Text after the options in the top-level help.
const AFTER_HELP: &str = "\
Examples:
  chestnutfork quickstart
  chestnutfork check entry examples/entry.yaml
  chestnutfork entry --config examples/entry.yaml
  chestnutfork status --control 127.0.0.1:7100

`chestnutfork COMMAND --help` explains each command.";

/// Defines the command line.
pub(crate) fn command() -> Command {
    let group = |heading, commands| CommandGroup { heading, commands };
    let command = Command::new("chestnutfork")
        .about("Dispatches sub-second tasks: every request answered once, on time, to the right caller")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(AFTER_HELP);
    let trials = vec![quickstart::command(), quickstart::dev_command(), load::command()];
    let simulators = vec![target::command(), platform::command()];
    add_groups(
        command,
        vec![
            group("Roles", roles::commands()),
            group("Settings", roles::check_commands()),
            group("Operators", roles::operator_commands()),
            group("Trials", trials),
            group("Simulated counterparts", simulators),
        ],
    )
}

/// Runs the selected subcommand.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    let result: Result<ExitCode, ToolError> = match matches.subcommand() {
        Some(("quickstart", matches)) => quickstart::run(matches).await,
        Some(("dev", _)) => quickstart::run_dev().await,
        Some(("load", matches)) => load::run(matches).await,
        Some(("target", matches)) => target::run(matches).await,
        Some(("platform", matches)) => platform::run(matches).await,
        Some((name, matches)) => match roles::run(name, matches).await {
            Some(exit) => Ok(exit),
            None => unreachable!("every declared subcommand is listed here or in `roles`"),
        },
        None => unreachable!("the command line requires a subcommand"),
    };
    result.unwrap_or_else(|error| {
        eprintln!("chestnutfork: {error}");
        ExitCode::FAILURE
    })
}
