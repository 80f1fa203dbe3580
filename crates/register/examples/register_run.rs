//! Randomised run over the register: `register_run --seed N --count K [--broken takeover|settle]`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use sim::{Broken, Figures};

fn option(name: &str) -> Option<String> {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
}

fn main() {
    let number = |name, default| option(name).map_or(default, |value| value.parse().expect("a number"));
    let (first, count) = (number("--seed", 0), number("--count", 1000));
    let broken = match option("--broken").as_deref() {
        Some("takeover") => Broken::RunAfterTakeOver,
        Some("settle") => Broken::SettleAtOnce,
        _ => Broken::Nothing,
    };
    let mut total = Figures::default();
    let mut failed: u64 = 0;
    for seed in first..first + count {
        match sim::run(seed, broken) {
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
