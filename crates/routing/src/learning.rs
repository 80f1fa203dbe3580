//! What the router learns from the ends of attempts: run times, speeds and health.

use std::time::{Duration, Instant};

use crate::classes::cost_of;
use crate::health::{AttemptEnd, AttemptEndKind, EjectionCause, Verdict};
use crate::router::Router;
use crate::run_times::RunTimes;
use crate::target::{PoolIndex, TargetIndex};

/// How many times slower than most others a target must be to be ejected for it.
///
/// Such a target adds little capacity, and one wrongly declared task on it can exceed its deadline.
pub(crate) const SLOW_OUTLIER: f64 = 4.0;

/// Excess from which the run time of a cancelled attempt counts, in mean absolute deviations of the logarithm.
const LONG_CANCELLED: f64 = 2.0;
/// Factor by which the middle of a cost class may exceed the slowness of a target in it.
const LEAST_MARGIN: f64 = 1.1;

impl Router {
    /// Records the start of an attempt.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_routing::{AttemptEndKind, Router};
    ///
    /// let mut router = Router::new(1);
    /// let now = Instant::now();
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// router.on_start(now, target, "desk");
    /// assert_eq!(router.snapshot()[target].in_flight, 1);
    /// ```
    pub fn on_start(&mut self, now: Instant, target: TargetIndex, _service: &str) {
        let row = &mut self.targets[target];
        row.on_start(now);
        self.pools[row.pool].add_in_flight(row.domain);
        self.refresh(target);
    }

    /// Records the end of an attempt of a task without a declared run time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_routing::{AttemptEndKind, Router};
    ///
    /// let mut router = Router::new(1);
    /// let now = Instant::now();
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// router.on_start(now, target, "desk");
    /// let run_time = Duration::from_millis(100);
    /// router.on_end(now + run_time, target, "desk", run_time, AttemptEndKind::Completed);
    /// assert_eq!(router.snapshot()[target].in_flight, 0);
    /// ```
    pub fn on_end(
        &mut self,
        now: Instant,
        target: TargetIndex,
        service: &str,
        run_time: Duration,
        kind: AttemptEndKind,
    ) {
        let end = AttemptEnd {
            target,
            service,
            declared: None,
            run_time,
            kind,
        };
        self.on_attempt_end(now, &end);
    }

    /// Records the end of an attempt and learns from it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_routing::{AttemptEnd, AttemptEndKind, Router};
    ///
    /// let mut router = Router::new(1);
    /// let now = Instant::now();
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// router.on_start(now, target, "desk");
    /// let run_time = Duration::from_millis(100);
    /// let end = AttemptEnd {
    ///     target,
    ///     service: "desk",
    ///     declared: Some(Duration::from_millis(300)),
    ///     run_time,
    ///     kind: AttemptEndKind::Completed,
    /// };
    /// router.on_attempt_end(now + run_time, &end);
    /// let expected = router.expected_run_time("desk").unwrap();
    /// assert!(expected.abs_diff(run_time) < Duration::from_millis(1));
    /// ```
    pub fn on_attempt_end(&mut self, now: Instant, end: &AttemptEnd<'_>) {
        self.on_timer(now);
        let row = &mut self.targets[end.target];
        if row.on_end(now, end.run_time) {
            self.pools[row.pool].remove_in_flight(row.domain, 1);
        }
        self.learn_result(now, end.target, end.kind);
        match end.kind {
            AttemptEndKind::Completed => self.learn_run_time(now, end),
            AttemptEndKind::Cancelled => self.learn_cancelled(now, end),
            AttemptEndKind::Failed | AttemptEndKind::TimedOut | AttemptEndKind::NotStarted => {}
        }
        self.refresh(end.target);
        self.check();
    }

    fn learn_run_time(&mut self, now: Instant, end: &AttemptEnd<'_>) {
        let row = &mut self.targets[end.target];
        let index = match self.services.get_index_of(end.service) {
            Some(index) => index,
            None => {
                self.services
                    .insert_full(end.service.to_owned(), RunTimes::default())
                    .0
            }
        };
        let run_times = &mut self.services[index];
        let deviation = run_times.observe(end.run_time, end.declared, row.speed.log_slowness());
        row.speed.observe(deviation, run_times.spread());
        self.check_speed(now, end.target, deviation);
    }

    /// Learns from an attempt that was cancelled after running for unusually long.
    ///
    /// Without this, a target that hangs looks sound as long as hedges cancel its attempts.
    fn learn_cancelled(&mut self, now: Instant, end: &AttemptEnd<'_>) {
        let Some(run_times) = self.services.get(end.service) else {
            return;
        };
        let row = &mut self.targets[end.target];
        let excess = run_times.excess(end.run_time, end.declared, row.speed.log_slowness());
        if run_times.mean().is_some() && excess > LONG_CANCELLED * run_times.spread() {
            row.speed.observe(excess, run_times.spread());
            self.check_speed(now, end.target, excess);
        }
    }

    /// Ejects a target that has turned out to be a slow outlier.
    fn check_speed(&mut self, now: Instant, target: TargetIndex, deviation: f64) {
        // A target that is recovering is faster than its estimate, and needs results to show it.
        let admitted = !self.targets[target].health.is_ejected();
        if deviation > 0.0 && admitted && self.is_slow_outlier(target) {
            self.eject_slow(now, target);
        }
    }

    fn learn_result(&mut self, now: Instant, target: TargetIndex, kind: AttemptEndKind) {
        let index = self.targets[target].pool;
        let Some(policy) = self.pools[index].ejection_policy else {
            return;
        };
        let others = match kind {
            AttemptEndKind::Completed | AttemptEndKind::Cancelled => 0.0,
            _ => self.failure_rate_of_others(target),
        };
        let health = &mut self.targets[target].health;
        if health.on_result(now, kind, &policy, others) == Verdict::Keep {
            return;
        }
        let member = self.targets[target].is_member();
        if member && (self.can_eject(index) || self.readmit_slow(index)) {
            self.targets[target]
                .health
                .eject(now, &policy, EjectionCause::Failures);
        } else if self.can_throttle(target) {
            self.targets[target].health.throttle(now, &policy);
        }
        self.note_wakeup(target);
    }

    /// Reports whether the healthy rest of the pool can take over most of a target's work.
    ///
    /// A pool that is small, or unhealthy for the most part, keeps its targets: tasks that fail are better than tasks
    /// that wait for nothing.
    fn can_throttle(&self, target: TargetIndex) -> bool {
        let members = &self.pools[self.targets[target].pool].members;
        let others = members.iter().filter(|&&other| other != target);
        let healthy = others.filter(|&&other| self.targets[other].health.is_healthy());
        healthy.count() * 2 >= members.len()
    }

    /// Ejects a target for its speed, if the pool can spare it.
    fn eject_slow(&mut self, now: Instant, target: TargetIndex) {
        let row = &self.targets[target];
        let (pool, member) = (row.pool, row.is_member());
        let Some(policy) = self.pools[pool].ejection_policy else {
            return;
        };
        if member && self.can_eject(pool) {
            self.targets[target]
                .health
                .eject(now, &policy, EjectionCause::Slowness);
            self.note_wakeup(target);
        }
    }

    /// Reports whether another member of a pool can be ejected within the limit.
    fn can_eject(&self, pool: PoolIndex) -> bool {
        let pool = &self.pools[pool];
        self.ejected(pool) < pool.ejection_limit()
    }

    /// Readmits a target that is only slow, in favour of one that fails.
    fn readmit_slow(&mut self, pool: PoolIndex) -> bool {
        let mut members = self.pools[pool].members.iter().copied();
        let Some(slow) = members.find(|&target| self.targets[target].health.is_ejected_for_slowness()) else {
            return false;
        };
        self.targets[slow].health.readmit();
        true
    }

    fn note_wakeup(&mut self, target: TargetIndex) {
        let due = self.targets[target].health.wakeup();
        self.wakeup = self.wakeup.into_iter().chain(due).min();
    }

    /// Reports whether a target is several times slower than most members of its pool.
    fn is_slow_outlier(&self, target: TargetIndex) -> bool {
        let row = &self.targets[target];
        let limit = row.speed.slowness() / SLOW_OUTLIER;
        let pool = &self.pools[row.pool];
        // Most targets are ruled out by the cheapest class, without a look at every member.
        let least = pool.classes.iter().next().map(|(class, _)| cost_of(class));
        if least.is_none_or(|least| least > limit * LEAST_MARGIN) {
            return false;
        }
        let members = &pool.members;
        let faster = members
            .iter()
            .filter(|&&member| self.targets[member].speed.slowness() < limit);
        faster.count() * 2 > members.len()
    }

    /// Returns the mean failure rate of the other members of a target's pool.
    fn failure_rate_of_others(&self, target: TargetIndex) -> f64 {
        let pool = &self.pools[self.targets[target].pool];
        let others = pool.members.iter().filter(|&&other| other != target);
        let mut sum = 0.0;
        let mut count = 0.0;
        for &other in others {
            sum += self.targets[other].health.failure_rate();
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
