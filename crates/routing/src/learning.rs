//! Learning from the results of attempts: run times of services, and speed and health of targets.

use std::time::{Duration, Instant};

use crate::classes::cost_of;
use crate::health::{AttemptEnd, AttemptEndKind, EjectionCause, Verdict};
use crate::router::Router;
use crate::run_times::RunTimes;
use crate::target::{PoolIndex, TargetIndex};

/// Factor by which a target must be slower than most others to be ejected for slowness.
///
/// Such a target adds little capacity, and a task with a wrong declared run time can miss its deadline there.
pub(crate) const SLOW_OUTLIER_FACTOR: f64 = 4.0;

/// Minimum excess of a cancelled attempt's run time that is learned, in mean absolute deviations of the logarithm.
const MIN_CANCELLED_EXCESS: f64 = 2.0;
/// Factor by which the midpoint of a cost class may exceed the slowness of a target in that class.
const CLASS_MARGIN: f64 = 1.1;

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
    /// assert_eq!(router.target_statuses()[target].in_flight, 1);
    /// ```
    pub fn on_start(&mut self, now: Instant, target: TargetIndex, _service: &str) {
        let state = &mut self.targets[target];
        state.on_start(now);
        self.pools[state.pool].add_in_flight(state.domain);
        self.update_listing(target);
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
    /// assert_eq!(router.target_statuses()[target].in_flight, 0);
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

    /// Records the end of an attempt, and updates the learned run times, speed and health.
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
        self.on_tick(now);
        let state = &mut self.targets[end.target];
        if state.on_end(now, end.run_time) {
            self.pools[state.pool].remove_in_flight(state.domain, 1);
        }
        self.update_health(now, end.target, end.kind);
        match end.kind {
            AttemptEndKind::Completed => self.update_from_completed(now, end),
            AttemptEndKind::Cancelled => self.update_from_cancelled(now, end),
            AttemptEndKind::Failed | AttemptEndKind::TimedOut | AttemptEndKind::NotStarted => {}
        }
        self.update_listing(end.target);
        self.debug_verify();
    }

    fn update_from_completed(&mut self, now: Instant, end: &AttemptEnd<'_>) {
        let state = &mut self.targets[end.target];
        let index = match self.services.get_index_of(end.service) {
            Some(index) => index,
            None => {
                self.services
                    .insert_full(end.service.to_owned(), RunTimes::default())
                    .0
            }
        };
        let run_times = &mut self.services[index];
        let deviation = run_times.observe(end.run_time, end.declared, state.speed.log_slowness());
        state.speed.observe(deviation, run_times.spread());
        self.eject_if_slow(now, end.target, deviation);
    }

    /// Updates the speed from an attempt that was cancelled after an unusually long run time.
    ///
    /// Without this, a target that hangs appears healthy as long as hedges cancel its attempts.
    fn update_from_cancelled(&mut self, now: Instant, end: &AttemptEnd<'_>) {
        let Some(run_times) = self.services.get(end.service) else {
            return;
        };
        let state = &mut self.targets[end.target];
        let excess = run_times.excess(end.run_time, end.declared, state.speed.log_slowness());
        if run_times.mean().is_some() && excess > MIN_CANCELLED_EXCESS * run_times.spread() {
            state.speed.observe(excess, run_times.spread());
            self.eject_if_slow(now, end.target, excess);
        }
    }

    /// Ejects a target whose updated speed makes it a slow outlier.
    fn eject_if_slow(&mut self, now: Instant, target: TargetIndex, deviation: f64) {
        // Only slow results count: a recovering target is faster than its estimate, and needs results to correct it.
        let in_use = !self.targets[target].health.is_ejected();
        if deviation > 0.0 && in_use && self.is_slow_outlier(target) {
            self.eject_for_slowness(now, target);
        }
    }

    fn update_health(&mut self, now: Instant, target: TargetIndex, kind: AttemptEndKind) {
        let index = self.targets[target].pool;
        let Some(policy) = self.pools[index].ejection_policy else {
            return;
        };
        let others_rate = match kind {
            AttemptEndKind::Completed | AttemptEndKind::Cancelled => 0.0,
            _ => self.failure_rate_of_others(target),
        };
        let health = &mut self.targets[target].health;
        if health.on_result(now, kind, &policy, others_rate) == Verdict::Keep {
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
        self.schedule_wakeup(target);
    }

    /// Reports whether the other healthy members, at least half of the pool, can take over most of a target's tasks.
    ///
    /// In a pool that is small or mostly unhealthy, targets stay in use: a task that fails is better than a task that
    /// waits in vain.
    fn can_throttle(&self, target: TargetIndex) -> bool {
        let members = &self.pools[self.targets[target].pool].members;
        let others = members.iter().filter(|&&other| other != target);
        let healthy = others.filter(|&&other| self.targets[other].health.is_healthy());
        healthy.count() * 2 >= members.len()
    }

    /// Ejects a target for slowness, if the pool's limit allows another ejection.
    fn eject_for_slowness(&mut self, now: Instant, target: TargetIndex) {
        let state = &self.targets[target];
        let (pool, member) = (state.pool, state.is_member());
        let Some(policy) = self.pools[pool].ejection_policy else {
            return;
        };
        if member && self.can_eject(pool) {
            self.targets[target]
                .health
                .eject(now, &policy, EjectionCause::Slowness);
            self.schedule_wakeup(target);
        }
    }

    /// Reports whether the pool's limit allows another ejection.
    fn can_eject(&self, pool: PoolIndex) -> bool {
        let pool = &self.pools[pool];
        self.ejected_count(pool) < pool.ejection_limit()
    }

    /// Readmits a target that was ejected for slowness, so that a failing one can be ejected instead.
    fn readmit_slow(&mut self, pool: PoolIndex) -> bool {
        let mut members = self.pools[pool].members.iter().copied();
        let Some(slow) = members.find(|&target| self.targets[target].health.is_ejected_for_slowness()) else {
            return false;
        };
        self.targets[slow].health.readmit();
        true
    }

    fn schedule_wakeup(&mut self, target: TargetIndex) {
        let due = self.targets[target].health.wakeup();
        self.wakeup = self.wakeup.into_iter().chain(due).min();
    }

    /// Reports whether a target is slower than most members of its pool by `SLOW_OUTLIER_FACTOR`.
    fn is_slow_outlier(&self, target: TargetIndex) -> bool {
        let state = &self.targets[target];
        let limit = state.speed.slowness() / SLOW_OUTLIER_FACTOR;
        let pool = &self.pools[state.pool];
        // The cheapest class rules out most targets without a scan of the members.
        let lowest_cost = pool.classes.iter().next().map(|(class, _)| cost_of(class));
        if lowest_cost.is_none_or(|lowest_cost| lowest_cost > limit * CLASS_MARGIN) {
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
