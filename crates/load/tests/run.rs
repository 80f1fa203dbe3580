//! Tests that a run detects every kind of incorrect answer, with a fake entry that has one defect at a time.

mod support;

use chestnutfork_load::{
    Arrivals, Distribution, Endpoints, Rate, Report, Resubmissions, Scenario, ScenarioBuilder, run,
};
use chestnutfork_standin::{BehaviourChange, Mode, Target};
use support::{Defect, fake_entry};

const JOBS: u64 = 5;
const TASKS: u64 = 3;

fn scenario() -> ScenarioBuilder {
    Scenario::builder("desk")
        .arrivals(Arrivals::Steady(Rate::JobsPerS(100.0)))
        .max_jobs(JOBS)
        .duration_ms(1_000)
        .job_tasks(Distribution::Fixed(3.0))
        .run_ms(Distribution::Fixed(1.0))
}

async fn run_against(defect: Defect, scenario: ScenarioBuilder) -> Report {
    let targets = vec![Target::builder("t").slots(1_000).start().await.unwrap()];
    let entry = fake_entry(targets[0].address(), defect).await;
    let endpoints = Endpoints {
        entries: vec![entry],
        team_token: "team-token".to_owned(),
    };
    run(&scenario.build().unwrap(), &endpoints, &targets)
        .await
        .unwrap()
}

fn violations(report: &Report) -> Vec<(&'static str, u64)> {
    let violations = report.violations();
    violations
        .iter()
        .map(|violation| (violation.figure, violation.count))
        .collect()
}

/// Guards against reported violations and wrong counts for a correct system.
#[tokio::test]
async fn run_reports_correct_entry() {
    let report = run_against(Defect::None, scenario()).await;
    assert_eq!(violations(&report), []);
    assert_eq!(report.jobs_submitted, JOBS);
    assert_eq!(report.jobs_completed, JOBS);
    assert_eq!(report.tasks_started, JOBS * TASKS);
    assert_eq!(report.wasted_messages, 0);
    assert!(report.response_ratio_p50 >= 1.0, "{report}");
}

/// Guards against second starts of at-most-once tasks that go undetected.
#[tokio::test]
async fn run_detects_double_start() {
    let report = run_against(Defect::DoubleStart, scenario()).await;
    assert_eq!(violations(&report), [("double_starts", JOBS)]);
    assert_eq!(report.wasted.repeated_starts, JOBS);
    assert_eq!(report.wasted_messages, JOBS);
}

/// Guards against reporting repeated starts of an idempotent service as violations.
#[tokio::test]
async fn run_allows_double_start_of_idempotent_task() {
    let report = run_against(Defect::DoubleStart, scenario().at_most_once(false)).await;
    assert_eq!(violations(&report), []);
    assert_eq!(report.wasted_messages, JOBS);
}

/// Guards against answers with missing tasks that go undetected.
#[tokio::test]
async fn run_detects_partial_answer() {
    let report = run_against(Defect::Partial, scenario()).await;
    let expected = [("partial_answers", JOBS), ("unreported_starts", JOBS)];
    assert_eq!(violations(&report), expected);
}

/// Guards against undetected answers whose outcome contradicts the task statuses.
#[tokio::test]
async fn run_detects_false_outcome() {
    let report = run_against(Defect::FalseOutcome, scenario()).await;
    assert_eq!(violations(&report), [("partial_answers", JOBS)]);
}

/// Guards against undetected outputs that belong to another task.
#[tokio::test]
async fn run_detects_crossed_outputs() {
    let report = run_against(Defect::Crossed, scenario()).await;
    assert_eq!(violations(&report), [("crossed_answers", JOBS)]);
}

/// Guards against undetected answers that belong to another job.
#[tokio::test]
async fn run_detects_foreign_answer() {
    let report = run_against(Defect::ForeignId, scenario()).await;
    assert_eq!(violations(&report), [("crossed_answers", JOBS)]);
}

/// Guards against undetected refusals that report a job as not run although it ran.
#[tokio::test]
async fn run_detects_false_refusal() {
    let report = run_against(Defect::FalseRefusal, scenario()).await;
    assert_eq!(violations(&report), [("false_not_run", JOBS * TASKS)]);
    assert_eq!(report.jobs_not_run, JOBS);
    assert_eq!(report.refusals["queue_full"], JOBS);
}

/// Guards against undetected answers that report started tasks as `not_run`.
#[tokio::test]
async fn run_detects_false_not_run() {
    let report = run_against(Defect::FalseNotRun, scenario()).await;
    assert_eq!(violations(&report), [("false_not_run", JOBS * TASKS)]);
    assert_eq!(report.wasted.unused_starts, JOBS * TASKS);
}

/// Guards against undetected answers that report tasks as completed although no target ran them.
#[tokio::test]
async fn run_detects_false_completion() {
    let report = run_against(Defect::FalseCompleted, scenario()).await;
    assert_eq!(violations(&report), [("false_completed", JOBS * TASKS)]);
}

/// Guards against an undetected resubmission whose answer differs. The fake entry also runs the job a second time,
/// which the run reports as double starts.
#[tokio::test]
async fn run_detects_changed_answer() {
    let again = Resubmissions {
        while_running: 0.0,
        after_answer: 1.0,
        delay_ms: Distribution::Fixed(1.0),
    };
    let report = run_against(Defect::ChangedAnswer, scenario().resubmissions(again)).await;
    let expected = [("double_starts", JOBS * TASKS), ("changed_answers", JOBS)];
    assert_eq!(violations(&report), expected);
    assert_eq!(report.resubmissions, JOBS);
}

/// Guards against accepting unreadable replies as answers.
#[tokio::test]
async fn run_detects_unreadable_reply() {
    let report = run_against(Defect::Unreadable, scenario()).await;
    assert_eq!(report.unreadable_replies, JOBS);
    assert_eq!(report.jobs_unanswered, JOBS);
    assert_eq!(report.unreported_starts, JOBS * TASKS);
}

/// Guards against faults of the scenario that are not applied, so that every run measures a system without faults.
#[tokio::test]
async fn run_applies_faults() {
    let change = BehaviourChange {
        mode: Some(Mode::BlackHole),
        ..BehaviourChange::default()
    };
    let fault = chestnutfork_load::Fault {
        at_ms: 0,
        target: 0,
        change,
    };
    let bursts = Arrivals::Bursts {
        rate: Rate::JobsPerS(5.0),
        every_ms: 1_000,
        packed_into: 1.0,
    };
    let report = run_against(Defect::None, scenario().arrivals(bursts).faults(vec![fault])).await;
    assert_eq!(violations(&report), []);
    assert_eq!(report.jobs_failed, report.jobs_submitted);
    // Every start at a target in mode `black_hole` is a wasted message, even though the answer reports its failure.
    assert_eq!(report.wasted.failed_starts, report.tasks_started);
    assert_eq!(report.wasted_messages, report.tasks_started);
}

/// Guards against counting failures that the payload requests as wasted messages.
#[tokio::test]
async fn run_counts_requested_failure_as_used() {
    let mut scenario = scenario().build().unwrap();
    scenario.failing = 1.0;
    let targets = vec![Target::builder("t").start().await.unwrap()];
    let entry = fake_entry(targets[0].address(), Defect::None).await;
    let endpoints = Endpoints {
        entries: vec![entry],
        team_token: "team-token".to_owned(),
    };
    let report = run(&scenario, &endpoints, &targets).await.unwrap();
    assert_eq!(report.jobs_failed, JOBS);
    assert_eq!(report.wasted_messages, 0);
}

/// Guards against plans that differ between runs with the same seed, whose reports would not be comparable.
#[tokio::test]
async fn run_repeats_plan_of_seed() {
    let zero_run_time = || {
        let scenario = scenario().job_tasks(Distribution::Uniform { min: 1.0, max: 50.0 });
        scenario.run_ms(Distribution::Fixed(0.0))
    };
    let first = run_against(Defect::None, zero_run_time().seed(7)).await;
    let second = run_against(Defect::None, zero_run_time().seed(7)).await;
    let other = run_against(Defect::None, zero_run_time().seed(8)).await;
    assert_eq!(first.tasks_submitted, second.tasks_submitted);
    assert_ne!(first.tasks_submitted, other.tasks_submitted);
}
