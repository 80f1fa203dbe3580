//! Randomised run over entries and agents: `random_run --seed N --count K [--broken proof|claims|crossed] [--calm]`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{Broken, Figures, Weather};

fn option(name: &str) -> Option<String> {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
}

fn main() {
    let number = |name, default| option(name).map_or(default, |value| value.parse().expect("a number"));
    let (first, count) = (number("--seed", 0), number("--count", 1000));
    let broken = match option("--broken").as_deref() {
        Some("proof") => Broken::FalseProof,
        Some("claims") => Broken::GrantKnown,
        Some("crossed") => Broken::CrossedAnswers,
        _ => Broken::Nothing,
    };
    let calm = std::env::args().any(|arg| arg == "--calm");
    let weather = if calm { Weather::Calm } else { Weather::Faults };
    let mut total = Figures::default();
    let mut failed: u64 = 0;
    for seed in first..first + count {
        match sim::run(seed, broken, weather) {
            Ok(figures) => total.add(&figures),
            Err(message) => {
                failed += 1;
                if failed <= 10 {
                    println!("{message}");
                }
            }
        }
    }
    println!("{count} seeds from {first}, {failed} failed: {total:?}");
    assert_eq!(failed, 0, "invariants do not hold");
}
