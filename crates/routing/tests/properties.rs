//! Property tests with arbitrary sequences of events.

use std::time::{Duration, Instant};

use chestnutfork_routing::{
    AttemptEndKind, Choice, PlacementRequest, QueuePosition, RetryBudget, Router, TargetIndex, TargetState,
};
use chestnutfork_types::{Placement, ServicePolicy};
use quickcheck::{Gen, QuickCheck};

const TARGETS: usize = 9;
const KINDS: [AttemptEndKind; 5] = [
    AttemptEndKind::Completed,
    AttemptEndKind::Failed,
    AttemptEndKind::TimedOut,
    AttemptEndKind::NotStarted,
    AttemptEndKind::Cancelled,
];

/// Returns a `QuickCheck` runner with a fixed seed.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(300, 1)).tests(300)
}

fn add(router: &mut Router, now: Instant, target: usize) -> TargetIndex {
    let domain = format!("domain{}", target % 3);
    router.add_target(now, format!("t{target}"), "main".into(), domain, 4)
}

/// Checks a choice against the excluded targets and the router's own status of the target.
fn verify_choice(router: &Router, choice: Choice, exclude: &[TargetIndex]) {
    let Choice::Use(target) = choice else { return };
    let name = format!("t{target}");
    let statuses = router.target_statuses();
    let status = statuses.iter().find(|status| status.target == name).unwrap();
    assert!(!exclude.contains(&target), "excluded");
    assert!(status.free_credits > 0, "no credit");
    match status.state {
        TargetState::Healthy => {}
        TargetState::Probation => assert_eq!(status.in_flight, 0, "second task in probation"),
        TargetState::Ejected { .. } => panic!("ejected"),
        TargetState::Leaving => panic!("leaving"),
    }
}

/// Guards against choosing a target that must not receive tasks, and against more ejections than a pool's limit.
#[test]
fn choose_uses_only_admitted_targets() {
    fn property(random: bool, ops: Vec<(u8, u8, u8)>) -> bool {
        let placement = if random {
            Placement::Random
        } else {
            Placement::Learned
        };
        let policy = ServicePolicy::builder("main").placement(placement).build();
        let mut now = Instant::now();
        let mut router = Router::new(7);
        for target in 0..TARGETS {
            add(&mut router, now, target);
            router.set_credits(target, 4);
        }
        let mut running = Vec::new();
        for (op, target, arg) in ops {
            now += Duration::from_millis(u64::from(arg) * 4);
            let target = usize::from(target) % TARGETS;
            let exclude = [target];
            let exclude = &exclude[..usize::from(arg % 2)];
            match op % 12 {
                0..=4 => {
                    let req = PlacementRequest {
                        service: "desk",
                        declared: None,
                        deadline: now + Duration::from_secs(5),
                        remaining_tasks: u32::from(arg),
                        exclude,
                    };
                    let position = QueuePosition {
                        ahead: u32::from(arg % 3),
                        deferred_since: None,
                    };
                    let choice = match op % 2 {
                        0 => router.choose(now, &req, &policy),
                        _ => router.choose_or_defer(now, &req, position, &policy),
                    };
                    verify_choice(&router, choice, exclude);
                    if let Choice::Use(target) = choice {
                        router.on_start(now, target, "desk");
                        running.push((target, now));
                    }
                }
                5..=8 => {
                    if let Some((target, start)) = running.pop() {
                        // Low-numbered targets fail most, so that ejections are frequent.
                        let kind = KINDS[usize::from(arg) % KINDS.len()];
                        let kind = if target < 5 && arg % 4 != 0 {
                            AttemptEndKind::Failed
                        } else {
                            kind
                        };
                        router.on_end(now, target, "desk", now - start, kind);
                    }
                }
                9 => router.set_credits(target, u32::from(arg % 4)),
                10 => router.set_leaving(target, arg % 3 == 0),
                _ if arg % 4 == 0 => {
                    router.remove_target(target);
                    running.retain(|(other, _)| *other != target);
                }
                _ => {
                    router.set_leaving(target, false);
                    assert_eq!(add(&mut router, now, target), target);
                    running.retain(|(other, _)| *other != target);
                    router.set_credits(target, 4);
                }
            }
            router.verify().unwrap();
            assert!(router.next_wakeup().is_none_or(|wakeup| {
                router.on_tick(now);
                router.next_wakeup() != Some(wakeup) || wakeup > now
            }));
        }
        true
    }
    seeded().quickcheck(property as fn(bool, Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against a retry storm: the tokens spent never exceed the initial ones plus the fraction of the starts.
#[test]
fn budget_bounds_retries() {
    fn property(percent: u8, ops: Vec<bool>) -> bool {
        let fraction = f64::from(percent % 101) / 100.0;
        let mut budget = RetryBudget::new(fraction);
        let mut starts = 0.0;
        let mut spent = 0.0;
        for start in ops {
            if start {
                budget.on_start();
                starts += 1.0;
            } else if budget.try_spend() {
                spent += 1.0;
            }
            if spent > 10.0 + fraction * starts + 1e-6 {
                return false;
            }
        }
        true
    }
    seeded().quickcheck(property as fn(u8, Vec<bool>) -> bool);
}
