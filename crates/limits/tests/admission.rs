//! Tests of admission control.

use std::time::{Duration, Instant};

use chestnutfork_limits::{Admission, AdmissionRequest};
use chestnutfork_types::{Execution, RefusalCode, ServicePolicy};
use quickcheck::{Gen, QuickCheck};

const IDLE: AdmissionRequest = AdmissionRequest {
    tasks: 10,
    declared: None,
    deadline: Duration::from_secs(2),
    queued: 0,
    team_queued: 0,
    active_teams: 0,
    team_allowance: 100,
    slots: 80,
    fastest_speed: 1.0,
};

/// Returns a `QuickCheck` runner with a fixed seed.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1))
}

fn learned(run_time: Duration) -> Admission {
    let mut admission = Admission::new();
    for _ in 0..100 {
        admission.on_end(run_time);
    }
    admission
}

fn code(req: &AdmissionRequest) -> Option<RefusalCode> {
    let policy = ServicePolicy::builder("main").max_queue(1_000).build();
    let admission = learned(Duration::from_millis(200));
    let refusal = admission.check(Instant::now(), req, &policy).err()?;
    assert_eq!(refusal.execution, Execution::NotRun);
    Some(refusal.code)
}

/// Guards against refusing a job that can be served.
#[test]
fn check_accepts_job_on_idle_service() {
    assert_eq!(code(&IDLE), None);
}

/// Guards against malformed jobs reaching the queue.
#[test]
fn check_refuses_bad_job() {
    assert_eq!(
        code(&AdmissionRequest { tasks: 0, ..IDLE }),
        Some(RefusalCode::BadJob)
    );
    assert_eq!(
        code(&AdmissionRequest { tasks: 201, ..IDLE }),
        Some(RefusalCode::BadJob)
    );
    let deadline = Duration::from_hours(1);
    assert_eq!(
        code(&AdmissionRequest { deadline, ..IDLE }),
        Some(RefusalCode::BadJob)
    );
}

/// Guards against queueing a job that no target can ever run.
#[test]
fn check_refuses_job_that_can_never_run() {
    assert_eq!(
        code(&AdmissionRequest { slots: 0, ..IDLE }),
        Some(RefusalCode::CanNeverRun)
    );
    let declared = Some(Duration::from_secs(3));
    let slow = AdmissionRequest { declared, ..IDLE };
    assert_eq!(code(&slow), Some(RefusalCode::CanNeverRun));
    assert_eq!(
        code(&AdmissionRequest {
            fastest_speed: 2.0,
            ..slow
        }),
        None
    );
}

/// Guards against accepting tasks that expire in the queue.
#[test]
fn check_refuses_unmeetable_deadline() {
    let behind = AdmissionRequest {
        queued: 900,
        team_queued: 900,
        active_teams: 1,
        ..IDLE
    };
    assert_eq!(code(&behind), Some(RefusalCode::DeadlineUnmeetable));
    assert_eq!(
        code(&AdmissionRequest {
            deadline: Duration::ZERO,
            ..IDLE
        }),
        Some(RefusalCode::DeadlineUnmeetable)
    );
}

/// Guards against refusing a team's job because of another team's backlog, although teams take turns.
#[test]
fn check_accepts_team_without_backlog() {
    assert_eq!(
        code(&AdmissionRequest {
            queued: 900,
            active_teams: 1,
            ..IDLE
        }),
        None
    );
}

/// Guards against accepting jobs that later arrivals of other teams delay beyond their deadline.
#[test]
fn check_refuses_more_under_arrivals() {
    let now = Instant::now();
    let policy = ServicePolicy::builder("main").max_queue(1_000).build();
    let mut admission = learned(Duration::from_millis(200));
    let req = AdmissionRequest {
        queued: 300,
        team_queued: 60,
        active_teams: 10,
        ..IDLE
    };
    assert_eq!(admission.check(now, &req, &policy), Ok(()));
    admission.on_accept(now, 700);
    let refusal = admission.check(now, &req, &policy).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::DeadlineUnmeetable);
    let later = now + Duration::from_secs(10);
    assert_eq!(admission.check(later, &req, &policy), Ok(()));
}

/// Guards against an estimate that includes slots used by other entries; the measured rate of starts excludes them.
#[test]
fn check_refuses_by_measured_rate() {
    let policy = ServicePolicy::builder("main").max_queue(1_000).build();
    let mut admission = learned(Duration::from_millis(200));
    let req = AdmissionRequest {
        queued: 400,
        team_queued: 400,
        active_teams: 1,
        ..IDLE
    };
    let mut now = Instant::now();
    assert_eq!(admission.check(now, &req, &policy), Ok(()));
    // A third of the 400 starts per second that 80 slots allow.
    for _ in 0..400 {
        admission.on_start(now, true);
        now += Duration::from_micros(7_500);
    }
    let refusal = admission.check(now, &req, &policy).unwrap_err();
    assert_eq!(refusal.code, RefusalCode::DeadlineUnmeetable);
    admission.on_start(now, false);
    let later = now + Duration::from_secs(10);
    assert_eq!(admission.check(later, &req, &policy), Ok(()));
}

/// Guards against a backlog behind a small quota filling the queue.
#[test]
fn check_refuses_exceeded_quota() {
    assert_eq!(
        code(&AdmissionRequest {
            team_allowance: 0,
            ..IDLE
        }),
        Some(RefusalCode::QuotaExceeded)
    );
    let behind = AdmissionRequest {
        queued: 100,
        team_queued: 100,
        team_allowance: 2,
        ..IDLE
    };
    assert_eq!(code(&behind), Some(RefusalCode::QuotaExceeded));
}

/// Guards against refusals after a burst has ended, and against a retry delay too short for the queue to drain.
#[test]
fn check_recovers_after_burst() {
    let policy = ServicePolicy::builder("main").max_queue(1_000).build();
    let admission = learned(Duration::from_millis(200));
    let full = AdmissionRequest {
        queued: 1_000,
        ..IDLE
    };
    let refusal = admission.check(Instant::now(), &full, &policy).unwrap_err();
    let delay = refusal.retry_after.unwrap();
    let drained = 1_000 - usize::try_from(delay.as_millis()).unwrap() * 80 / 200;
    let after = AdmissionRequest {
        queued: drained,
        ..full
    };
    assert_eq!(admission.check(Instant::now(), &after, &policy), Ok(()));
}

/// Guards against refusing a job with a shorter queue that would be accepted with a longer one.
#[test]
fn shorter_queue_never_refuses_more() {
    fn property(queued: u16, less: u16, tasks: u8, millis: u16) -> bool {
        let tasks = usize::from(tasks % 200) + 1;
        let deadline = Duration::from_millis(u64::from(millis) + 1);
        let long = AdmissionRequest {
            queued: usize::from(queued),
            tasks,
            deadline,
            ..IDLE
        };
        let short = AdmissionRequest {
            queued: usize::from(queued.saturating_sub(less)),
            ..long
        };
        code(&long).is_some() || code(&short).is_none()
    }
    seeded().quickcheck(property as fn(u16, u16, u8, u16) -> bool);
}
