//! Subcommand `load`: runs a load scenario and checks its results.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chestnutfork_events::Severity;
use chestnutfork_load::{
    Endpoints, HttpTargets, LoadError, Report, Scenario, compare, render_svg, run as run_scenario,
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::arguments::{address, path, repeated, text};
use super::output::encode;
use super::{
    ToolError, exit_code, local, print_report, read_file, report_argument, report_format, write_file,
};

/// Text after the arguments in the help.
const AFTER_HELP: &str = "\
Jobs are sent at their planned times, however late earlier answers are, and
response times are measured from the planned times. Every answer is checked,
and afterwards compared with the journals of the targets. A scenario with the
key `local` starts its own processes on loopback unless an entry is given.

The exit status is 0 if every guarantee held, 3 if the run violated one, and 1
if the run could not be completed.

Example:
  chestnutfork load examples/scenarios/cooperative-calm.yaml --save calm.json";

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    Command::new("load")
        .about("Runs a load scenario, checks every answer and reports")
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File with the scenario in YAML"),
        )
        .arg(
            address("entry")
                .action(ArgAction::Append)
                .help("Entry to submit to; may be repeated"),
        )
        .arg(
            address("target")
                .action(ArgAction::Append)
                .help("Target to compare with; may be repeated"),
        )
        .arg(text("token", "TOKEN").help("Bearer token of the team"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Seed that overrides the one in the scenario"),
        )
        .arg(report_argument())
        .arg(path("save").help("File to write the report to, as JSON"))
        .arg(path("svg").help("File to write plots to"))
        .arg(path("compare").help("Report of an earlier run to compare with, on standard error"))
        .after_help(AFTER_HELP)
}

/// Runs the scenario.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode, ToolError> {
    let scenario = read_scenario(matches)?;
    let earlier = matches
        .get_one::<PathBuf>("compare")
        .map(|path| read_report(path))
        .transpose()?;
    let report = execute(&scenario, matches).await?;
    print_report(&report, report_format(matches))?;
    if let Some(path) = matches.get_one::<PathBuf>("save") {
        write_file(path, &encode(&report)?)?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        write_file(path, &render_svg(&report)?)?;
    }
    if let Some(earlier) = earlier {
        eprint!("{}", compare(&earlier, &report));
    }
    Ok(exit_code(&report))
}

async fn execute(scenario: &Scenario, matches: &ArgMatches) -> Result<Report, ToolError> {
    let entries = repeated::<SocketAddr>(matches, "entry");
    let entries = if entries.is_empty() {
        scenario.entries.clone()
    } else {
        entries
    };
    if entries.is_empty() {
        return execute_on_local_cluster(scenario).await;
    }
    let targets = repeated::<SocketAddr>(matches, "target");
    let addresses = if targets.is_empty() {
        scenario.targets.clone()
    } else {
        targets
    };
    let token = matches.get_one::<String>("token").unwrap_or(&scenario.team_token);
    let endpoints = Endpoints {
        entries,
        team_token: token.clone(),
    };
    Ok(run_scenario(scenario, &endpoints, &HttpTargets { addresses }).await?)
}

async fn execute_on_local_cluster(scenario: &Scenario) -> Result<Report, ToolError> {
    let local = scenario.local.as_ref().ok_or(LoadError::NoEntries)?;
    let (cluster, endpoints) = local::start(scenario, local, Severity::Warn).await?;
    let report = run_scenario(scenario, &endpoints, cluster.targets()).await;
    cluster.shutdown().await;
    Ok(report?)
}

fn read_scenario(matches: &ArgMatches) -> Result<Scenario, ToolError> {
    let path: PathBuf = super::arguments::required(matches, "scenario");
    let mut scenario = Scenario::parse(&read_file(&path)?)?;
    if let Some(&seed) = matches.get_one::<u64>("seed") {
        scenario.seed = seed;
    }
    Ok(scenario)
}

fn read_report(path: &Path) -> Result<Report, ToolError> {
    Ok(Report::parse(&read_file(path)?)?)
}
