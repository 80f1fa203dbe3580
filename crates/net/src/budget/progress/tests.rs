use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Answers the load of bodies that arrive a byte at a time: guards against counting each byte as full progress.
#[test]
fn on_schedule_until_slow_body() {
    let start = Instant::now();
    let mut progress = Progress::start(start);
    for second in 1..=10 {
        progress.receive(1, start + SECOND * second);
    }
    assert!(progress.on_schedule_until() < start + Duration::from_millis(1));
}

/// Answers the load of bodies that stop short of their end: guards against credit for bytes that arrived early.
#[test]
fn on_schedule_until_stalled_body() {
    let start = Instant::now();
    let mut progress = Progress::start(start);
    progress.receive(262_143, start + SECOND);
    assert_eq!(progress.on_schedule_until(), start + SECOND);
}

/// Guards against giving up a body that keeps to the minimum rate.
#[test]
fn on_schedule_until_steady_body() {
    let start = Instant::now();
    let mut progress = Progress::start(start);
    for second in 1..=5 {
        progress.receive(65_536, start + SECOND * second);
    }
    assert_eq!(progress.on_schedule_until(), start + SECOND * 5);
}
