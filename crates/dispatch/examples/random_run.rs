//! Runs the simulation of entries and agents for a range of seeds.
//!
//! Usage: `random_run --seed N --count K [--broken proof|claims|crossed] [--calm]`. `--broken` injects a mutation that
//! the checks must detect; `--calm` injects no faults.

#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{FaultMode, Mutation, Stats};

fn option(name: &str) -> Option<String> {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
}

fn main() {
    let number = |name, default| option(name).map_or(default, |value| value.parse().expect("a number"));
    let (first, count) = (number("--seed", 0), number("--count", 1000));
    let mutation = match option("--broken").as_deref() {
        Some("proof") => Mutation::FalseNeverStarted,
        Some("claims") => Mutation::GrantKnownJob,
        Some("crossed") => Mutation::CrossedAnswers,
        _ => Mutation::None,
    };
    let fault_free = std::env::args().any(|arg| arg == "--calm");
    let fault_mode = if fault_free {
        FaultMode::None
    } else {
        FaultMode::Injected
    };
    let mut total = Stats::default();
    let mut failed: u64 = 0;
    for seed in first..first + count {
        match sim::run(seed, mutation, fault_mode) {
            Ok(stats) => total.add(&stats),
            Err(message) => {
                failed += 1;
                if failed <= 10 {
                    println!("{message}");
                }
            }
        }
    }
    println!("{count} seeds from {first}, {failed} failed: {total:?}");
    assert_eq!(failed, 0, "some seeds violated an invariant");
}
