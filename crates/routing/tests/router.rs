//! Tests of the router: membership, placement and health.

use std::time::{Duration, Instant};

use chestnutfork_routing::{
    AttemptEndKind, Choice, PlacementRequest, QueuePosition, Router, TargetIndex, TargetState,
};
use chestnutfork_types::{Placement, ServicePolicy};

const SECOND: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_millis(100);

/// Router with targets `t0`, `t1` and so on of 8 slots, all with free credits, and a virtual clock.
struct Fixture {
    router: Router,
    now: Instant,
    policy: ServicePolicy,
}

impl Fixture {
    fn new(targets: usize) -> Self {
        let mut fixture = Self {
            router: Router::new(1),
            now: Instant::now(),
            policy: ServicePolicy::builder("main").build(),
        };
        for index in 0..targets {
            let target = fixture.add(index);
            fixture.router.set_credits(target, 8);
        }
        // The first choice sets the ejection policy of the pool.
        fixture.choose(&[]);
        fixture
    }

    fn add(&mut self, index: usize) -> TargetIndex {
        let domain = format!("domain{}", index % 3);
        self.router
            .add_target(self.now, format!("t{index}"), "main".into(), domain, 8)
    }

    fn choose(&mut self, exclude: &[TargetIndex]) -> Choice {
        self.choose_at(exclude, None)
    }

    fn choose_at(&mut self, exclude: &[TargetIndex], position: Option<QueuePosition>) -> Choice {
        let req = PlacementRequest {
            service: "desk",
            declared: None,
            deadline: self.now + 30 * SECOND,
            remaining_tasks: 1,
            exclude,
        };
        match position {
            Some(position) => self
                .router
                .choose_or_defer(self.now, &req, position, &self.policy),
            None => self.router.choose(self.now, &req, &self.policy),
        }
    }

    fn run(&mut self, target: TargetIndex, run_time: Duration, kind: AttemptEndKind) {
        self.router.on_start(self.now, target, "desk");
        self.now += run_time;
        self.router.on_end(self.now, target, "desk", run_time, kind);
    }

    fn fail(&mut self, target: TargetIndex, times: usize) {
        for _ in 0..times {
            self.run(target, Duration::from_millis(1), AttemptEndKind::Failed);
        }
    }

    fn state(&self, target: TargetIndex) -> TargetState {
        self.router.target_statuses()[target].state
    }

    fn is_ejected(&self, target: TargetIndex) -> bool {
        matches!(self.state(target), TargetState::Ejected { .. })
    }

    /// Advances the time to the end of an ejection or a throttling delay, and returns how long that took.
    fn advance_to_probation(&mut self) -> Duration {
        let before = self.now;
        self.now = self.router.next_wakeup().unwrap();
        self.router.on_tick(self.now);
        self.now - before
    }
}

/// Guards against waiting for a pool that has no target.
#[test]
fn choose_reports_missing_pool() {
    assert_eq!(Fixture::new(0).choose(&[]), Choice::NoTarget);
}

/// Guards against a dispatch without a credit.
#[test]
fn choose_waits_without_credit() {
    let mut fixture = Fixture::new(1);
    fixture.router.set_credits(0, 0);
    assert_eq!(fixture.choose(&[]), Choice::Wait { until: None });
}

/// Guards against new tasks on a leaving target.
#[test]
fn choose_avoids_leaving_target() {
    let mut fixture = Fixture::new(2);
    fixture.router.set_leaving(0, true);
    assert_eq!(fixture.choose(&[]), Choice::Use(1));
    assert_eq!(fixture.choose(&[1]), Choice::NoTarget);
    fixture.router.set_leaving(0, false);
    assert_eq!(fixture.choose(&[1]), Choice::Use(0));
}

/// Guards against choosing a slow target while a fast one has free credits.
#[test]
fn choose_prefers_learned_speed() {
    let mut fixture = Fixture::new(3);
    for _ in 0..50 {
        fixture.run(0, 3 * RUN_TIME, AttemptEndKind::Completed);
        fixture.run(1, 2 * RUN_TIME, AttemptEndKind::Completed);
        fixture.run(2, RUN_TIME, AttemptEndKind::Completed);
    }
    assert_eq!(fixture.choose(&[]), Choice::Use(2));
    assert_eq!(fixture.choose(&[2]), Choice::Use(1));
}

/// Guards against starting the last task of a job on a slow target just before a slot of a fast one is freed, and
/// against a deferral that lasts longer than its possible gain.
#[test]
fn choose_defers_last_task_for_faster_target() {
    let mut fixture = Fixture::new(2);
    for _ in 0..50 {
        fixture.run(0, 5 * RUN_TIME, AttemptEndKind::Completed);
        fixture.run(1, RUN_TIME, AttemptEndKind::Completed);
    }
    fixture.router.set_credits(1, 0);
    for _ in 0..8 {
        fixture.router.on_start(fixture.now, 1, "desk");
    }
    let mut position = QueuePosition {
        ahead: 0,
        deferred_since: None,
    };
    let Choice::Wait { until: Some(until) } = fixture.choose_at(&[], Some(position)) else {
        panic!("the task was not deferred");
    };
    assert_eq!(fixture.router.next_wakeup(), Some(until));
    position.deferred_since = Some(fixture.now);
    fixture.now = until;
    fixture.router.on_tick(until);
    assert_eq!(fixture.router.next_wakeup(), None);
    assert_eq!(fixture.choose_at(&[], Some(position)), Choice::Use(0));
}

/// Guards against unused capacity of a slow target while too many tasks wait for a fast one.
#[test]
fn choose_uses_slow_target_behind_long_queue() {
    let mut fixture = Fixture::new(2);
    for _ in 0..50 {
        fixture.run(0, 5 * RUN_TIME, AttemptEndKind::Completed);
        fixture.run(1, RUN_TIME, AttemptEndKind::Completed);
    }
    fixture.router.set_credits(1, 0);
    for _ in 0..8 {
        fixture.router.on_start(fixture.now, 1, "desk");
    }
    let position = QueuePosition {
        ahead: 100,
        deferred_since: None,
    };
    assert_eq!(fixture.choose_at(&[], Some(position)), Choice::Use(0));
    assert_eq!(fixture.choose(&[]), Choice::Use(0));
}

/// Guards against a target that fails tasks at once and receives more and more of them, because it is always free.
#[test]
fn eject_follows_consecutive_failures() {
    let mut fixture = Fixture::new(3);
    fixture.fail(0, 4);
    assert!(!fixture.is_ejected(0));
    fixture.fail(0, 1);
    assert!(fixture.is_ejected(0));
    for _ in 0..20 {
        assert_ne!(fixture.choose(&[]), Choice::Use(0));
    }
}

/// Guards against continued use of a target that fails most tasks, but never many consecutively.
#[test]
fn eject_follows_failure_rate() {
    let mut fixture = Fixture::new(3);
    for _ in 0..20 {
        fixture.fail(0, 3);
        fixture.run(0, RUN_TIME, AttemptEndKind::Completed);
        if fixture.is_ejected(0) {
            return;
        }
    }
    panic!("a target with three failures in four attempts was not ejected");
}

/// Guards against ejecting targets because of a task that fails on every target.
#[test]
fn eject_spares_targets_that_fail_alike() {
    let mut fixture = Fixture::new(6);
    for round in 0..200 {
        let kind = if round % 3 == 0 {
            AttemptEndKind::Completed
        } else {
            AttemptEndKind::Failed
        };
        for target in 0..6 {
            fixture.run(target, RUN_TIME, kind);
        }
    }
    let ejected = (0..6).filter(|&target| fixture.is_ejected(target)).count();
    assert_eq!(ejected, 0);
}

/// Guards against ejecting so many targets that the others are overloaded.
#[test]
fn eject_respects_limit_of_pool() {
    let mut fixture = Fixture::new(6);
    for target in 0..4 {
        fixture.fail(target, 10);
    }
    let ejected = (0..6).filter(|&target| fixture.is_ejected(target)).count();
    assert_eq!(ejected, 2);
    // Two fewer members allow one ejection less.
    fixture.router.remove_target(4);
    fixture.router.remove_target(5);
    let left = fixture.router.target_statuses();
    let ejected = left
        .iter()
        .filter(|target| matches!(target.state, TargetState::Ejected { .. }));
    assert_eq!(ejected.count(), 1);
}

/// Guards against a failing job throttling the only target of a pool for all other jobs.
#[test]
fn throttle_spares_only_target() {
    let mut fixture = Fixture::new(1);
    fixture.fail(0, 50);
    assert_eq!(fixture.state(0), TargetState::Healthy);
    assert_eq!(fixture.choose(&[]), Choice::Use(0));
}

/// Guards against a target that fails tasks at once and keeps receiving them in a pool too small for an ejection.
#[test]
fn throttle_limits_failing_target_of_pair() {
    let mut fixture = Fixture::new(2);
    fixture.fail(0, 5);
    assert_eq!(fixture.choose(&[1]), Choice::Wait { until: None });
    fixture.advance_to_probation();
    assert_eq!(fixture.choose(&[1]), Choice::Use(0));
}

/// Guards against more than one task on a readmitted target, which may still fail.
#[test]
fn probation_allows_single_task() {
    let mut fixture = Fixture::new(3);
    fixture.fail(0, 5);
    fixture.advance_to_probation();
    assert_eq!(fixture.state(0), TargetState::Probation);
    assert_eq!(fixture.choose(&[1, 2]), Choice::Use(0));
    fixture.router.on_start(fixture.now, 0, "desk");
    assert_eq!(fixture.choose(&[1, 2]), Choice::Wait { until: None });
    fixture
        .router
        .on_end(fixture.now, 0, "desk", RUN_TIME, AttemptEndKind::Completed);
    assert_eq!(fixture.state(0), TargetState::Healthy);
}

/// Guards against readmitting a target that keeps failing or flapping after the same short interval every time.
#[test]
fn ejection_doubles_on_repeat() {
    let mut fixture = Fixture::new(3);
    fixture.fail(0, 5);
    let first = fixture.advance_to_probation();
    fixture.fail(0, 1);
    let second = fixture.advance_to_probation();
    fixture.run(0, RUN_TIME, AttemptEndKind::Completed);
    fixture.fail(0, 1);
    assert!(
        fixture.is_ejected(0),
        "a flapping target is ejected after fewer failures"
    );
    let third = fixture.advance_to_probation();
    assert!(second > first.mul_f64(1.9) && third > second.mul_f64(1.9));
}

/// Guards against a target that resets its health by reconnecting.
#[test]
fn add_target_restores_history() {
    let mut fixture = Fixture::new(3);
    fixture.fail(0, 5);
    fixture.router.remove_target(0);
    assert_eq!(fixture.add(0), 0);
    assert!(fixture.is_ejected(0));
}

/// Guards against late detection of a change of speed, which heavy-tailed run times would hide otherwise.
#[test]
fn speed_follows_sudden_change() {
    let mut fixture = Fixture::new(3);
    for _ in 0..100 {
        for target in 0..3 {
            fixture.run(target, RUN_TIME, AttemptEndKind::Completed);
        }
    }
    for _ in 0..6 {
        fixture.run(0, 10 * RUN_TIME, AttemptEndKind::Completed);
    }
    assert!(fixture.router.target_statuses()[0].speed < 0.3);
}

/// Guards against taking a target for slow after a single extreme run time.
#[test]
fn speed_withstands_single_outlier() {
    let mut fixture = Fixture::new(3);
    for _ in 0..100 {
        for target in 0..3 {
            fixture.run(target, RUN_TIME, AttemptEndKind::Completed);
        }
    }
    fixture.run(0, 1_000 * RUN_TIME, AttemptEndKind::Completed);
    assert!(fixture.router.target_statuses()[0].speed > 0.9);
}

/// Guards against a straggler that receives tasks in every burst, and against slow targets that use up the ejection
/// limit when other targets fail.
#[test]
fn eject_prefers_failing_to_slow() {
    let mut fixture = Fixture::new(3);
    for _ in 0..20 {
        for target in 1..3 {
            fixture.run(target, RUN_TIME, AttemptEndKind::Completed);
        }
        if !fixture.is_ejected(0) {
            fixture.run(0, 10 * RUN_TIME, AttemptEndKind::Completed);
        }
    }
    assert!(fixture.is_ejected(0));
    fixture.fail(1, 5);
    assert!(fixture.is_ejected(1));
    assert_eq!(fixture.state(0), TargetState::Probation);
}

/// Guards against continued use of a target that hangs, because hedges cancel all its attempts in time.
#[test]
fn eject_follows_long_cancelled_attempts() {
    let mut fixture = Fixture::new(3);
    for _ in 0..50 {
        for target in 0..3 {
            fixture.run(target, RUN_TIME, AttemptEndKind::Completed);
        }
    }
    for _ in 0..20 {
        fixture.run(0, RUN_TIME, AttemptEndKind::Cancelled);
    }
    assert!(
        !fixture.is_ejected(0),
        "ordinary cancellations are no evidence of slowness"
    );
    for _ in 0..6 {
        fixture.run(0, 5 * RUN_TIME, AttemptEndKind::Cancelled);
    }
    assert!(fixture.is_ejected(0));
}

/// Guards against a straggler that remains ejected after it has recovered.
#[test]
fn probation_restores_recovered_straggler() {
    let mut fixture = Fixture::new(3);
    for _ in 0..20 {
        for target in 0..3 {
            let factor = if target == 0 { 10 } else { 1 };
            fixture.run(target, factor * RUN_TIME, AttemptEndKind::Completed);
        }
    }
    for _ in 0..30 {
        fixture.now += 100 * SECOND;
        fixture.router.on_tick(fixture.now);
        if !fixture.is_ejected(0) {
            fixture.run(0, RUN_TIME, AttemptEndKind::Completed);
        }
    }
    assert_eq!(fixture.state(0), TargetState::Healthy);
    assert!(fixture.router.target_statuses()[0].speed > 0.5);
}

/// Guards against a bias in random placement, which is the baseline for measurements.
#[test]
fn random_placement_is_uniform() {
    let mut fixture = Fixture::new(4);
    fixture.policy.placement = Placement::Random;
    let mut counts = [0; 4];
    for _ in 0..4_000 {
        if let Choice::Use(target) = fixture.choose(&[]) {
            counts[target] += 1;
        }
    }
    assert!(
        counts.iter().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
}
