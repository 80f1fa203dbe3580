//! Randomised run of the entry and agent cores with seeded faults.
//!
//! Usage: `leased_random_run --seed N --count K [--broken hasty|lasting] [--scenarios standard|reuse]`. With `--broken`, the run injects a defect that the
//! checks must detect: `hasty` shortens the run expiry of entries, `lasting` lengthens the lease of entries on agents.

use std::process::ExitCode;

#[path = "../tests/sim/mod.rs"]
mod sim;

fn main() -> ExitCode {
    let mut seed = 1;
    let mut count = 100;
    let mut defect = None;
    let mut scenarios = sim::Scenarios::of(&[sim::Scenario::Standard]);
    let mut args = std::env::args().skip(1);
    while let Some(name) = args.next() {
        let value = args.next().unwrap_or_default();
        match (name.as_str(), value.as_str(), value.parse().ok()) {
            ("--seed", _, Some(value)) => seed = value,
            ("--count", _, Some(value)) => count = value,
            ("--broken", "hasty", _) => defect = Some(sim::InjectedDefect::ShortRunExpiry),
            ("--broken", "lasting", _) => defect = Some(sim::InjectedDefect::LongEntryLease),
            ("--scenarios", "reuse", _) => scenarios = sim::Scenarios::of(&[sim::Scenario::NameReuse]),
            ("--scenarios", "standard", _) => {}
            _ => {
                eprintln!("invalid argument {name}; expected --seed N, --count K or --broken hasty|lasting");
                return ExitCode::FAILURE;
            }
        }
    }
    let mut failed = 0;
    let mut total = sim::Counts::default();
    for seed in seed..seed + count {
        let run = sim::Sim::run(seed, defect, scenarios);
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
