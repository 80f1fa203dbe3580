//! Checks that a run detects every kind of false answer, against a fake entry that lies in one way.

mod support;

use chestnutfork_load::{
    Arrivals, Distribution, Endpoints, Rate, Report, Resubmissions, Scenario, ScenarioBuilder, run,
};
use chestnutfork_standin::{BehaviourChange, Mode, Target};
use support::{Lie, fake_entry};

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

async fn run_against(lie: Lie, scenario: ScenarioBuilder) -> Report {
    let targets = vec![Target::builder("t").slots(1_000).start().await.unwrap()];
    let entry = fake_entry(targets[0].address(), lie).await;
    let endpoints = Endpoints {
        entries: vec![entry],
        team_token: "team-token".to_owned(),
    };
    run(&scenario.build().unwrap(), &endpoints, &targets)
        .await
        .unwrap()
}

fn broken(report: &Report) -> Vec<(&'static str, u64)> {
    let broken = report.violations();
    broken
        .iter()
        .map(|broken| (broken.figure, broken.count))
        .collect()
}

/// Guards against false alarms and miscounted work of a truthful system.
#[tokio::test]
async fn run_reports_truthful_entry() {
    let report = run_against(Lie::None, scenario()).await;
    assert_eq!(broken(&report), []);
    assert_eq!(report.jobs_submitted, JOBS);
    assert_eq!(report.jobs_completed, JOBS);
    assert_eq!(report.tasks_started, JOBS * TASKS);
    assert_eq!(report.wasted_messages, 0);
    assert!(report.response_ratio_p50 >= 1.0, "{report}");
}

/// Guards against a second start that nobody notices.
#[tokio::test]
async fn run_detects_double_start() {
    let report = run_against(Lie::DoubleStart, scenario()).await;
    assert_eq!(broken(&report), [("double_starts", JOBS)]);
    assert_eq!(report.wasted.repeated_starts, JOBS);
    assert_eq!(report.wasted_messages, JOBS);
}

/// Guards against counting the repeats of an idempotent service as broken promises.
#[tokio::test]
async fn run_allows_double_start_of_idempotent_task() {
    let report = run_against(Lie::DoubleStart, scenario().at_most_once(false)).await;
    assert_eq!(broken(&report), []);
    assert_eq!(report.wasted_messages, JOBS);
}

/// Guards against answers that lack tasks.
#[tokio::test]
async fn run_detects_partial_answer() {
    let report = run_against(Lie::Partial, scenario()).await;
    let expected = [("partial_answers", JOBS), ("unreported_starts", JOBS)];
    assert_eq!(broken(&report), expected);
}

/// Guards against answers whose outcome contradicts their statuses.
#[tokio::test]
async fn run_detects_false_outcome() {
    let report = run_against(Lie::FalseOutcome, scenario()).await;
    assert_eq!(broken(&report), [("partial_answers", JOBS)]);
}

/// Guards against outputs that belong to another task.
#[tokio::test]
async fn run_detects_crossed_outputs() {
    let report = run_against(Lie::Crossed, scenario()).await;
    assert_eq!(broken(&report), [("crossed_answers", JOBS)]);
}

/// Guards against answers that belong to another job.
#[tokio::test]
async fn run_detects_foreign_answer() {
    let report = run_against(Lie::ForeignId, scenario()).await;
    assert_eq!(broken(&report), [("crossed_answers", JOBS)]);
}

/// Guards against refusals as not run of jobs that did run.
#[tokio::test]
async fn run_detects_false_refusal() {
    let report = run_against(Lie::FalseRefusal, scenario()).await;
    assert_eq!(broken(&report), [("false_not_run", JOBS * TASKS)]);
    assert_eq!(report.jobs_not_run, JOBS);
    assert_eq!(report.refusals["queue_full"], JOBS);
}

/// Guards against answers that hide starts behind `not_run`.
#[tokio::test]
async fn run_detects_false_not_run() {
    let report = run_against(Lie::FalseNotRun, scenario()).await;
    assert_eq!(broken(&report), [("false_not_run", JOBS * TASKS)]);
    assert_eq!(report.wasted.unused_starts, JOBS * TASKS);
}

/// Guards against completed tasks that no target ran.
#[tokio::test]
async fn run_detects_false_completion() {
    let report = run_against(Lie::FalseCompleted, scenario()).await;
    assert_eq!(broken(&report), [("false_completed", JOBS * TASKS)]);
}

/// Guards against a resubmission that gets another answer; the fake entry also runs the job again.
#[tokio::test]
async fn run_detects_changed_answer() {
    let again = Resubmissions {
        while_running: 0.0,
        after_answer: 1.0,
        delay_ms: Distribution::Fixed(1.0),
    };
    let report = run_against(Lie::ChangedAnswer, scenario().resubmissions(again)).await;
    let expected = [("double_starts", JOBS * TASKS), ("changed_answers", JOBS)];
    assert_eq!(broken(&report), expected);
    assert_eq!(report.resubmissions, JOBS);
}

/// Guards against replies without meaning that pass as answers.
#[tokio::test]
async fn run_detects_unreadable_reply() {
    let report = run_against(Lie::Unreadable, scenario()).await;
    assert_eq!(report.unreadable_replies, JOBS);
    assert_eq!(report.jobs_unanswered, JOBS);
    assert_eq!(report.unreported_starts, JOBS * TASKS);
}

/// Guards against faults that are not applied, which would make every run look calm.
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
    let late = Arrivals::Bursts {
        rate: Rate::JobsPerS(5.0),
        every_ms: 1_000,
        packed_into: 1.0,
    };
    let report = run_against(Lie::None, scenario().arrivals(late).faults(vec![fault])).await;
    assert_eq!(broken(&report), []);
    assert_eq!(report.jobs_failed, report.jobs_submitted);
    // Every start at a black hole is a wasted message, even though its failure is reported.
    assert_eq!(report.wasted.failed_starts, report.tasks_started);
    assert_eq!(report.wasted_messages, report.tasks_started);
}

/// Guards against counting failures that the payload asks for as wasted messages.
#[tokio::test]
async fn run_counts_intended_failure_as_used() {
    let mut scenario = scenario().build().unwrap();
    scenario.failing = 1.0;
    let targets = vec![Target::builder("t").start().await.unwrap()];
    let entry = fake_entry(targets[0].address(), Lie::None).await;
    let endpoints = Endpoints {
        entries: vec![entry],
        team_token: "team-token".to_owned(),
    };
    let report = run(&scenario, &endpoints, &targets).await.unwrap();
    assert_eq!(report.jobs_failed, JOBS);
    assert_eq!(report.wasted_messages, 0);
}

/// Guards against plans that differ between runs with one seed, which could not be compared.
#[tokio::test]
async fn run_repeats_plan_of_seed() {
    let instant = || {
        let scenario = scenario().job_tasks(Distribution::Uniform { min: 1.0, max: 50.0 });
        scenario.run_ms(Distribution::Fixed(0.0))
    };
    let first = run_against(Lie::None, instant().seed(7)).await;
    let second = run_against(Lie::None, instant().seed(7)).await;
    let other = run_against(Lie::None, instant().seed(8)).await;
    assert_eq!(first.tasks_submitted, second.tasks_submitted);
    assert_ne!(first.tasks_submitted, other.tasks_submitted);
}
