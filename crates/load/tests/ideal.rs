//! Checks the ideal schedule against schedules worked out by hand.

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
    // Rounds, because speeds are fractions.
    let micros = responses.iter().map(|response| response.unwrap().as_micros());
    micros.map(|micros| (micros + 500) / 1_000).collect()
}

/// Guards against an ideal that ignores slots, which no system could reach.
#[test]
fn ideal_response_times_queues_beyond_slots() {
    let jobs = [job(0, &[100, 100, 100]), job(50, &[10])];
    assert_eq!(responses_ms(&[target(2, 1.0)], &[], &jobs), [200, 60]);
}

/// Guards against an ideal that takes a free slow slot where waiting for a fast one is quicker.
#[test]
fn ideal_response_times_waits_for_fast_slot() {
    let targets = [target(1, 0.1), target(1, 1.0)];
    assert_eq!(responses_ms(&targets, &[], &[job(0, &[100, 100])]), [200]);
}

/// Guards against an ideal that profits from a target that is useless or slow at the time.
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

/// Guards against an average that changes the total capacity, which would make the ideal easier or harder to reach.
#[test]
fn average_targets_keeps_capacity() {
    let targets = [target(4, 1.5), target(4, 1.0), target(2, 0.5)];
    let average = chestnutfork_load::average_targets(&targets);
    let capacity: f64 = average
        .iter()
        .map(|target| f64::from(target.slots) * target.speed)
        .sum();
    assert!((capacity - 11.0).abs() < 1e-9, "{capacity}");
    assert!(average.iter().all(|target| (target.speed - 1.1).abs() < 1e-9));
}
