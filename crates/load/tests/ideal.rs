//! Compares the ideal schedule with manually computed schedules.

use std::time::Duration;

use chestnutfork_load::{Fault, IdealJob, ideal_response_times};
use chestnutfork_standin::{BehaviourChange, Journal, Mode};

fn target(slots: u32, speed: f64) -> Journal {
    Journal {
        target: "t".to_owned(),
        pool: "main".to_owned(),
        slots,
        speed,
        leaving_since_us: None,
        dropped: 0,
        entries: Vec::new(),
    }
}

fn job(at_ms: u64, run_ms: &[u64]) -> IdealJob {
    IdealJob {
        at: Duration::from_millis(at_ms),
        run_times: run_ms.iter().copied().map(Duration::from_millis).collect(),
    }
}

fn responses_ms(targets: &[Journal], faults: &[Fault], jobs: &[IdealJob]) -> Vec<u128> {
    let responses = ideal_response_times(targets, faults, jobs);
    // Rounds to milliseconds, because division by a fractional speed is inexact.
    let micros = responses.iter().map(|response| response.unwrap().as_micros());
    micros.map(|micros| (micros + 500) / 1_000).collect()
}

/// Guards against an ideal schedule that exceeds the number of slots, which no system could achieve.
#[test]
fn ideal_response_times_queues_beyond_slots() {
    let jobs = [job(0, &[100, 100, 100]), job(50, &[10])];
    assert_eq!(responses_ms(&[target(2, 1.0)], &[], &jobs), [200, 60]);
}

/// Guards against an ideal schedule that uses a free slow slot although the task would finish earlier by waiting for a
/// fast one.
#[test]
fn ideal_response_times_waits_for_fast_slot() {
    let targets = [target(1, 0.1), target(1, 1.0)];
    assert_eq!(responses_ms(&targets, &[], &[job(0, &[100, 100])]), [200]);
}

/// Guards against an ideal schedule that uses a target while a fault prevents it from completing tasks, or that ignores
/// a change of speed.
#[test]
fn ideal_response_times_respects_faults() {
    let fault = |at_ms, mode, speed| Fault {
        at_ms,
        target: 1,
        change: BehaviourChange {
            mode,
            speed,
            ..BehaviourChange::default()
        },
    };
    let faults = [
        fault(0, Some(Mode::BlackHole), None),
        fault(1_000, Some(Mode::Normal), Some(2.0)),
    ];
    let targets = [target(1, 1.0), target(1, 1.0)];
    let jobs = [job(0, &[100, 100]), job(2_000, &[100, 100])];
    assert_eq!(responses_ms(&targets, &faults, &jobs), [200, 100]);
}

/// Guards against averaging that changes the total capacity, which would shift the ideal response times.
#[test]
fn average_targets_preserves_capacity() {
    let targets = [target(4, 1.5), target(4, 1.0), target(2, 0.5)];
    let average = chestnutfork_load::average_targets(&targets);
    let capacity: f64 = average
        .iter()
        .map(|target| f64::from(target.slots) * target.speed)
        .sum();
    assert!((capacity - 11.0).abs() < 1e-9, "{capacity}");
    assert!(average.iter().all(|target| (target.speed - 1.1).abs() < 1e-9));
}
