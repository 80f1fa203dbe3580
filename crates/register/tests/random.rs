//! Fixed set of randomised runs; `examples/register_run.rs` runs as many as one likes.

mod sim;

use sim::{Broken, Figures};

const SEEDS: u64 = 60;

/// Guards against double starts, second answers and false refusals under crashes, partitions and view changes.
#[test]
fn random_run_keeps_outcomes() {
    let mut total = Figures::default();
    for seed in 0..SEEDS {
        match sim::run(seed, Broken::Nothing) {
            Ok(figures) => total.add(&figures),
            Err(message) => panic!("{message}"),
        }
    }
    assert!(
        total.starts > 0 && total.takeovers > 0 && total.lost_registers > 0,
        "{total:?}"
    );
}

/// Guards against checks that no longer notice a second run after a takeover.
#[test]
fn random_run_notices_run_after_takeover() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, Broken::RunAfterTakeOver).is_err()));
}

/// Guards against checks that no longer notice views that settle without copies.
#[test]
fn random_run_notices_unsettled_views() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, Broken::SettleAtOnce).is_err()));
}

/// Guards against "not run" for a started job: a lookup that began before its entry had copied the register, or that
/// met a record with two claimants (found by these seeds).
#[test]
fn random_run_keeps_lookups_true() {
    for seed in [502, 823, 2275, 9130] {
        if let Err(message) = sim::run(seed, Broken::Nothing) {
            panic!("{message}");
        }
    }
}
