//! Load on many entries while a failure domain is evacuated and when it returns, with a model of agents and workers in virtual
//! time.
//!
//! The demand fits all domains, but not those that remain. What does not fit must be refused at once, and the return must not
//! send all entries to the same empty workers.

mod load;

use std::sync::LazyLock;
use std::time::Duration;

use chestnutfork_broker::RefusalReason;
use load::{
    BEGIN, END, EVACUATED_AT, PROPAGATION_DELAY, RECOVERED_AT, RETURNED_AT, Sim, is_bound, objective,
};

/// The run that all tests examine; it is deterministic.
static SIM: LazyLock<Sim> = LazyLock::new(Sim::run);

/// Guards against starts in an evacuated domain once its agents and the entries know, and against refusals of jobs that ran.
#[test]
fn evacuation_under_load_keeps_domain_empty() {
    let sim = &*SIM;
    let known = EVACUATED_AT + PROPAGATION_DELAY;
    let during = sim
        .starts_in_domain
        .iter()
        .filter(|&&at| at > known && at < RETURNED_AT);
    assert_eq!(during.count(), 0);
    assert!(sim.starts_in_domain.iter().any(|&at| at < EVACUATED_AT));
    assert!(
        sim.refused
            .iter()
            .all(|refused| !sim.started.contains(&refused.job))
    );
}

/// Guards against demand that no longer fits and that waits until its callers give up: jobs that fit only the evacuated domain are
/// refused on arrival, and of the others, which are too many, each is refused before its objective passes.
#[test]
fn evacuation_under_load_refuses_at_once_what_does_not_fit() {
    let sim = &*SIM;
    let known = EVACUATED_AT + PROPAGATION_DELAY;
    let (mut bound, mut others) = (0, 0);
    for refused in &sim.refused {
        let (submitted_at, kind) = sim.submitted[&u64::try_from(refused.job).expect("few jobs")];
        let submitted = submitted_at - sim.start;
        if is_bound(refused.job) && submitted > known && submitted < RETURNED_AT {
            bound += 1;
            assert_eq!(
                (refused.reason, refused.waited),
                (RefusalReason::Evacuated, Duration::ZERO)
            );
        } else if !is_bound(refused.job) {
            others += 1;
            assert_ne!(refused.reason, RefusalReason::Evacuated);
            assert!(refused.waited < objective(kind), "{refused:?}");
        }
    }
    let bound_jobs = sim.submitted.iter().filter(|&(&job, (at, _))| {
        let at = *at - sim.start;
        is_bound(u128::from(job)) && at > known && at < RETURNED_AT
    });
    assert_eq!(bound, bound_jobs.count());
    assert!(others > 0, "the demand does not exceed the capacity");
    let after = sim
        .refused
        .iter()
        .filter(|refused| refused.at > RETURNED_AT + PROPAGATION_DELAY);
    assert!(
        after
            .clone()
            .all(|refused| refused.reason != RefusalReason::Evacuated)
    );
}

/// Guards against a stampede on a domain that returns: in the first second full workers of the domain refuse less than 5% of the
/// tasks that are ordered from them, and soon after it the deployment serves as before.
#[test]
fn return_under_load_causes_no_stampede() {
    let sim = &*SIM;
    let (ordered, refused) = sim.after_return;
    println!("{ordered} ordered, {refused} refused, {:?}", sim.counts);
    assert!(ordered > 0);
    assert!(refused * 20 < ordered, "{refused} of {ordered} orders refused");
    let rate = |from: Duration, to: Duration| {
        let seconds = |at: Duration| usize::try_from(at.as_secs()).expect("short");
        let counts = &sim.counts[seconds(from)..seconds(to)];
        counts
            .iter()
            .map(|counts| counts.completed - counts.late)
            .sum::<u64>()
    };
    let (before, after) = (
        rate(BEGIN + Duration::from_secs(1), EVACUATED_AT),
        rate(RECOVERED_AT, END),
    );
    assert!(
        after * 10 > before * 9,
        "{after} jobs a second in time after {before}"
    );
}
