//! Randomised runs of the register: `register_run --seed N --count K [--broken takeover|settle]`.
//!
//! `--broken` injects a bug that the checks must detect.

#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{Figures, InjectedBug};

fn option(name: &str) -> Option<String> {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
}

fn main() {
    let parse = |name, default| option(name).map_or(default, |value| value.parse().expect("a number"));
    let (first, count) = (parse("--seed", 0), parse("--count", 1000));
    let bug = match option("--broken").as_deref() {
        Some("takeover") => InjectedBug::RunAfterTakeOver,
        Some("settle") => InjectedBug::SettleWithoutCopies,
        _ => InjectedBug::None,
    };
    let mut total = Figures::default();
    let mut failed: u64 = 0;
    for seed in first..first + count {
        match sim::run(seed, bug) {
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
