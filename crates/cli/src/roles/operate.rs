//! Subcommands of operators: `patch`, `status`, `audit`, `config` and `replace`.

use std::process::ExitCode;

use chestnutfork_operator::{CommandOutput, OperatorError, TOKEN_ENV_VAR, parse_invocation, subcommands};
use clap::{ArgMatches, Command};

use super::process::report_error;

/// Declares the subcommands, with exit codes and examples in their help.
pub(crate) fn commands() -> Vec<Command> {
    let commands = subcommands().into_iter();
    commands
        .map(|command| {
            let help = after_help(command.get_name());
            command.after_help(help)
        })
        .collect()
}

fn after_help(name: &str) -> String {
    let (codes, example) = match name {
        "patch" => (
            "  0  the patch is accepted or, with --dry-run, would be\n  \
             2  conflict: another patch was applied to the same version\n  \
             3  the resulting configuration is invalid\n  \
             1  no verdict; the message says whether the patch may have been applied",
            "  chestnutfork patch new-service.yaml --base 41 --reason \"add the desk service\" \\\n    \
             --control 127.0.0.1:7100,127.0.0.1:7200 --token-file operator.token",
        ),
        "audit" => (
            COMMON_CODES,
            "  chestnutfork audit --since 40 --control 127.0.0.1:7100",
        ),
        "replace" => (
            COMMON_CODES,
            "  chestnutfork replace --old 1234 --new 5678 --reason \"disk of control-2 lost\" \\\n    \
             --control 127.0.0.1:7100,127.0.0.1:7300",
        ),
        "config" => (COMMON_CODES, "  chestnutfork config --control 127.0.0.1:7100"),
        _ => (
            COMMON_CODES,
            "  chestnutfork status --control 127.0.0.1:7100 --output json",
        ),
    };
    format!("Exit codes:\n{codes}\n\nExample:\n{example}\n\nSee docs/OPERATIONS.md for the procedures.")
}

const COMMON_CODES: &str = "  0  done\n  1  control refused the request or did not answer";

/// Runs an operator subcommand; returns `None` for any other subcommand.
pub(crate) async fn run(name: &str, matches: &ArgMatches) -> Option<ExitCode> {
    let outcome = execute(name, matches).await?;
    Some(match outcome {
        Ok(output) => {
            print!("{}", output.text);
            ExitCode::from(output.exit_code)
        }
        Err(error) => report_error(&error),
    })
}

async fn execute(name: &str, matches: &ArgMatches) -> Option<Result<CommandOutput, OperatorError>> {
    let invocation = match parse_invocation(name, matches, std::env::var_os(TOKEN_ENV_VAR)) {
        Ok(invocation) => invocation?,
        Err(error) => return Some(Err(error)),
    };
    Some(
        invocation
            .command
            .run(&invocation.client, invocation.format)
            .await,
    )
}
