//! Randomised run of the entry and agent cores with seeded faults.
//!
//! Usage: `leased_random_run --seed N --count K [--scenarios LIST] [--trace LINES] [--broken hasty|lasting]`. LIST names the
//! classes of faults, separated by commas: `standard` (the default), `all`, or the names of `Scenario`. With `--trace`, the
//! run prints the last lines before the end of each run with a violation. With `--broken`, the run injects a defect that the
//! checks must detect: `hasty` shortens the run expiry of entries, `lasting` lengthens the lease of entries on agents.

use std::collections::BTreeMap;
use std::process::ExitCode;

#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{Counts, InjectedDefect, Rule, RunOptions, Scenarios, Sim};

struct Arguments {
    seed: u64,
    count: u64,
    traced_lines: usize,
    options: RunOptions,
}

fn main() -> ExitCode {
    let Some(arguments) = parse(std::env::args().skip(1)) else {
        eprintln!(
            "invalid arguments; expected --seed N, --count K, --scenarios LIST, --trace LINES or --broken hasty|lasting"
        );
        return ExitCode::FAILURE;
    };
    let mut failed = 0;
    let mut total = Counts::default();
    // Number of seeds and smallest seed for each broken rule.
    let mut broken: BTreeMap<Rule, (u64, u64)> = BTreeMap::new();
    for seed in arguments.seed..arguments.seed + arguments.count {
        let run = Sim::run(seed, arguments.options);
        for violation in &run.violations {
            println!("seed {seed}: {violation}");
            broken.entry(violation.rule).or_insert((0, seed)).0 += 1;
        }
        if !run.violations.is_empty() {
            failed += 1;
            let lines: Vec<String> = run.trace.lines().collect();
            for line in lines
                .iter()
                .skip(lines.len().saturating_sub(arguments.traced_lines))
            {
                println!("  {line}");
            }
        }
        total.add(&run.counts);
    }
    for (rule, (seeds, smallest)) in broken {
        println!("{rule:?}: {seeds} seeds, the smallest is {smallest}");
    }
    println!("{} seeds, {failed} failed, {total:?}", arguments.count);
    if failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

fn parse(mut args: impl Iterator<Item = String>) -> Option<Arguments> {
    let mut arguments = Arguments {
        seed: 1,
        count: 100,
        traced_lines: 0,
        options: RunOptions {
            scenarios: Scenarios::standard(),
            defect: None,
            trace: false,
        },
    };
    while let Some(name) = args.next() {
        let value = args.next()?;
        match (name.as_str(), value.as_str()) {
            ("--seed", _) => arguments.seed = value.parse().ok()?,
            ("--count", _) => arguments.count = value.parse().ok()?,
            ("--scenarios", _) => arguments.options.scenarios = Scenarios::parse(&value)?,
            ("--trace", _) => {
                arguments.traced_lines = value.parse().ok()?;
                arguments.options.trace = true;
            }
            ("--broken", "hasty") => arguments.options.defect = Some(InjectedDefect::ShortRunExpiry),
            ("--broken", "lasting") => arguments.options.defect = Some(InjectedDefect::LongEntryLease),
            _ => return None,
        }
    }
    Some(arguments)
}
