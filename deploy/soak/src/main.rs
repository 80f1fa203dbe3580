//! The `chestnutfork-soak` command: plays seeds of the fault soak.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use chestnutfork_soak::{Plan, Report, Size, SoakConfig, SoakError, soak};
use clap::{Arg, ArgMatches, Command, value_parser};
use tokio::task::JoinSet;

const AFTER_HELP: &str = "\
Each seed runs for about 40 s besides its faults. The logs of a seed that broke a
promise are kept in the folder, under the number of the seed.

Exit codes:
  0  no promise was broken
  1  a promise was broken
  2  the soak itself could not run

Example:
  chestnutfork-soak --seed 100 --count 20 --jobs 4";

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("chestnutfork-soak")
        .about("Runs the real programs as processes and injects faults from outside")
        .arg(number("seed", "1", "First seed"))
        .arg(number("count", "1", "Number of seeds"))
        .arg(number(
            "minutes",
            "0",
            "Starts no seed after this time; 0 means no limit",
        ))
        .arg(number("length", "12", "Seconds in which faults begin"))
        .arg(number("jobs", "1", "Seeds that run at the same time"))
        .arg(number("agents", "0", "Agents of each seed; 0 draws 4 to 12"))
        .arg(number(
            "network",
            "60",
            "Second number of the first loopback network",
        ))
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_name("PATH")
                .value_parser(value_parser!(PathBuf))
                .help("Program under test; by default the one beside this command"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .value_name("PATH")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for logs and disks; by default one in the folder for temporary files"),
        )
        .after_help(AFTER_HELP)
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    match play(&matches).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Plays all seeds and returns the number of those that broke a promise.
async fn play(matches: &ArgMatches) -> Result<u64, SoakError> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let (first, count, jobs) = (number("seed"), number("count"), number("jobs").max(1));
    let begun = Instant::now();
    let limit = Duration::from_secs(number("minutes") * 60);
    let mut running = JoinSet::new();
    // Seeds that run at the same time use networks of their own.
    let mut networks: Vec<u64> = (0..jobs).collect();
    let (mut next, mut passed, mut failed) = (0, 0, 0);
    loop {
        let in_time = limit.is_zero() || begun.elapsed() < limit;
        while next < count
            && in_time
            && let Some(network) = networks.pop()
        {
            let cfg = config(matches, first + next, network);
            running.spawn(async move { (network, play_seed(cfg).await) });
            next += 1;
        }
        let Some(done) = running.join_next().await else {
            break;
        };
        // A seed that panicked has said so on standard error, and its network is left alone.
        let sound = match done {
            Ok((network, played)) => {
                networks.push(network);
                played?
            }
            Err(_) => false,
        };
        if sound {
            passed += 1;
        } else {
            failed += 1;
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed)
}

/// Plays one seed, prints its result, and reports whether all promises were kept.
async fn play_seed(cfg: SoakConfig) -> Result<bool, SoakError> {
    let Report { counts, violations } = match prepared(&cfg).await {
        Ok(outcome) => outcome,
        Err(error) => {
            println!("seed {}: {error}", cfg.seed);
            return Err(error);
        }
    };
    println!("seed {}: {counts:?}", cfg.seed);
    for violation in &violations {
        println!("seed {}: BROKEN {violation}", cfg.seed);
    }
    if violations.is_empty() {
        // What is left behind does no harm.
        let _ = std::fs::remove_dir_all(&cfg.folder);
    } else {
        let plan = Plan::draw(cfg.seed, cfg.size, cfg.length);
        println!(
            "seed {}: {:?}, logs in {}",
            cfg.seed,
            cfg.size,
            cfg.folder.display()
        );
        for step in plan.steps {
            println!("seed {}: {step:?}", cfg.seed);
        }
    }
    Ok(violations.is_empty())
}

async fn prepared(cfg: &SoakConfig) -> Result<Report, SoakError> {
    // Logs and disks of an earlier run of the same seed would mix with those of this one.
    let _ = std::fs::remove_dir_all(&cfg.folder);
    std::fs::create_dir_all(&cfg.folder).map_err(|source| SoakError::Write {
        path: cfg.folder.clone(),
        source,
    })?;
    soak(cfg).await
}

fn config(matches: &ArgMatches, seed: u64, slot: u64) -> SoakConfig {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let mut size = Size::draw(seed);
    if let Ok(agents @ 1..) = usize::try_from(number("agents")) {
        size.agents = agents;
    }
    let binary = matches
        .get_one::<PathBuf>("binary")
        .cloned()
        .unwrap_or_else(beside);
    let folder = matches.get_one::<PathBuf>("folder").cloned();
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join("chestnutfork-soak"));
    SoakConfig {
        binary,
        seed,
        size,
        length: Duration::from_secs(number("length")),
        network: u8::try_from(number("network") + slot).unwrap_or(u8::MAX),
        folder: folder.join(seed.to_string()),
    }
}

/// Returns the path of the program under test in the folder of this one.
fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("chestnutfork")
}
