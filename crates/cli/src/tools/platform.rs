//! Subcommand `platform`: a simulated platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use chestnutfork_standin::{Platform, PlatformBuilder, Worker};
use clap::{Arg, ArgMatches, Command, value_parser};

use super::ToolError;
use super::arguments::{listen, listen_address, path, required};

/// Number of workers if no file is given.
const DEFAULT_WORKERS: u32 = 11;
/// Number of workers in a rack if no file is given.
const WORKERS_PER_RACK: u32 = 3;
/// Names of the failure domains if no file is given.
const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Text after the arguments in the help.
const AFTER_HELP: &str = "\
The platform serves
  GET /workers                                    list the workers
  POST /workers/{worker}/leases                   lease a part of a worker
  GET /workers/{worker}/usage                     usage of a worker, delayed by the lag
  POST /workers/{worker}/leave                    announce that a worker leaves
  PUT /leases/{id}, DELETE /leases/{id}           renew or end a lease
  POST /leases/{id}/tasks/{job}/{task}/{action}   checkpoint, throttle or stop
  GET /notices/{number}                           notices after a number
The file of workers is a JSON list such as
  [{\"name\": \"w1\", \"cores\": 16, \"memory_mib\": 65536, \"rack\": \"r1\", \"failure_domain\": \"a\"}]";

/// Declares the subcommand.
pub(crate) fn command() -> Command {
    Command::new("platform")
        .about("Runs a simulated platform with workers, leases and usage reports")
        .arg(path("workers").help("File with the workers; without one there are 11, three to a rack"))
        .arg(
            Arg::new("lag-ms")
                .long("lag-ms")
                .value_name("MS")
                .value_parser(value_parser!(u64).range(0..=3_600_000))
                .default_value("5000")
                .help("Lag of usage reports in milliseconds"),
        )
        .arg(listen())
        .after_help(AFTER_HELP)
}

/// Runs the platform until a shutdown signal arrives.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode, ToolError> {
    let workers = match matches.get_one::<PathBuf>("workers") {
        Some(path) => read_workers(path)?,
        None => default_workers(),
    };
    let count = workers.len();
    let lag = Duration::from_millis(required(matches, "lag-ms"));
    let builder = Platform::builder().lag(lag).listen(listen_address(matches));
    let builder = workers.into_iter().fold(builder, PlatformBuilder::worker);
    let platform = builder.start().await?;
    println!(
        "platform with {count} workers listens on http://{}",
        platform.address()
    );
    super::wait_for_shutdown_signal().await;
    platform.shutdown().await;
    Ok(ExitCode::SUCCESS)
}

fn read_workers(path: &std::path::Path) -> Result<Vec<Worker>, ToolError> {
    let document = path.display().to_string();
    let text = super::read_file(path)?;
    serde_json::from_str(&text).map_err(|source| ToolError::Json { document, source })
}

fn default_workers() -> Vec<Worker> {
    let worker = |index: u32| {
        let rack = index / WORKERS_PER_RACK;
        let domain = FAILURE_DOMAINS[rack as usize % FAILURE_DOMAINS.len()];
        Worker {
            name: format!("worker-{}", index + 1),
            cores: 16,
            memory_mib: 65_536,
            accelerators: 0,
            rack: format!("rack-{}", rack + 1),
            failure_domain: domain.to_owned(),
        }
    };
    (0..DEFAULT_WORKERS).map(worker).collect()
}
