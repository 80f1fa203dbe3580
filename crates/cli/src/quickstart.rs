//! The `quickstart` command: a complete set of processes on loopback under a short load.

use std::process::ExitCode;

use chestnutfork_config::TokenHash;
use chestnutfork_load::{Arrivals, Distribution, Endpoints, LoadError, Rate, Report, Scenario};
use chestnutfork_local::{LocalConfig, LocalError, LocalSet, TargetShape};
use serde_json::json;
use thiserror::Error;

/// Token of the team that submits the jobs.
const TEAM_TOKEN: &str = "quickstart-team-token";
/// Service that the jobs belong to.
const SERVICE: &str = "desk";
/// Speeds of the simulated targets.
const SPEEDS: [f64; 3] = [1.0, 1.5, 0.7];
/// Tasks that each simulated target runs at once.
const SLOTS: u32 = 8;

/// Failure of the quickstart.
#[derive(Debug, Error)]
enum QuickstartError {
    #[error(transparent)]
    Set(#[from] LocalError),
    #[error(transparent)]
    Load(#[from] LoadError),
}

/// Runs the command and returns failure if it could not run or a promise was broken.
pub(crate) async fn run(json: bool) -> ExitCode {
    match serve_jobs().await {
        Ok(report) => print_report(&report, json),
        Err(error) => {
            eprintln!("quickstart failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve_jobs() -> Result<Report, QuickstartError> {
    let document = json!({
        "services": { SERVICE: { "pool": "main", "at_most_once": true } },
        "teams": {
            "setters": { "token_sha256": TokenHash::of(TEAM_TOKEN).to_hex(), "quota": 1000, "services": [SERVICE] }
        },
    });
    let shapes = SPEEDS.iter().map(|&speed| TargetShape {
        slots: SLOTS,
        speed,
        jitter: 0.0,
    });
    let cfg = LocalConfig::builder(document)
        .entries(2)
        .targets(shapes.collect())
        .build();
    let set = LocalSet::start(cfg).await?;
    let scenario = Scenario::builder(SERVICE)
        .name("quickstart")
        .arrivals(Arrivals::Steady(Rate::JobsPerS(2.0)))
        .duration_ms(4_000_u64)
        .job_tasks(Distribution::Fixed(200.0))
        .run_ms(Distribution::Uniform { min: 5.0, max: 40.0 })
        .build()?;
    let endpoints = Endpoints {
        entries: set.entries(),
        team_token: TEAM_TOKEN.to_owned(),
    };
    let report = chestnutfork_load::run(&scenario, &endpoints, set.targets()).await?;
    set.shutdown().await;
    Ok(report)
}

fn print_report(report: &Report, json: bool) -> ExitCode {
    if json {
        match serde_json::to_string(report) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("cannot print the report: {error}; report this as a bug");
                return ExitCode::FAILURE;
            }
        }
    } else {
        println!("{report}");
    }
    let broken = report.broken_promises();
    for promise in &broken {
        eprintln!("broken promise: {promise}");
    }
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
