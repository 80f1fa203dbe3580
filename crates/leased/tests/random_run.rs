//! Randomised runs of entries and agents with a fixed set of seeds.

mod sim;

use sim::{Broken, Counts, Sim};

/// Guards against two runs of one task at a time, false refusals and answers without the work, under all faults.
#[test]
fn random_run_keeps_runs_apart() {
    let mut completed = 0;
    let mut late = 0;
    for seed in 0..40 {
        let sim = Sim::run(seed, None);
        assert_eq!(
            sim.violations,
            Vec::<String>::new(),
            "seed {seed}: {:?}",
            sim.counts
        );
        completed += sim.counts.completed;
        late += sim.counts.late_orders;
    }
    // A run in which nothing happens would prove nothing.
    assert!(
        completed > 40 * 100 && late > 40 * 10,
        "{completed} completed, {late} late orders"
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
