//! Subcommand `check`: validates settings files without starting a process.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chestnutfork_platform::NodeSettings;
use chestnutfork_settings::{Role, Settings, SettingsError, effective_yaml};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::fleet;

/// Exit code if any file is invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

const AFTER_HELP: &str = "\
All problems of all files are listed on standard error, one per line, with the
file, the key path and the remedy. Files named by `cluster_secret_file` and
`target_token_file` are read as well.

Exit codes:
  0  every file is usable
  2  a file is not usable

Examples:
  chestnutfork check entry examples/entry.yaml
  chestnutfork check control control-1.yaml control-2.yaml control-3.yaml
  chestnutfork check agent --effective examples/agent.yaml
  chestnutfork check fleet local.json";

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks settings files of a role: unknown keys, ranges, missing settings")
        .arg(
            Arg::new("role")
                .value_name("ROLE")
                .required(true)
                .value_parser(
                    Role::ALL
                        .iter()
                        .map(|role| role.as_str())
                        .chain([fleet::NAME])
                        .collect::<Vec<_>>(),
                )
                .help("Role that the files are for; `fleet` for files that the platform writes"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Settings files (YAML)"),
        )
        .arg(
            Arg::new("effective")
                .long("effective")
                .action(ArgAction::SetTrue)
                .help("Prints the settings in force, with defaults filled in and secrets redacted"),
        )
        .after_help(AFTER_HELP)
}

/// Checks all files and returns the combined exit code.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    let role = matches.get_one::<String>("role");
    let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
    if role.is_some_and(|role| role == fleet::NAME) {
        return report(files.map(|file| check_fleet(file)));
    }
    let Some(role) = role.and_then(|name| Role::from_name(name)) else {
        unreachable!("the command line requires a known role");
    };
    let print_effective = matches.get_flag("effective");
    report(files.map(|file| check(role, file, print_effective)))
}

/// Prints the result for each file and returns the combined exit code.
fn report<E: Display>(checks: impl Iterator<Item = Result<String, E>>) -> ExitCode {
    let mut exit = ExitCode::SUCCESS;
    for result in checks {
        match result {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                exit = ExitCode::from(EXIT_INVALID_SETTINGS);
            }
        }
    }
    exit
}

/// Checks a settings file that the platform writes; its unknown fields are ignored.
fn check_fleet(file: &Path) -> Result<String, chestnutfork_platform::SettingsError> {
    let settings = NodeSettings::load(file)?;
    Ok(format!("{}: usable, for `{}`", file.display(), settings.name))
}

fn check(role: Role, file: &Path, print_effective: bool) -> Result<String, SettingsError> {
    if print_effective {
        return effective_yaml(role, file).map(|text| format!("# {}\n{}", file.display(), text.trim_end()));
    }
    Settings::load(role, file)?;
    Ok(format!("{}: usable", file.display()))
}
