//! Randomised runs of entries and agents with a fixed set of seeds.

mod sim;

use sim::{Counts, InjectedDefect, Scenario, Scenarios, Sim};

/// Guards against concurrent runs of one task, refusals of jobs that have started, and jobs reported as completed before
/// all their tasks are, under all simulated faults.
#[test]
fn random_run_prevents_concurrent_runs() {
    let mut total = Counts::default();
    for seed in 0..40 {
        let sim = Sim::run(seed, None, Scenarios::of(&[Scenario::Standard]));
        assert_eq!(
            sim.violations,
            Vec::<String>::new(),
            "seed {seed}: {:?}",
            sim.counts
        );
        total.add(&sim.counts);
    }
    // The checks are only meaningful if jobs complete and orders arrive late.
    assert!(
        total.completed > 40 * 100 && total.late_orders > 40 * 10,
        "{total:?}"
    );
}

/// Guards against checks that cannot fail: an entry that does not wait for leases to expire must be detected.
#[test]
fn random_run_detects_short_run_expiry() {
    let detected = (0..40).any(|seed| {
        !Sim::run(
            seed,
            Some(InjectedDefect::ShortRunExpiry),
            Scenarios::of(&[Scenario::Standard]),
        )
        .violations
        .is_empty()
    });
    assert!(detected);
}

/// Guards against checks that cannot fail: an agent that keeps running the tasks of lost entries must be detected.
#[test]
fn random_run_detects_long_entry_lease() {
    let detected = (0..40).any(|seed| {
        !Sim::run(
            seed,
            Some(InjectedDefect::LongEntryLease),
            Scenarios::of(&[Scenario::Standard]),
        )
        .violations
        .is_empty()
    });
    assert!(detected);
}

/// Guards against reporting runs as lost that a new incarnation of the worker has started under its former name.
#[test]
fn reused_name_prevents_concurrent_runs() {
    let mut total = Counts::default();
    for seed in 0..40 {
        let sim = Sim::run(seed, None, Scenarios::of(&[Scenario::NameReuse]));
        assert_eq!(
            sim.violations,
            Vec::<String>::new(),
            "seed {seed}: {:?}",
            sim.counts
        );
        total.add(&sim.counts);
    }
    assert!(
        total.name_reuses > 40 && total.orders_before_announcement > 40,
        "{total:?}"
    );
}
