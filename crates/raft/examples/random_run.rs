//! Randomized runs of the Raft state machine with seeded faults.
//!
//! Usage: `random_run --seed N --count K [--break vote-twice|send-before-sync]`.

use std::process::ExitCode;

#[path = "../tests/sim/chaos.rs"]
mod chaos;
#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::InjectedBug;

fn main() -> ExitCode {
    let mut seed = 1;
    let mut count = 100;
    let mut injected_bug = InjectedBug::None;
    let mut args = std::env::args().skip(1);
    while let Some(name) = args.next() {
        let value = args.next().unwrap_or_default();
        match (name.as_str(), value.as_str()) {
            ("--seed", value) => seed = value.parse().unwrap_or(seed),
            ("--count", value) => count = value.parse().unwrap_or(count),
            ("--break", "vote-twice") => injected_bug = InjectedBug::VoteTwice,
            ("--break", "send-before-sync") => injected_bug = InjectedBug::SendBeforeSync,
            _ => {
                eprintln!("unknown argument {name} {value}; use --seed, --count or --break");
                return ExitCode::FAILURE;
            }
        }
    }
    run(seed, count, injected_bug)
}

fn run(seed: u64, count: u64, injected_bug: InjectedBug) -> ExitCode {
    let mut total = sim::Counts::default();
    let mut failed = 0;
    for seed in seed..seed + count {
        let outcome = chaos::run_seed(seed, injected_bug);
        add(&mut total, outcome.counts);
        for violation in &outcome.violations {
            println!("seed {seed}: {violation}");
        }
        if outcome.violations.is_empty() && !outcome.recovered {
            println!(
                "seed {seed}: not recovered after the end of all faults\n{}",
                outcome.state
            );
        }
        failed += u64::from(!outcome.violations.is_empty() || !outcome.recovered);
    }
    println!("seeds {count}, failed {failed}, {total:?}");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn add(total: &mut sim::Counts, one: sim::Counts) {
    total.steps += one.steps;
    total.committed += one.committed;
    total.leaders += one.leaders;
    total.crashes += one.crashes;
    total.restores += one.restores;
    total.replacements += one.replacements;
    total.storage_failures += one.storage_failures;
    total.confirmed += one.confirmed;
    total.reads += one.reads;
}
