//! Subcommands `quickstart` and `dev`: run a complete cluster on loopback.

use std::process::ExitCode;

use chestnutfork_events::Severity;
use chestnutfork_load::{Arrivals, Distribution, LocalProcesses, LocalTargetGroup, Rate, Scenario};
use chestnutfork_local::LocalCluster;
use clap::{ArgMatches, Command};

use super::{ToolError, exit_code, local, print_report, report_argument, report_format};

/// Service to which jobs are submitted.
const SERVICE: &str = "desk";
/// Number of entries.
const ENTRIES: u32 = 2;
/// Speed of each simulated target.
const SPEEDS: [f64; 3] = [1.0, 1.5, 0.7];
/// Tasks that each simulated target runs at once.
const SLOTS: u32 = 8;
/// Task quota of the team.
const QUOTA: u32 = 10_000;

/// Declares `quickstart`.
pub(crate) fn command() -> Command {
    Command::new("quickstart")
        .about("Runs all roles in this process on loopback, sends jobs and reports what happened")
        .arg(report_argument())
        .after_help(
            "Sends 8 jobs of 200 tasks in 4 s and compares the answers with what the simulated\n\
             targets saw. The exit status is 0 if every guarantee held.",
        )
}

/// Declares `dev`.
pub(crate) fn dev_command() -> Command {
    Command::new("dev")
        .about("Keeps all roles running in this process on loopback and prints their addresses")
        .after_help("On SIGINT or SIGTERM, answers the running jobs and exits.")
}

/// Runs `quickstart`.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode, ToolError> {
    let scenario = scenario()?;
    // The shutdown logs warnings about lost links, which would clutter the output around the report.
    let (cluster, endpoints) = local::start(&scenario, &cluster_spec(), Severity::Error).await?;
    let report = chestnutfork_load::run(&scenario, &endpoints, cluster.targets()).await?;
    cluster.shutdown().await;
    print_report(&report, report_format(matches))?;
    Ok(exit_code(&report))
}

/// Runs `dev` until a shutdown signal arrives.
pub(crate) async fn run_dev() -> Result<ExitCode, ToolError> {
    let (cluster, endpoints) = local::start(&scenario()?, &cluster_spec(), Severity::Warn).await?;
    for address in cluster.control_addresses() {
        println!("control http://{address}");
    }
    for address in &endpoints.entries {
        println!("entry   http://{address}");
    }
    for target in cluster.targets() {
        println!("target  http://{}  ({})", target.address(), target.name());
    }
    println!(
        "operator token {}, team token {}",
        LocalCluster::operator_token(),
        endpoints.team_token
    );
    if let Some(entry) = endpoints.entries.first() {
        println!("\ntry:\n  curl -s http://{entry}/v1/services/{SERVICE}/jobs \\");
        println!("    -H 'authorization: Bearer {}' \\", endpoints.team_token);
        println!("    -d '{{\"deadline_ms\": 2000, \"tasks\": [{{\"payload\": {{\"run_ms\": 120}}}}]}}'");
    }
    super::wait_for_shutdown_signal().await;
    cluster.shutdown().await;
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

fn cluster_spec() -> LocalProcesses {
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
