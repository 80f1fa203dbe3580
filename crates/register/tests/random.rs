//! Randomised runs with fixed seeds; `examples/register_run.rs` runs any range of seeds.

mod sim;

use sim::{Figures, InjectedBug};

const SEEDS: u64 = 60;

/// Guards against double starts, second answers and false "not run" under crashes, partitions and view changes.
#[test]
fn random_run_preserves_outcomes() {
    let mut total = Figures::default();
    for seed in 0..SEEDS {
        match sim::run(seed, InjectedBug::None) {
            Ok(figures) => total.add(&figures),
            Err(message) => panic!("{message}"),
        }
    }
    assert!(
        total.starts > 0 && total.takeovers > 0 && total.lost_registers > 0,
        "{total:?}"
    );
}

/// Guards against checks that do not detect a second run of a job after a takeover.
#[test]
fn random_run_detects_run_after_takeover() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, InjectedBug::RunAfterTakeOver).is_err()));
}

/// Guards against checks that do not detect views that are settled before members have copied the records.
#[test]
fn random_run_detects_settling_without_copies() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, InjectedBug::SettleWithoutCopies).is_err()));
}

/// Guards against "not run" for a started job (found by these seeds).
///
/// The lookup began before its entry had copied the register, or it found a record with two claimants.
#[test]
fn random_run_keeps_lookups_true() {
    for seed in [502, 823, 2275, 9130] {
        if let Err(message) = sim::run(seed, InjectedBug::None) {
            panic!("{message}");
        }
    }
}
