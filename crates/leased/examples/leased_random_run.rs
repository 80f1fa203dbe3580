//! Randomised run of the entry and agent cores with seeded faults.
//!
//! Usage: `leased_random_run --seed N --count K [--broken hasty|lasting] [--jobs crashing]`. With `--broken`, the run injects
//! a defect that the checks must detect: `hasty` shortens the run expiry of entries, `lasting` lengthens the lease of entries
//! on agents. With `--jobs crashing`, some jobs have a task that crashes each worker that starts it.

use std::process::ExitCode;

#[path = "../tests/sim/mod.rs"]
mod sim;

fn main() -> ExitCode {
    let mut seed = 1;
    let mut count = 100;
    let mut defect = None;
    let mut crashing_jobs = false;
    let mut args = std::env::args().skip(1);
    while let Some(name) = args.next() {
        let value = args.next().unwrap_or_default();
        match (name.as_str(), value.as_str(), value.parse().ok()) {
            ("--seed", _, Some(value)) => seed = value,
            ("--count", _, Some(value)) => count = value,
            ("--broken", "hasty", _) => defect = Some(sim::InjectedDefect::ShortRunExpiry),
            ("--broken", "lasting", _) => defect = Some(sim::InjectedDefect::LongEntryLease),
            ("--jobs", "crashing", _) => crashing_jobs = true,
            _ => {
                eprintln!(
                    "invalid argument {name}; expected --seed N, --count K, --broken hasty|lasting or --jobs crashing"
                );
                return ExitCode::FAILURE;
            }
        }
    }
    let mut failed = 0;
    let mut total = sim::Counts::default();
    for seed in seed..seed + count {
        let run = if crashing_jobs {
            sim::Sim::run_with_crashing_jobs(seed)
        } else {
            sim::Sim::run(seed, defect)
        };
        for violation in &run.violations {
            println!("seed {seed}: {violation}");
        }
        failed += u64::from(!run.violations.is_empty());
        total.add(&run.counts);
    }
    println!("{count} seeds, {failed} failed, {total:?}");
    if failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
