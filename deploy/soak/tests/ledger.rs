//! Tests of the ledger: a check that cannot fail would make every soak pass.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_soak::{Answer, Ledger, Seen, Timing, WorkerIncarnation};
use chestnutfork_types::{JobId, RunOutcome, TaskKey};

const JOB: JobId = 7;
const TASK: TaskKey = TaskKey {
    job: JOB,
    step: 0,
    index: 0,
};

/// Ledger with one job of one task.
struct Run {
    ledger: Ledger,
    start: Instant,
}

impl Run {
    fn new() -> Self {
        let mut ledger = Ledger::default();
        ledger.take(Seen::Submitted {
            job: JOB,
            spec: "20 x".to_owned(),
            tasks: 1,
        });
        let start = Instant::now();
        Self { ledger, start }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn started(&mut self, worker: WorkerIncarnation, run: u64, millis: u64) {
        let (at, spec) = (self.at(millis), Bytes::from_static(b"20 x"));
        let task = TASK;
        self.ledger.take(Seen::Started {
            worker,
            task,
            run,
            spec,
            timing: Timing::InTime,
            at,
        });
    }

    fn ended(&mut self, worker: WorkerIncarnation, run: u64, end: RunOutcome, millis: u64) {
        let (at, task) = (self.at(millis), TASK);
        self.ledger.take(Seen::Ended {
            worker,
            task,
            run,
            end,
            at,
        });
    }

    fn crashed(&mut self, worker: WorkerIncarnation, millis: u64) {
        self.ended(worker, worker.1, RunOutcome::Lost, millis);
        self.ledger.take(Seen::WorkerEnded {
            worker,
            cause: Some(TASK),
            note: String::new(),
            at: self.at(millis),
        });
    }

    fn answered(&mut self, answer: Answer) {
        let answer = Some(answer);
        self.ledger.take(Seen::Answered { job: JOB, answer });
        self.ledger.take(Seen::Finished { job: JOB });
    }

    fn violations(&self) -> &[String] {
        &self.ledger.report().violations
    }

    #[track_caller]
    fn assert_broken(&self, rule: &str) {
        assert!(
            self.violations().iter().any(|text| text.contains(rule)),
            "{:?}",
            self.violations()
        );
    }
}

/// Guards against a ledger that reports sound runs.
#[test]
fn take_accepts_sound_run() {
    let mut run = Run::new();
    run.started((0, 1), 1, 0);
    run.ended((0, 1), 1, RunOutcome::Lost, 100);
    run.started((1, 1), 2, 100);
    run.ended((1, 1), 2, RunOutcome::Completed, 200);
    run.answered(Answer::Completed);
    assert_eq!(run.violations(), Vec::<String>::new());
    assert_eq!(run.ledger.report().counts.completed, 1);
}

/// Guards against a soak that misses two runs of a task at a time, whichever end is seen first.
#[test]
fn take_notices_two_runs() {
    let mut run = Run::new();
    run.started((0, 1), 1, 0);
    run.started((1, 1), 2, 50);
    run.ended((0, 1), 1, RunOutcome::Completed, 100);
    run.assert_broken("two runs at the same time");
}

/// Guards against a soak that misses a false refusal, before or after the start.
#[test]
fn take_notices_false_refusal() {
    let mut run = Run::new();
    run.started((0, 1), 1, 0);
    run.answered(Answer::Refused);
    run.assert_broken("refused although it ran");
    let mut run = Run::new();
    run.answered(Answer::Refused);
    run.started((0, 1), 1, 0);
    run.assert_broken("started after it was refused");
}

/// Guards against a soak that misses answers without the work behind them.
#[test]
fn take_notices_false_answers() {
    let mut run = Run::new();
    run.answered(Answer::Completed);
    run.assert_broken("completed without the work");
    let mut run = Run::new();
    run.answered(Answer::Failed);
    run.assert_broken("failed without a failure");
    let mut run = Run::new();
    run.answered(Answer::NoRoute);
    run.assert_broken("no route");
}

/// Guards against a soak that reports a job under whose task two workers have crashed, or accepts one under which one has.
#[test]
fn take_accepts_failure_after_two_crashes() {
    for crashes in [1, 2] {
        let mut run = Run::new();
        for life in 1..=crashes {
            run.started((0, life), life, life * 100);
            run.crashed((0, life), life * 100 + 50);
        }
        run.answered(Answer::Failed);
        assert_eq!(run.violations().is_empty(), crashes == 2, "{crashes} crashes");
    }
}

/// Guards against a soak that misses tasks that nobody asked for.
#[test]
fn take_notices_foreign_input() {
    let mut run = Run::new();
    let (task, at) = (TASK, run.start);
    run.ledger.take(Seen::Started {
        worker: (0, 1),
        task,
        run: 1,
        spec: Bytes::from_static(b"other"),
        timing: Timing::InTime,
        at,
    });
    run.assert_broken("another input");
}

/// Guards against a soak that misses starts on a worker that has been leaving for too long.
#[test]
fn take_notices_start_on_leaving_worker() {
    let mut run = Run::new();
    let at = run.start;
    run.ledger.take(Seen::Leaving { worker: (0, 1), at });
    run.started((0, 1), 1, 2_500);
    run.assert_broken("leaving for too long");
}

/// Guards against a soak that misses a task that goes on crashing workers, or reports one that is given up in time.
#[test]
fn take_notices_starts_after_crashes() {
    let mut run = Run::new();
    for life in 1..=5 {
        let at = life * 100;
        run.started((0, life), life, at);
        run.crashed((0, life), at + 50);
    }
    assert_eq!(run.violations(), Vec::<String>::new());
    assert_eq!(run.ledger.report().counts.most_crashes, 5);
    run.started((0, 6), 6, 600);
    run.assert_broken("started too often after it had crashed its workers");
}

/// Guards against a soak that misses starts beyond a capacity that has shrunk, or reports those that the bound allows.
#[test]
fn take_notices_start_beyond_capacity() {
    let mut run = Run::new();
    for (slots, millis) in [(2, 0), (1, 1_000)] {
        let at = run.at(millis);
        run.ledger.take(Seen::CapacityChanged { worker: 0, slots, at });
    }
    run.started((0, 1), 1, 5_400);
    run.ended((0, 1), 1, RunOutcome::Lost, 5_410);
    run.started((0, 1), 2, 5_420);
    run.started((0, 1), 3, 5_450);
    assert_eq!(run.violations(), Vec::<String>::new());
    run.ended((0, 1), 3, RunOutcome::Lost, 5_500);
    run.started((0, 1), 4, 5_550);
    run.assert_broken("started beyond the capacity of a worker");
}

/// Guards against a soak that misses a configuration that goes back.
#[test]
fn take_notices_older_configuration() {
    let mut run = Run::new();
    let (at, asked_at) = (run.start, run.at(2_500));
    run.ledger.take(Seen::ConfigurationTaken { version: 5, at });
    let version = Some(4);
    run.ledger.take(Seen::ConfigurationRead { asked_at, version });
    run.assert_broken("configuration 4 was read after 5");
}
