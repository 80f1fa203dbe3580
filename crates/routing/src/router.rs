//! Router: state of the targets, pools and services, and the choice of a target for a task.

use std::time::{Duration, Instant};

use chestnutfork_types::{FailureDomain, Placement, PoolName, ServiceName, ServicePolicy, TargetName};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::classes::cost_of;
use crate::learning::SLOW_OUTLIER_FACTOR;
use crate::placement::{
    Choice, Decision, Learned, PlacementContext, PlacementRequest, PlacementRule, QueuePosition, Random,
};
use crate::pool::Pool;
use crate::run_times::RunTimes;
use crate::target::{PoolIndex, Target, TargetIndex};

/// Chooses targets for tasks, and learns from the results of attempts.
///
/// The caller reports every change of free credits with `set_credits`; `on_start` does not take a credit. Every
/// `on_start` is followed by one `on_end`, except after `remove_target`, which discards the attempts in flight.
#[derive(Clone, Debug)]
pub struct Router {
    rng: ChaCha8Rng,
    pub(crate) targets: IndexMap<TargetName, Target>,
    pub(crate) pools: IndexMap<PoolName, Pool>,
    pub(crate) domains: IndexSet<FailureDomain>,
    pub(crate) services: IndexMap<ServiceName, RunTimes>,
    /// Earliest end of an ejection or a throttling delay.
    pub(crate) wakeup: Option<Instant>,
}

impl Router {
    /// Creates a router without targets.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_routing::Router;
    ///
    /// assert!(Router::new(1).target_statuses().is_empty());
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: IndexMap::new(),
            pools: IndexMap::new(),
            domains: IndexSet::new(),
            services: IndexMap::new(),
            wakeup: None,
        }
    }

    /// Chooses a target for a task, without deferring it for a faster target.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_routing::{Choice, PlacementRequest, Router};
    /// use chestnutfork_types::ServicePolicy;
    ///
    /// let now = Instant::now();
    /// let req = PlacementRequest {
    ///     service: "desk",
    ///     declared: Some(Duration::from_millis(200)),
    ///     deadline: now + Duration::from_secs(1),
    ///     remaining_tasks: 1,
    ///     exclude: &[],
    /// };
    /// let policy = ServicePolicy::builder("main").build();
    /// assert_eq!(Router::new(1).choose(now, &req, &policy), Choice::NoTarget);
    /// ```
    pub fn choose(&mut self, now: Instant, req: &PlacementRequest<'_>, policy: &ServicePolicy) -> Choice {
        self.choose_by_policy(now, req, None, policy)
    }

    /// Chooses a target for a task, or defers the task until a faster target has a free credit.
    ///
    /// `Wait` with a time means that the task is deferred and that other tasks may use the free credits. The caller
    /// keeps deferred tasks in order, and repeats their requests before those of other tasks.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_routing::{Choice, PlacementRequest, QueuePosition, Router};
    /// use chestnutfork_types::ServicePolicy;
    ///
    /// let now = Instant::now();
    /// let mut router = Router::new(1);
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// router.set_credits(target, 8);
    /// let req = PlacementRequest {
    ///     service: "desk",
    ///     declared: None,
    ///     deadline: now + Duration::from_secs(1),
    ///     remaining_tasks: 1,
    ///     exclude: &[],
    /// };
    /// let policy = ServicePolicy::builder("main").build();
    /// let position = QueuePosition { ahead: 0, deferred_since: None };
    /// assert_eq!(router.choose_or_defer(now, &req, position, &policy), Choice::Use(target));
    /// ```
    pub fn choose_or_defer(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        position: QueuePosition,
        policy: &ServicePolicy,
    ) -> Choice {
        self.choose_by_policy(now, req, Some(position), policy)
    }

    fn choose_by_policy(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        position: Option<QueuePosition>,
        policy: &ServicePolicy,
    ) -> Choice {
        match policy.placement {
            Placement::Random => self.choose_by_rule(&Random, now, req, position, policy),
            Placement::Learned => self.choose_by_rule(&Learned, now, req, position, policy),
        }
    }

    fn choose_by_rule<R: PlacementRule>(
        &mut self,
        rule: &R,
        now: Instant,
        req: &PlacementRequest<'_>,
        position: Option<QueuePosition>,
        policy: &ServicePolicy,
    ) -> Choice {
        self.on_tick(now);
        let Some(index) = self.pools.get_index_of(&policy.pool) else {
            return Choice::NoTarget;
        };
        self.set_ejection_policy(index, &policy.ejection);
        let pool = &self.pools[index];
        if pool.members.iter().all(|target| req.exclude.contains(target)) {
            return Choice::NoTarget;
        }
        let run_times = self.services.get(req.service);
        let context = PlacementContext {
            now,
            targets: &self.targets,
            pool,
            exclude: req.exclude,
            run_time: run_times.and_then(|run_times| run_times.expected(req.declared)),
            mean: run_times.and_then(RunTimes::mean),
            position,
            deadline: req.deadline,
        };
        let decision = rule.decide(&context, &mut self.rng);
        self.apply_decision(index, decision)
    }

    /// Returns the slots of a pool's connected targets that are not leaving.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_routing::Router;
    ///
    /// let mut router = Router::new(1);
    /// let now = Instant::now();
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// router.add_target(now, "runner-2".into(), "main".into(), "b".into(), 4);
    /// assert_eq!(router.pool_slots("main"), 12);
    /// ```
    #[must_use]
    pub fn pool_slots(&self, pool: &str) -> u32 {
        self.pools.get(pool).map_or(0, |pool| pool.slots)
    }

    /// Returns the number of a pool's connected targets that are not leaving.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_routing::Router::new(1).pool_targets("main"), 0);
    /// ```
    #[must_use]
    pub fn pool_targets(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.members.len())
    }

    /// Returns the speed of a pool's fastest target; a target of average speed has 1.0.
    ///
    /// # Examples
    ///
    /// ```
    /// let router = chestnutfork_routing::Router::new(1);
    /// assert!((router.fastest_speed("main") - 1.0).abs() < f64::EPSILON);
    /// ```
    #[must_use]
    pub fn fastest_speed(&self, pool: &str) -> f64 {
        let members = self.pools.get(pool).map_or(&[][..], |pool| &pool.members);
        let slowness = members
            .iter()
            .map(|&target| self.targets[target].speed.slowness());
        slowness.reduce(f64::min).map_or(1.0, |least| 1.0 / least)
    }

    /// Returns the expected run time of a task with the given declaration on a target of average speed, if known.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let router = chestnutfork_routing::Router::new(1);
    /// assert_eq!(router.expected_run_time_declared("desk", Duration::from_secs(1)), None);
    /// ```
    #[must_use]
    pub fn expected_run_time_declared(&self, service: &str, declared: Duration) -> Option<Duration> {
        let seconds = self.services.get(service)?.expected(Some(declared))?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns the mean run time of a service on a target of average speed, if any was observed.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_routing::Router::new(1).expected_run_time("desk"), None);
    /// ```
    #[must_use]
    pub fn expected_run_time(&self, service: &str) -> Option<Duration> {
        let mean = self.services.get(service)?.mean()?;
        Duration::try_from_secs_f64(mean).ok()
    }

    /// Returns the hedging delay of an attempt on a target, if the policy allows hedging.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::ServicePolicy;
    /// use std::time::Instant;
    /// use chestnutfork_routing::Router;
    ///
    /// let mut router = Router::new(1);
    /// let now = Instant::now();
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// // An at-most-once service is never hedged.
    /// let policy = ServicePolicy::builder("main").build();
    /// assert_eq!(router.hedge_delay("desk", target, &policy), None);
    /// ```
    #[must_use]
    pub fn hedge_delay(
        &self,
        service: &str,
        target: TargetIndex,
        policy: &ServicePolicy,
    ) -> Option<Duration> {
        self.hedge_delay_declared(service, None, target, policy)
    }

    /// Returns the hedging delay of an attempt of a task with an optional declared run time.
    ///
    /// The delay is a multiple of the run time expected on the target, where the expected run time of the task is at
    /// least the service's mean.
    #[must_use]
    pub fn hedge_delay_declared(
        &self,
        service: &str,
        declared: Option<Duration>,
        target: TargetIndex,
        policy: &ServicePolicy,
    ) -> Option<Duration> {
        if !policy.hedge.enabled || policy.at_most_once {
            return None;
        }
        let run_times = self.services.get(service)?;
        let expected = run_times.expected(declared)?.max(run_times.mean()?);
        let state = &self.targets[target];
        // A target beyond the threshold of slow outliers may hang, and is hedged like a target at the threshold.
        let cheapest = self.pools[state.pool].classes.iter().next();
        let limit = cheapest.map_or(f64::INFINITY, |(class, _)| cost_of(class) * SLOW_OUTLIER_FACTOR);
        let slowness = state.speed.slowness().min(limit);
        Duration::try_from_secs_f64(expected * slowness * policy.hedge.delay_factor).ok()
    }

    /// Ends ejections, throttling delays and deferrals that have expired.
    ///
    /// Call it when the timer for `next_wakeup` fires.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_routing::Router;
    ///
    /// let mut router = Router::new(1);
    /// let now = Instant::now();
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// router.on_tick(now);
    /// assert_eq!(router.next_wakeup(), None);
    /// ```
    pub fn on_tick(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            if pool.next_deferral_end.is_some_and(|until| now >= until) {
                pool.next_deferral_end = None;
            }
        }
        if self.wakeup.is_none_or(|wakeup| now < wakeup) {
            return;
        }
        for target in self.targets.values_mut() {
            target.health.advance(now);
        }
        let wakeups = self.targets.values().filter_map(|target| target.health.wakeup());
        self.wakeup = wakeups.min();
    }

    /// Returns when the next ejection, throttling delay or deferral ends.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_routing::Router::new(1).next_wakeup(), None);
    /// ```
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let deferrals = self.pools.values().filter_map(|pool| pool.next_deferral_end);
        deferrals.chain(self.wakeup).min()
    }

    pub(crate) fn debug_verify(&self) {
        debug_assert_eq!(self.verify(), Ok(()));
    }

    /// Converts a rule's decision to a choice, and records the end of a deferral.
    fn apply_decision(&mut self, pool: PoolIndex, decision: Decision) -> Choice {
        match decision {
            Decision::Use(target) => Choice::Use(target),
            Decision::NoneAvailable => Choice::Wait { until: None },
            Decision::Defer { until } => {
                let pool = &mut self.pools[pool];
                let earliest = pool
                    .next_deferral_end
                    .map_or(until, |earliest| earliest.min(until));
                pool.next_deferral_end = Some(earliest);
                Choice::Wait { until: Some(until) }
            }
        }
    }
}
