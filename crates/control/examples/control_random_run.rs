//! Randomised runs of the control core with seeded faults.
//!
//! Usage: `control_random_run --seed N --count K`.

use std::process::ExitCode;

#[path = "../tests/group/chaos.rs"]
mod chaos;
#[path = "../tests/group/mod.rs"]
mod group;

fn main() -> ExitCode {
    let mut seed = 1;
    let mut count = 100;
    let mut args = std::env::args().skip(1);
    while let Some(name) = args.next() {
        let value = args.next().and_then(|value| value.parse().ok());
        match (name.as_str(), value) {
            ("--seed", Some(value)) => seed = value,
            ("--count", Some(value)) => count = value,
            _ => {
                eprintln!("unknown argument {name}; use --seed and --count with numbers");
                return ExitCode::FAILURE;
            }
        }
    }
    let mut failed = 0;
    let mut total = chaos::Counts::default();
    for seed in seed..seed + count {
        let outcome = chaos::run_seed(seed);
        for violation in &outcome.violations {
            println!("seed {seed}: {violation}");
        }
        if !outcome.recovered {
            println!(
                "seed {seed}: the group did not recover after all faults ended\n{}",
                outcome.state
            );
        }
        failed += u64::from(!outcome.violations.is_empty() || !outcome.recovered);
        add(&mut total, outcome.counts);
    }
    println!("seeds {count}, failed {failed}, {total:?}");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn add(total: &mut chaos::Counts, one: chaos::Counts) {
    total.accepted += one.accepted;
    total.conflicts += one.conflicts;
    total.resends += one.resends;
    total.confirmations += one.confirmations;
    total.restarts += one.restarts;
    total.replacements += one.replacements;
    total.full_disks += one.full_disks;
}
