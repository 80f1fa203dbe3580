//! Randomised runs of entries and agents with a fixed set of seeds.

mod sim;

use sim::{Broken, Counts, Sim};

/// Guards against two runs of one task at a time, false refusals and answers without the work, under all faults.
#[test]
fn random_run_keeps_runs_apart() {
    let mut total = Counts::default();
    for seed in 0..40 {
        let sim = Sim::run(seed, None);
        assert_eq!(
            sim.violations,
            Vec::<String>::new(),
            "seed {seed}: {:?}",
            sim.counts
        );
        total.add(&sim.counts);
    }
    // A run in which nothing happens would prove nothing.
    assert!(
        total.completed > 40 * 100 && total.late_orders > 40 * 10,
        "{total:?}"
    );
}

/// Guards against a check that cannot fail: an entry that does not wait for leases to end is noticed.
#[test]
fn random_run_notices_hasty_entry() {
    let noticed = (0..40).any(|seed| !Sim::run(seed, Some(Broken::HastyEntry)).violations.is_empty());
    assert!(noticed);
}

/// Guards against a check that cannot fail: an agent that keeps runs of lost entries is noticed.
#[test]
fn random_run_notices_lasting_lease() {
    let noticed = (0..40).any(|seed| !Sim::run(seed, Some(Broken::LastingLease)).violations.is_empty());
    assert!(noticed);
}
