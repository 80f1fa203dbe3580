//! Command-line options of the operator subcommands.

use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use chestnutfork_types::{ConfigVersion, ReplicaId};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use uuid::Uuid;

use crate::client::OperatorClient;
use crate::command::{OperatorCommand, OutputFormat};
use crate::error::{ErrorKind, OperatorError};

/// Environment variable that contains the operator token, used if `--token-file` is absent.
pub const TOKEN_ENV_VAR: &str = "CHESTNUTFORK_TOKEN";

/// Parsed operator command with its client and output format.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Command to run.
    pub command: OperatorCommand,
    /// Client of the control processes.
    pub client: OperatorClient,
    /// Output format.
    pub format: OutputFormat,
}

/// Returns the operator subcommands, to be added to the command line of the binary.
///
/// # Examples
///
/// ```
/// let names: Vec<String> =
///     chestnutfork_operator::subcommands().iter().map(|command| command.get_name().to_owned()).collect();
/// assert_eq!(names, ["patch", "status", "audit", "config", "replace"]);
/// ```
#[must_use]
pub fn subcommands() -> Vec<Command> {
    let patch = Command::new("patch")
        .about("Sends a configuration patch")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File that contains the merge patch, in YAML or JSON"),
        )
        .arg(version_arg("base", "Version that the patch is made against").required(true))
        .arg(reason_arg())
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("UUID")
                .value_parser(value_parser!(Uuid))
                .help("Id of the patch, to repeat a command whose outcome is unknown"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Shows the verdict without applying the patch"),
        );
    let audit = Command::new("audit")
        .about("Shows the audit trail")
        .arg(version_arg("since", "Shows records of later versions only").default_value("0"));
    let replace = Command::new("replace")
        .about("Replaces a lost control process with a new one")
        .arg(replica_arg("old", "Replica to remove"))
        .arg(replica_arg("new", "Replica to add"))
        .arg(reason_arg());
    let status = Command::new("status").about("Shows the status of control processes, entries and agents");
    let config = Command::new("config").about("Shows the current configuration, with secrets redacted");
    [patch, status, audit, config, replace]
        .into_iter()
        .map(|command| command.args(common_args()))
        .collect()
}

fn common_args() -> [Arg; 4] {
    [
        Arg::new("control")
            .long("control")
            .value_name("ADDRESS")
            .required(true)
            .action(ArgAction::Append)
            .value_delimiter(',')
            .value_parser(value_parser!(SocketAddr))
            .help("Operator addresses of control processes, separated by commas; give several"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File that contains the operator token; defaults to the value of CHESTNUTFORK_TOKEN"),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .value_parser(["text", "json"])
            .default_value("text")
            .help("Output format"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .value_parser(value_parser!(u64).range(1..=600_000))
            .default_value("5000")
            .help("Response timeout of one control process in milliseconds"),
    ]
}

fn version_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("VERSION")
        .value_parser(value_parser!(ConfigVersion))
        .help(help)
}

fn replica_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ID")
        .required(true)
        .value_parser(value_parser!(ReplicaId))
        .help(help)
}

fn reason_arg() -> Arg {
    Arg::new("reason")
        .long("reason")
        .value_name("TEXT")
        .required(true)
        .help("Reason for the audit trail")
}

/// Returns the invocation of a matched subcommand, or `None` if it is not an operator subcommand.
///
/// `token_env` is the value of the environment variable [`TOKEN_ENV_VAR`].
///
/// # Errors
///
/// Returns an error if the token is missing or cannot be read, or if the client options are invalid.
///
/// # Examples
///
/// ```
/// use chestnutfork_operator::{OperatorCommand, parse_invocation, subcommands};
///
/// let matches = clap::Command::new("chestnutfork")
///     .subcommands(subcommands())
///     .get_matches_from(["chestnutfork", "status", "--control", "127.0.0.1:7100"]);
/// let (name, matches) = matches.subcommand().unwrap();
/// let invocation = parse_invocation(name, matches, Some("token".into()))?.unwrap();
/// assert_eq!(invocation.command, OperatorCommand::Status);
/// # Ok::<(), chestnutfork_operator::OperatorError>(())
/// ```
pub fn parse_invocation(
    name: &str,
    matches: &ArgMatches,
    token_env: Option<OsString>,
) -> Result<Option<Invocation>, OperatorError> {
    let Some(command) = parse_command(name, matches) else {
        return Ok(None);
    };
    let addresses: Vec<SocketAddr> = matches
        .get_many::<SocketAddr>("control")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let timeout = matches.get_one::<u64>("timeout-ms").copied();
    let json = matches
        .get_one::<String>("output")
        .is_some_and(|format| format == "json");
    let client = OperatorClient::builder(&addresses, &read_token(matches, token_env)?)
        .timeout(Duration::from_millis(timeout.unwrap_or_default()))
        .build()?;
    let format = if json {
        OutputFormat::Json
    } else {
        OutputFormat::Text
    };
    Ok(Some(Invocation {
        command,
        client,
        format,
    }))
}

fn parse_command(name: &str, matches: &ArgMatches) -> Option<OperatorCommand> {
    Some(match name {
        "patch" => OperatorCommand::Patch {
            file: matches.get_one::<PathBuf>("file")?.clone(),
            base: *matches.get_one::<ConfigVersion>("base")?,
            reason: matches.get_one::<String>("reason")?.clone(),
            id: matches.get_one::<Uuid>("id").copied(),
            dry_run: matches.get_flag("dry-run"),
        },
        "status" => OperatorCommand::Status,
        "audit" => OperatorCommand::Audit {
            since: *matches.get_one::<ConfigVersion>("since")?,
        },
        "config" => OperatorCommand::Config,
        "replace" => OperatorCommand::Replace {
            old: *matches.get_one::<ReplicaId>("old")?,
            new: *matches.get_one::<ReplicaId>("new")?,
            reason: matches.get_one::<String>("reason")?.clone(),
        },
        _ => return None,
    })
}

fn read_token(matches: &ArgMatches, token_env: Option<OsString>) -> Result<String, OperatorError> {
    let option_error = |problem: String| ErrorKind::Option {
        option: "token-file".to_owned(),
        problem,
    };
    let text = match matches.get_one::<PathBuf>("token-file") {
        Some(path) => fs::read_to_string(path).map_err(|error| {
            option_error(format!(
                "cannot be read ({error}); check the path and its permissions"
            ))
        })?,
        None => token_env
            .and_then(|token| token.into_string().ok())
            .ok_or_else(|| {
                option_error(format!(
                    "is missing; set it or the environment variable {TOKEN_ENV_VAR}"
                ))
            })?,
    };
    Ok(text.trim().to_owned())
}
