//! Fixed set of randomised runs; `examples/random_run.rs` runs as many as one likes.

mod sim;

use sim::{Broken, Figures, Weather};

const SEEDS: u64 = 40;

/// Guards against double starts, false or crossed answers, lost callers and leaked credits under faults.
#[test]
fn random_run_keeps_outcomes() {
    let mut total = Figures::default();
    for seed in 0..SEEDS {
        match sim::run(seed, Broken::Nothing, Weather::Faults) {
            Ok(figures) => total.add(&figures),
            Err(message) => panic!("{message}"),
        }
    }
    assert!(
        total.complete > 0 && total.tasks_may_have_run > 0 && total.not_run > 0,
        "{total:?}"
    );
}

/// Guards against refused dispatches, refusals and incomplete jobs while nothing fails.
#[test]
fn calm_run_completes_every_job() {
    for seed in 0..SEEDS {
        if let Err(message) = sim::run(seed, Broken::Nothing, Weather::Calm) {
            panic!("{message}");
        }
    }
}

/// Guards against checks that no longer notice a dispatch that is repeated without proof.
#[test]
fn random_run_notices_false_proof() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, Broken::FalseProof, Weather::Faults).is_err()));
}

/// Guards against checks that no longer notice a job with two owners.
#[test]
fn random_run_notices_granted_known_job() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, Broken::GrantKnown, Weather::Faults).is_err()));
}

/// Guards against checks that no longer notice an answer with the outputs of other tasks.
#[test]
fn random_run_notices_crossed_answers() {
    assert!((0..SEEDS).any(|seed| sim::run(seed, Broken::CrossedAnswers, Weather::Faults).is_err()));
}
