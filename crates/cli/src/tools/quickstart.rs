//! Subcommands `quickstart` and `dev`: a complete set of processes on loopback.

use std::process::ExitCode;

use chestnutfork_events::Severity;
use chestnutfork_load::{Arrivals, Distribution, LocalProcesses, LocalTargetGroup, Rate, Scenario};
use chestnutfork_local::LocalSet;
use clap::{ArgMatches, Command};

use super::{ToolError, exit_code, local, print_report, report_argument, report_format};

/// Service of the jobs.
const SERVICE: &str = "desk";
/// Number of entries.
const ENTRIES: u32 = 2;
/// Speeds of the simulated targets.
const SPEEDS: [f64; 3] = [1.0, 1.5, 0.7];
/// Tasks that each simulated target runs at once.
const SLOTS: u32 = 8;
/// Quota of the team in tasks.
const QUOTA: u32 = 10_000;

/// Declares `quickstart`.
pub(crate) fn command() -> Command {
    Command::new("quickstart")
        .about("Runs all roles in this process on loopback, sends jobs and reports what happened")
        .arg(report_argument())
        .after_help(
            "Sends 8 jobs of 200 tasks in 4 s and compares the answers with what the simulated\n\
             targets saw. The exit status is 0 if every promise was kept.",
        )
}

/// Declares `dev`.
pub(crate) fn dev_command() -> Command {
    Command::new("dev")
        .about("Keeps all roles running in this process on loopback and prints their addresses")
        .after_help("Ends on an interrupt, after the running jobs are answered.")
}

/// Runs `quickstart`.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode, ToolError> {
    let scenario = scenario()?;
    // Stopping a set logs warnings about lost links, which would distract from the report.
    let (set, endpoints) = local::start(&scenario, &shape(), Severity::Error).await?;
    let report = chestnutfork_load::run(&scenario, &endpoints, set.targets()).await?;
    set.shutdown().await;
    print_report(&report, report_format(matches))?;
    Ok(exit_code(&report))
}

/// Runs `dev` until it is interrupted.
pub(crate) async fn run_dev() -> Result<ExitCode, ToolError> {
    let (set, endpoints) = local::start(&scenario()?, &shape(), Severity::Warn).await?;
    for address in set.controls() {
        println!("control http://{address}");
    }
    for address in &endpoints.entries {
        println!("entry   http://{address}");
    }
    for target in set.targets() {
        println!("target  http://{}  ({})", target.address(), target.name());
    }
    println!(
        "operator token {}, team token {}",
        LocalSet::operator_token(),
        endpoints.team_token
    );
    if let Some(entry) = endpoints.entries.first() {
        println!("\ntry:\n  curl -s http://{entry}/v1/services/{SERVICE}/jobs \\");
        println!("    -H 'authorization: Bearer {}' \\", endpoints.team_token);
        println!("    -d '{{\"deadline_ms\": 2000, \"tasks\": [{{\"payload\": {{\"run_ms\": 120}}}}]}}'");
    }
    super::interrupted().await;
    set.shutdown().await;
    Ok(ExitCode::SUCCESS)
}

fn scenario() -> Result<Scenario, ToolError> {
    let scenario = Scenario::builder(SERVICE)
        .name("quickstart")
        .arrivals(Arrivals::Steady(Rate::JobsPerS(2.0)))
        .duration_ms(4_000_u64)
        .job_tasks(Distribution::Fixed(200.0))
        .run_ms(Distribution::Uniform { min: 5.0, max: 40.0 })
        .build();
    Ok(scenario?)
}

fn shape() -> LocalProcesses {
    let target = |speed| LocalTargetGroup {
        count: 1,
        slots: SLOTS,
        speed,
        jitter: 0.0,
    };
    LocalProcesses {
        entries: ENTRIES,
        policy: serde_json::Map::new(),
        quota: QUOTA,
        targets: SPEEDS.map(target).to_vec(),
    }
}
