//! Command line: declaration and dispatch to the commands.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};

use crate::quickstart;

/// Declares the command line.
pub(crate) fn command() -> Command {
    Command::new("chestnutfork")
        .about("Dispatches sub-second tasks: every request answered once, on time, to the right caller")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("quickstart")
                .about("Runs all roles in this process on loopback, sends jobs and reports what happened")
                .arg(
                    Arg::new("report")
                        .long("report")
                        .value_name("FORM")
                        .value_parser(["text", "json"])
                        .default_value("text")
                        .help("Form of the report on standard output"),
                ),
        )
}

/// Runs the chosen command.
pub(crate) async fn run(matches: &ArgMatches) -> ExitCode {
    match matches.subcommand() {
        Some(("quickstart", matches)) => {
            let json = matches
                .get_one::<String>("report")
                .is_some_and(|form| form == "json");
            quickstart::run(json).await
        }
        _ => unreachable!("the command line requires a known subcommand"),
    }
}
