//! Randomised run of the entry and agent cores with seeded faults.
//!
//! Usage: `leased_random_run --seed N --count K [--broken hasty|lasting]`; a broken rule has to be noticed.

use std::process::ExitCode;

#[path = "../tests/sim/mod.rs"]
mod sim;

fn main() -> ExitCode {
    let mut seed = 1;
    let mut count = 100;
    let mut broken = None;
    let mut args = std::env::args().skip(1);
    while let Some(name) = args.next() {
        let value = args.next().unwrap_or_default();
        match (name.as_str(), value.as_str(), value.parse().ok()) {
            ("--seed", _, Some(value)) => seed = value,
            ("--count", _, Some(value)) => count = value,
            ("--broken", "hasty", _) => broken = Some(sim::Broken::HastyEntry),
            ("--broken", "lasting", _) => broken = Some(sim::Broken::LastingLease),
            _ => {
                eprintln!("unknown argument {name}; use --seed and --count with numbers");
                return ExitCode::FAILURE;
            }
        }
    }
    let mut failed = 0;
    let mut total = sim::Counts::default();
    for seed in seed..seed + count {
        let run = sim::Sim::run(seed, broken);
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
