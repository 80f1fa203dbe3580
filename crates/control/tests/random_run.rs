//! Randomised run with a fixed set of seeds; `examples/control_random_run.rs` runs others.

#[path = "group/chaos.rs"]
mod chaos;
mod group;

const SEEDS: std::ops::Range<u64> = 1..21;

/// Guards against two accepted patches with one base version, changed verdicts, stale confirmations, and groups that do
/// not recover after faults.
#[test]
fn run_seed_faults_uphold_invariants() {
    for seed in SEEDS {
        let outcome = chaos::run_seed(seed);
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.recovered, "seed {seed}\n{}", outcome.state);
        assert!(outcome.counts.accepted > 0 && outcome.counts.confirmations > 0);
    }
}
