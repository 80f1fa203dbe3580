//! Tests of the entry core, driven by single events in virtual time.

mod entry;

use chestnutfork_broker::{
    Action, Answer, Event, JobState, JobSubmission, Notice, RefusalReason, Request, RequestKind, StepSpec,
};
use chestnutfork_routes::RouteTable;
use chestnutfork_types::{
    AttemptKey, EndedRun, EntryToWorker, RecordedAttempt, Resources, RunOutcome, WorkerDescription,
    WorkerLoad, WorkerToEntry,
};
use entry::{Entry, RUN_EXPIRY, millis, request, submission, table};

/// Guards against an answer before all tasks have completed, and against a second answer.
#[test]
fn submit_answers_when_all_tasks_completed() {
    let mut entry = Entry::with_workers(2);
    entry.submit(9, 1, 3);
    let attempts = entry.attempts();
    assert_eq!(attempts.len(), 3);
    for &(link, key) in &attempts[..2] {
        entry.end_attempt(link, key, RunOutcome::Completed);
    }
    assert_eq!(entry.answers(), []);
    let (link, key) = attempts[2];
    entry.end_attempt(link, key, RunOutcome::Completed);
    entry.end_attempt(link, key, RunOutcome::Completed);
    assert_eq!(entry.answers(), [(9, Answer::State(JobState::Completed))]);
}

/// Guards against running a job again because its answer was lost in transit.
#[test]
fn submit_repeats_answer() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 1);
    let (link, key) = entry.attempts()[0];
    entry.end_attempt(link, key, RunOutcome::Completed);
    entry.submit(2, 1, 1);
    assert_eq!(entry.attempts().len(), 1);
    assert_eq!(entry.answers()[1], (2, Answer::State(JobState::Completed)));
}

/// Guards against concurrent attempts at a task after its caller disconnected and resubmitted the job.
#[test]
fn resubmission_waits_for_former_attempt() {
    let mut entry = Entry::with_workers(2);
    entry.submit(1, 1, 1);
    let (link, key) = entry.attempts()[0];
    entry.handle(Event::CallerDisconnected { ticket: 1 });
    assert_eq!(entry.stops(), 1);
    entry.submit(2, 1, 1);
    assert_eq!(entry.attempts().len(), 1);
    entry.end_attempt(link, key, RunOutcome::Stopped);
    let attempts = entry.attempts();
    assert_eq!(attempts.len(), 2);
    assert!(attempts[1].1.attempt > key.attempt);
}

/// Guards against starting a task on another worker while the worker of a disconnected agent may still run it.
#[test]
fn disconnected_agent_retains_task_until_expiry() {
    let mut entry = Entry::with_workers(2);
    entry.submit(1, 1, 1);
    let (link, _) = entry.attempts()[0];
    let other = 3 - link;
    entry.handle(Event::AgentDown { link });
    entry.advance_to(RUN_EXPIRY.saturating_sub(millis(25)), &[other]);
    assert_eq!(entry.attempts().len(), 1);
    entry.advance_to(RUN_EXPIRY + millis(50), &[other]);
    let attempts = entry.attempts();
    assert_eq!(attempts.len(), 2);
    assert_eq!(attempts[1].0, other);
}

/// Guards against a stop order that is lost with its link; the `Reconcile` message on the next link must repeat it.
#[test]
fn reconcile_names_attempts_to_stop() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 2);
    let keys: Vec<AttemptKey> = entry.attempts().into_iter().map(|(_, key)| key).collect();
    entry.handle(Event::AgentDown { link: 1 });
    entry.handle(Event::CallerDisconnected { ticket: 1 });
    entry.actions.clear();
    entry.connect(1);
    let listed = entry.actions.iter().find_map(|action| match action {
        Action::ToAgent(_, EntryToWorker::Reconcile { keep, stop }) => Some((keep.clone(), stop.clone())),
        _ => None,
    });
    let keys = keys.into_iter().map(|key| RecordedAttempt {
        key,
        resources: Some(submission(1).steps[0].resources),
    });
    assert_eq!(listed, Some((Vec::new(), keys.collect())));
}

/// Guards against a message that an agent of an earlier version cannot decode, which would close its link.
#[test]
fn reconcile_states_no_resources_to_earlier_versions() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 1);
    entry.handle(Event::AgentDown { link: 1 });
    entry.actions.clear();
    entry.handle(Event::AgentUp {
        link: 2,
        agent: "agent-1".to_owned(),
        process: 1,
    });
    entry.receive(
        2,
        WorkerToEntry::Describe(WorkerDescription::default(), Vec::new()),
    );
    entry.receive(
        2,
        WorkerToEntry::Describe(WorkerDescription::default(), Vec::new()),
    );
    let listed = entry.actions.iter().filter_map(|action| match action {
        Action::ToAgent(2, EntryToWorker::Reconcile { keep, .. }) => Some(keep.clone()),
        _ => None,
    });
    let listed: Vec<_> = listed.flatten().map(|recorded| recorded.resources).collect();
    assert_eq!(listed, [None], "the attempt is listed once on the link");
}

/// Guards against answering `failed` for a job that timed out before any task failed as often as the route allows.
#[test]
fn deadline_times_out_placed_job() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 1);
    entry.advance_to(millis(2_050), &[1]);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
    assert!(entry.stops() >= 1);
}

/// Guards against retrying a task that always fails forever, and against failing its job before the limit is reached.
#[test]
fn failures_end_job_at_limit() {
    let mut entry = Entry::with_workers(2);
    entry.submit(1, 1, 1);
    let (link, key) = entry.attempts()[0];
    entry.end_attempt(link, key, RunOutcome::Failed);
    assert_eq!(entry.answers(), []);
    let (link, key) = entry.attempts()[1];
    entry.end_attempt(link, key, RunOutcome::Failed);
    assert_eq!(entry.answers(), [(1, Answer::State(JobState::Failed))]);
}

/// Guards against retrying a task on the worker where it has just failed.
#[test]
fn retry_avoids_failed_worker() {
    let mut entry = Entry::with_workers(3);
    entry.submit(1, 1, 1);
    let (link, key) = entry.attempts()[0];
    entry.end_attempt(link, key, RunOutcome::Failed);
    assert_ne!(entry.attempts()[1].0, link);
}

/// Guards against refusing a job, which implies that nothing ran, after one of its tasks was ordered.
#[test]
fn overload_refuses_before_any_start() {
    let mut entry = Entry::with_workers(1);
    for job in 1..=12_u64 {
        entry.submit(job, u128::from(job), 4);
    }
    entry.advance_to(millis(400), &[]);
    let started: Vec<u128> = entry.attempts().iter().map(|(_, key)| key.task.job).collect();
    let refused = entry.answers();
    assert!(!refused.is_empty());
    for (ticket, answer) in refused {
        let overloaded = matches!(
            answer,
            Answer::Refused {
                reason: RefusalReason::Overloaded,
                ..
            }
        );
        assert!(
            overloaded && !started.contains(&u128::from(ticket)),
            "{ticket}: {answer:?}"
        );
    }
}

/// Guards against ordering more tasks than a worker has capacity for between two of its reports.
#[test]
fn placement_counts_orders_not_reported_yet() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 3);
    entry.submit(2, 2, 3);
    assert_eq!(entry.attempts().len(), 4);
}

/// Guards against accepting durable, long-running or gang-scheduled jobs, which are not supported.
#[test]
fn unsupported_jobs_are_refused() {
    let long_running = JobSubmission {
        long_running: true,
        ..submission(1)
    };
    let durable = JobSubmission {
        durable: true,
        ..submission(1)
    };
    let mut gang = submission(2);
    gang.steps[0].gang = true;
    let mut entry = Entry::with_workers(1);
    for (ticket, submission) in (1..).zip([long_running, durable, gang]) {
        let request = request(u128::from(ticket), RequestKind::Submit(submission));
        entry.request(ticket, request);
    }
    assert_eq!(entry.attempts(), []);
    let unsupported = |(_, answer): &(u64, Answer)| {
        matches!(
            answer,
            Answer::Refused {
                reason: RefusalReason::Unsupported,
                ..
            }
        )
    };
    assert_eq!(
        entry
            .answers()
            .iter()
            .filter(|answer| unsupported(answer))
            .count(),
        3
    );
}

/// Guards against starting a step before the step that it depends on has completed.
#[test]
fn step_waits_for_former_step() {
    let mut entry = Entry::with_workers(1);
    let mut chained = submission(1);
    let second = StepSpec {
        depends_on: vec![0],
        ..chained.steps[0].clone()
    };
    chained.steps.push(second);
    let request = request(1, RequestKind::Submit(chained));
    entry.request(1, request);
    let attempts = entry.attempts();
    assert_eq!(attempts.len(), 1);
    entry.end_attempt(attempts[0].0, attempts[0].1, RunOutcome::Completed);
    assert_eq!(entry.attempts()[1].1.task.step, 1);
}

/// Guards against refusing requests between a restart and the arrival of the first route table.
#[test]
fn early_request_waits_for_routes() {
    let mut entry = Entry::new();
    entry.submit(1, 1, 1);
    assert_eq!(entry.answers(), []);
    entry.connect(1);
    entry.handle(Event::Routes(table(1)));
    assert_eq!(entry.attempts().len(), 1);
}

/// Guards against a request that waits for routes forever.
#[test]
fn early_request_is_refused_in_time() {
    let mut entry = Entry::new();
    entry.submit(1, 1, 1);
    entry.advance_to(millis(550), &[]);
    assert!(matches!(
        entry.answers()[..],
        [(
            1,
            Answer::Refused {
                reason: RefusalReason::NoRoutes,
                ..
            }
        )]
    ));
}

/// Guards against an older route table replacing a newer one.
#[test]
fn routes_never_go_back() {
    let mut entry = Entry::with_workers(1);
    entry.handle(Event::Routes(table(7)));
    let older = RouteTable {
        routes: Vec::new(),
        ..table(6)
    };
    entry.handle(Event::Routes(older));
    entry.submit(1, 1, 1);
    assert_eq!(entry.attempts().len(), 1);
}

/// Guards against a refusal for lack of a route that the log cannot explain: the version in force and its age are missing.
#[test]
fn missing_route_is_logged_with_version() {
    let mut entry = Entry::with_workers(1);
    entry.handle(Event::Routes(table(7)));
    entry.advance_to(millis(300), &[]);
    let request = Request {
        queue: "/unknown/".to_owned(),
        ..request(1, RequestKind::Lookup)
    };
    entry.request(1, request);
    let logged = entry.actions.iter().any(|action| {
        matches!(
            action,
            Action::Notice(Notice::RouteMissing { queue, version: 7, in_force, .. })
                if queue == "/unknown/" && *in_force >= millis(250)
        )
    });
    assert!(logged, "{:?}", entry.actions);
}

/// Guards against tasks that continue to run after their job was cancelled.
#[test]
fn cancel_stops_tasks() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 2);
    let request = request(1, RequestKind::Cancel);
    entry.request(2, request);
    assert_eq!(entry.stops(), 1);
    assert!(entry.answers().contains(&(2, Answer::Cancelled)));
}

/// Guards against a task that hangs on one worker until its deadline although other workers are free.
#[test]
fn overdue_attempt_is_stopped_and_placed_on_another_worker() {
    let mut entry = Entry::with_workers(2);
    entry.submit(1, 1, 1);
    let (link, key) = entry.attempts()[0];
    entry.advance_to(millis(600), &[1, 2]);
    assert_eq!(entry.stops(), 1);
    assert_eq!(entry.attempts().len(), 1);
    entry.end_attempt(link, key, RunOutcome::Stopped);
    assert_eq!(entry.attempts()[1].0, 3 - link);
}

/// Guards against accepting submissions that the shutdown of the entry would abort.
#[test]
fn drain_refuses_submissions() {
    let mut entry = Entry::with_workers(1);
    entry.handle(Event::Drain);
    entry.submit(1, 1, 1);
    assert!(matches!(
        entry.answers()[..],
        [(
            1,
            Answer::Refused {
                reason: RefusalReason::Draining,
                ..
            }
        )]
    ));
}

/// Guards against refusing short jobs because of long jobs that are placed after them.
#[test]
fn admission_counts_only_what_is_served_before() {
    let mut entry = Entry::with_workers(1);
    let mut long = submission(8);
    long.steps[0].declared_run_time = millis(900);
    for ticket in 1..=2 {
        let request = request(u128::from(ticket), RequestKind::Submit(long.clone()));
        entry.request(ticket, request);
    }
    entry.submit(3, 3, 1);
    let refused: Vec<u64> = entry.answers().into_iter().map(|(ticket, _)| ticket).collect();
    assert!(!refused.contains(&3), "{refused:?}");
}

/// Guards against scanning all agents for each load report while jobs wait, and against jobs that wait forever because
/// the scan is deferred.
#[test]
fn reports_are_collected_before_placing() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 4);
    entry.submit(2, 2, 1);
    assert_eq!(entry.attempts().len(), 4);
    let wakeup = entry.core.next_wakeup();
    entry.beat(1, 2, u64::MAX);
    assert_eq!(entry.attempts().len(), 4);
    assert!(entry.core.next_wakeup() < wakeup);
    entry.now = entry.core.next_wakeup();
    entry.handle(Event::Tick);
    assert_eq!(entry.attempts().len(), 5);
}

/// Guards against several entries using free capacity that is allocated to one of them.
#[test]
fn placement_respects_share() {
    let mut entry = Entry::with_workers(2);
    let mut load = Entry::load(0);
    load.share = Resources::default();
    entry.receive(1, WorkerToEntry::Load(load));
    entry.submit(1, 1, 4);
    let links: Vec<u64> = entry.attempts().into_iter().map(|(link, _)| link).collect();
    assert_eq!(links, [2, 2, 2, 2]);
}

/// Returns a load report of a full worker that includes all orders.
fn full_load() -> WorkerLoad {
    WorkerLoad {
        free: Resources::default(),
        share: Resources::default(),
        ..Entry::load(u64::MAX)
    }
}

/// Guards against a job that waits for a share although the worker has room, and against a task that waits at a worker whose
/// free capacity another entry has used.
#[test]
fn placement_uses_capacity_outside_share() {
    let mut entry = Entry::with_workers(1);
    let mut load = Entry::load(0);
    load.share = Resources::default();
    entry.receive(1, WorkerToEntry::Load(load));
    entry.submit(1, 1, 1);
    let starts = entry.starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].1.refuse_if_full);
}

/// Guards against a task that waits before it is placed again although another worker has room.
#[test]
fn refused_task_is_placed_again_at_once() {
    let mut entry = Entry::with_workers(5);
    entry.submit(1, 1, 1);
    let mut links = Vec::new();
    for _ in 0..3 {
        let (link, order) = entry.starts().pop().expect("an order");
        assert!(order.refuse_if_full);
        links.push(link);
        let ended = EndedRun {
            key: order.tasks[0].key,
            outcome: RunOutcome::NotStarted,
            run_time: millis(0),
        };
        entry.receive(link, WorkerToEntry::Ended(vec![ended], full_load()));
    }
    // Few workers have room, so the task may wait at the next one.
    let (link, order) = entry.starts().pop().expect("an order");
    assert!(!order.refuse_if_full);
    assert!(!links.contains(&link), "{link} has refused the task: {links:?}");
}

/// Guards against a job that is answered as timed out although every order for it was refused, so that it has not run.
#[test]
fn job_of_refused_orders_is_refused() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 1);
    let (link, key) = entry.attempts()[0];
    let ended = EndedRun {
        key,
        outcome: RunOutcome::NotStarted,
        run_time: millis(0),
    };
    entry.receive(link, WorkerToEntry::Ended(vec![ended], full_load()));
    for number in 0..20 {
        entry.now += millis(25);
        entry.receive(1, WorkerToEntry::Heartbeat(10 + number, full_load()));
        entry.handle(Event::Tick);
    }
    assert!(matches!(entry.answers()[..], [(1, Answer::Refused { .. })]));
}

/// Guards against one order per task: each order includes the job's input, and small entries have slow links.
#[test]
fn placement_sends_one_order_per_job() {
    let mut entry = Entry::with_workers(3);
    entry.submit(1, 1, 3);
    let starts = entry.starts();
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].1.tasks.len(), 3);
}

/// Guards against starting a job that an entry reads after a pause, although its caller has given up meanwhile and submitted
/// it to another entry.
#[test]
fn paused_entry_reads_disconnects_before_it_places() {
    let mut entry = Entry::with_workers(1);
    entry.now += millis(3_000);
    entry.beat(1, 2, 0);
    entry.submit(1, 5, 1);
    assert_eq!(entry.attempts(), []);
    entry.handle(Event::CallerDisconnected { ticket: 1 });
    for number in 3..24 {
        entry.now += millis(25);
        entry.beat(1, number, 0);
    }
    entry.submit(2, 6, 1);
    entry.beat(1, 24, 0);
    entry.handle(Event::Tick);
    let jobs: Vec<u128> = entry.attempts().iter().map(|(_, key)| key.task.job).collect();
    assert_eq!(jobs, [6]);
}

/// Guards against two attempts with the same number, so that the end of the first one is taken for that of the second.
#[test]
fn refused_resubmission_keeps_attempt_numbers() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 5, 1);
    entry.handle(Event::CallerDisconnected { ticket: 1 });
    let (link, first) = entry.attempts()[0];
    entry.end_attempt(link, first, RunOutcome::Stopped);
    // The worker is full, so the second submission is refused before anything is ordered.
    let full = WorkerLoad {
        free: Resources::default(),
        share: Resources::default(),
        ..Entry::load(u64::MAX)
    };
    entry.receive(1, WorkerToEntry::Load(full));
    entry.submit(2, 5, 1);
    for number in 0..20 {
        entry.now += millis(25);
        entry.receive(1, WorkerToEntry::Heartbeat(10 + number, full));
        entry.handle(Event::Tick);
    }
    assert!(matches!(
        entry.answers().last(),
        Some((2, Answer::Refused { .. }))
    ));
    entry.beat(1, 40, u64::MAX);
    entry.submit(3, 5, 1);
    let attempts = entry.attempts();
    assert_eq!(attempts.len(), 2);
    assert!(attempts[1].1.attempt > first.attempt);
}

/// Guards against an entry that a submission ends: the sum of the declared run times exceeds the range of a duration.
#[test]
fn submission_with_excessive_run_times_is_refused() {
    let mut entry = Entry::with_workers(1);
    for steps in [1, 2, 1_000] {
        let ticket = u64::from(steps);
        let step = |at: u16| StepSpec {
            tasks: 1,
            declared_run_time: millis(u64::MAX),
            depends_on: at.checked_sub(1).into_iter().collect(),
            ..StepSpec::default()
        };
        let submission = JobSubmission {
            steps: (0..steps).map(step).collect(),
            ..JobSubmission::default()
        };
        let request = request(u128::from(steps), RequestKind::Submit(submission));
        entry.request(ticket, request);
        entry.handle(Event::Tick);
        let answer = entry.answers().last().copied();
        assert!(
            matches!(answer, Some((answered, Answer::Refused { .. })) if answered == ticket),
            "{steps} steps: {answer:?}"
        );
    }
}

/// Guards against a job beyond the limit on tasks whose caller is told that it is malformed, or to repeat it.
#[test]
fn submit_too_many_tasks() {
    let mut entry = Entry::with_workers(1);
    entry.submit(1, 1, 1_025);
    let answers = entry.answers();
    let [(1, Answer::Refused { reason, .. })] = answers[..] else {
        panic!("{answers:?}");
    };
    assert_eq!(reason, RefusalReason::TooManyTasks);
    assert!(reason.is_permanent());
}
