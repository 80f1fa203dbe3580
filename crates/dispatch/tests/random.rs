//! Simulation of a fixed set of seeds; `examples/random_run.rs` runs any others.

mod sim;

use sim::{FaultMode, Mutation, Stats};

const SEEDS: u64 = 40;

/// Guards against repeated starts, false or crossed answers, missing replies and leaked credits under faults.
#[test]
fn random_run_keeps_outcomes() {
    let mut total = Stats::default();
    for seed in 0..SEEDS {
        match sim::run(seed, Mutation::None, FaultMode::Injected) {
            Ok(stats) => total.add(&stats),
            Err(message) => panic!("{message}"),
        }
    }
    assert!(
        total.complete_answers > 0 && total.tasks_may_have_run > 0 && total.refusals_not_run > 0,
        "{total:?}"
    );
}

/// Guards against refused dispatches, refusals and incomplete jobs while no fault is injected.
#[test]
fn fault_free_run_completes_every_job() {
    for seed in 0..SEEDS {
        if let Err(message) = sim::run(seed, Mutation::None, FaultMode::None) {
            panic!("{message}");
        }
    }
}

/// Guards against checks that fail to detect a task dispatched again without proof that it did not start.
#[test]
fn random_run_detects_false_never_started() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, Mutation::FalseNeverStarted, FaultMode::Injected).is_err()));
}

/// Guards against checks that fail to detect a job with two owners.
#[test]
fn random_run_detects_granted_known_job() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, Mutation::GrantKnownJob, FaultMode::Injected).is_err()));
}

/// Guards against checks that fail to detect an answer with the outputs of other tasks.
#[test]
fn random_run_detects_crossed_answers() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, Mutation::CrossedAnswers, FaultMode::Injected).is_err()));
}
