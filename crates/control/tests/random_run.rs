//! Fixed set of seeds of the randomised run; `examples/control_random_run.rs` runs any others.

#[path = "group/chaos.rs"]
mod chaos;
mod group;

const SEEDS: std::ops::Range<u64> = 1..21;

/// Guards against two winners of a base, changed verdicts, stale confirmations and groups that do not recover.
#[test]
fn run_seed_faults_keep_rules() {
    for seed in SEEDS {
        let outcome = chaos::run_seed(seed);
        assert_eq!(outcome.violations, Vec::<String>::new(), "seed {seed}");
        assert!(outcome.recovered, "seed {seed}\n{}", outcome.state);
        assert!(outcome.counts.accepted > 0 && outcome.counts.confirmations > 0);
    }
}
