//! Router: the table of targets, what is learned about them, and the choice of a target.

use std::time::{Duration, Instant};

use chestnutfork_types::{
    EjectionPolicy, FailureDomain, Placement, PoolName, ServiceName, ServicePolicy, TargetName,
};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::classes::class_of;
use crate::placement::{Choice, Learned, Pick, Place, PlacementRequest, Random, Rule, View};
use crate::pool::Pool;
use crate::service::RunTimes;
use crate::speed::Speed;
use crate::target::{PoolIndex, Target, TargetIndex};

/// Chooses targets for tasks and learns from how the attempts end.
///
/// The caller reports every change of free credits with `set_credits`; `on_start` does not take a credit. Every
/// `on_start` is followed by one `on_end`, except after `remove_target`, which forgets the attempts in flight.
#[derive(Clone, Debug)]
pub struct Router {
    rng: ChaCha8Rng,
    pub(crate) targets: IndexMap<TargetName, Target>,
    pub(crate) pools: IndexMap<PoolName, Pool>,
    pub(crate) domains: IndexSet<FailureDomain>,
    pub(crate) services: IndexMap<ServiceName, RunTimes>,
    /// Earliest end of an ejection or a pause.
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
    /// assert!(Router::new(1).snapshot().is_empty());
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

    /// Adds a connected target; a known name gets its index and its history back.
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
    /// router.remove_target(target);
    /// assert_eq!(router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8), target);
    /// assert_eq!(router.pool_slots("main"), 8);
    /// ```
    pub fn add_target(
        &mut self,
        now: Instant,
        target: TargetName,
        pool: PoolName,
        failure_domain: FailureDomain,
        slots: u32,
    ) -> TargetIndex {
        self.on_timer(now);
        let pool = self.pool_index(pool);
        let (domain, _) = self.domains.insert_full(failure_domain);
        let index = match self.targets.get_index_of(&target) {
            Some(index) => {
                self.remove_target(index);
                index
            }
            None => self.insert(target, Target::new(pool, domain, slots)),
        };
        let target = &mut self.targets[index];
        target.pool = pool;
        target.domain = domain;
        target.slots = slots;
        target.present = true;
        target.leaving = false;
        self.join(index);
        self.check();
        index
    }

    /// Removes a target whose connection is lost; its history is kept.
    pub fn remove_target(&mut self, target: TargetIndex) {
        self.part(target);
        let row = &mut self.targets[target];
        let in_flight = row.in_flight();
        row.present = false;
        row.reset();
        self.pools[row.pool].remove_in_flight(row.domain, in_flight);
        self.refresh(target);
        self.check();
    }

    /// Marks a target as leaving, or as staying after all; a leaving target is never chosen.
    pub fn set_leaving(&mut self, target: TargetIndex, leaving: bool) {
        let row = &self.targets[target];
        if row.leaving == leaving || !row.present {
            return;
        }
        if leaving {
            self.part(target);
        }
        self.targets[target].leaving = leaving;
        if leaving {
            self.refresh(target);
        } else {
            self.join(target);
        }
        self.check();
    }

    /// Sets the number of free credits of a target.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_routing::{Choice, PlacementRequest, Router};
    /// use chestnutfork_types::ServicePolicy;
    ///
    /// let mut router = Router::new(1);
    /// let now = Instant::now();
    /// let target = router.add_target(now, "runner-1".into(), "main".into(), "a".into(), 8);
    /// let policy = ServicePolicy::builder("main").build();
    /// let req = PlacementRequest {
    ///     service: "desk",
    ///     declared: None,
    ///     deadline: now + Duration::from_secs(1),
    ///     remaining_tasks: 1,
    ///     exclude: &[],
    /// };
    /// assert_eq!(router.choose(now, &req, &policy), Choice::Wait { until: None });
    /// router.set_credits(target, 8);
    /// assert_eq!(router.choose(now, &req, &policy), Choice::Use(target));
    /// ```
    pub fn set_credits(&mut self, target: TargetIndex, free: u32) {
        self.targets[target].free = free;
        self.refresh(target);
    }

    /// Chooses a target for a task that must not forgo a free credit.
    pub fn choose(&mut self, now: Instant, req: &PlacementRequest<'_>, policy: &ServicePolicy) -> Choice {
        self.choose_with_place(now, req, None, policy)
    }

    /// Chooses a target for a task that may be held back until a faster target has a credit.
    ///
    /// The answer `Wait` with a time then means that free credits may be left for other tasks. The caller keeps the
    /// task in a line, asks for the tasks in the line first, and goes on with the tasks behind it.
    pub fn choose_or_hold(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        place: Place,
        policy: &ServicePolicy,
    ) -> Choice {
        self.choose_with_place(now, req, Some(place), policy)
    }

    fn choose_with_place(
        &mut self,
        now: Instant,
        req: &PlacementRequest<'_>,
        place: Option<Place>,
        policy: &ServicePolicy,
    ) -> Choice {
        match policy.placement {
            Placement::Random => self.choose_by(&Random, now, req, place, policy),
            Placement::Learned => self.choose_by(&Learned, now, req, place, policy),
        }
    }

    fn choose_by<R: Rule>(
        &mut self,
        rule: &R,
        now: Instant,
        req: &PlacementRequest<'_>,
        place: Option<Place>,
        policy: &ServicePolicy,
    ) -> Choice {
        self.on_timer(now);
        let Some(index) = self.pools.get_index_of(&policy.pool) else {
            return Choice::NoTarget;
        };
        self.adopt_policy(index, &policy.ejection);
        let pool = &self.pools[index];
        if pool.members.iter().all(|target| req.exclude.contains(target)) {
            return Choice::NoTarget;
        }
        let run_times = self.services.get(req.service);
        let view = View {
            now,
            targets: &self.targets,
            pool,
            exclude: req.exclude,
            run_time: run_times.and_then(|run_times| run_times.expected(req.declared)),
            mean: run_times.and_then(RunTimes::mean),
            place,
            deadline: req.deadline,
        };
        let pick = rule.pick(&view, &mut self.rng);
        self.settle(index, pick)
    }

    /// Returns the slots of a pool's connected targets that are not leaving.
    #[must_use]
    pub fn pool_slots(&self, pool: &str) -> u32 {
        self.pools.get(pool).map_or(0, |pool| pool.slots)
    }

    /// Returns the number of a pool's connected targets that are not leaving.
    #[must_use]
    pub fn pool_targets(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.members.len())
    }

    /// Returns the speed of a pool's fastest target; a target of average speed has 1.0.
    #[must_use]
    pub fn fastest_speed(&self, pool: &str) -> f64 {
        let members = self.pools.get(pool).map_or(&[][..], |pool| &pool.members);
        let slowness = members
            .iter()
            .map(|&target| self.targets[target].speed.slowness());
        slowness.reduce(f64::min).map_or(1.0, |least| 1.0 / least)
    }

    /// Returns the mean run time of a service on a target of average speed, if any was observed.
    #[must_use]
    pub fn expected_run_time(&self, service: &str) -> Option<Duration> {
        let mean = self.services.get(service)?.mean()?;
        Duration::try_from_secs_f64(mean).ok()
    }

    /// Returns the time after which to hedge an attempt on a target, if the policy allows hedging.
    #[must_use]
    pub fn hedge_after(
        &self,
        service: &str,
        target: TargetIndex,
        policy: &ServicePolicy,
    ) -> Option<Duration> {
        if !policy.hedge.enabled || policy.at_most_once {
            return None;
        }
        let mean = self.services.get(service)?.mean()?;
        let slowness = self.targets[target].speed.slowness();
        Duration::try_from_secs_f64(mean * slowness * policy.hedge.after).ok()
    }

    /// Ends ejections and deliberate waits that are over; call it when the timer for `next_wakeup` fires.
    pub fn on_timer(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            if pool.held_until.is_some_and(|until| now >= until) {
                pool.held_until = None;
            }
        }
        if self.wakeup.is_none_or(|wakeup| now < wakeup) {
            return;
        }
        for target in self.targets.values_mut() {
            target.health.advance(now);
        }
        let pauses = self.targets.values().filter_map(|target| target.health.wakeup());
        self.wakeup = pauses.min();
    }

    /// Returns when the next ejection or deliberate wait ends.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let holds = self.pools.values().filter_map(|pool| pool.held_until);
        holds.chain(self.wakeup).min()
    }

    pub(crate) fn check(&self) {
        debug_assert_eq!(self.verify(), Ok(()));
    }

    fn pool_index(&mut self, pool: PoolName) -> PoolIndex {
        let entry = self.pools.entry(pool);
        let index = entry.index();
        entry.or_default();
        index
    }

    /// Turns a rule's decision into an answer and remembers when the next deliberate wait ends.
    fn settle(&mut self, pool: PoolIndex, pick: Pick) -> Choice {
        match pick {
            Pick::Use(target) => Choice::Use(target),
            Pick::Nothing => Choice::Wait { until: None },
            Pick::Hold { until } => {
                let pool = &mut self.pools[pool];
                let earliest = pool.held_until.map_or(until, |earliest| earliest.min(until));
                pool.held_until = Some(earliest);
                Choice::Wait { until: Some(until) }
            }
        }
    }

    fn adopt_policy(&mut self, pool: PoolIndex, policy: &EjectionPolicy) {
        if self.pools[pool].ejection.as_ref() != Some(policy) {
            self.pools[pool].ejection = Some(*policy);
            self.readmit_surplus(pool);
        }
    }

    /// Makes a target a member of its pool.
    fn join(&mut self, target: TargetIndex) {
        let row = &self.targets[target];
        let pool = &mut self.pools[row.pool];
        pool.members.push(target);
        pool.slots += row.slots;
        let pool = row.pool;
        self.refresh(target);
        self.readmit_surplus(pool);
    }

    /// Ends the membership of a target in its pool.
    fn part(&mut self, target: TargetIndex) {
        let row = &self.targets[target];
        let index = row.pool;
        let pool = &mut self.pools[index];
        let Some(at) = pool.members.iter().position(|&member| member == target) else {
            return;
        };
        pool.members.remove(at);
        pool.slots -= row.slots;
        self.readmit_surplus(index);
    }

    /// Brings the listing of a target in its pool up to date.
    pub(crate) fn refresh(&mut self, target: TargetIndex) {
        let row = &mut self.targets[target];
        let (class, open, busy) = (class_of(row.cost()), row.is_open(), row.busy());
        let member = row.is_member();
        let classes = &mut self.pools[row.pool].classes;
        if let Some(listing) = &mut row.listing
            && member
            && (listing.class, listing.open_at.is_some()) == (class, open)
        {
            classes.set_busy(listing, busy);
            return;
        }
        let moved = row.listing.take().and_then(|listing| {
            let moved = classes.remove(listing)?;
            Some((moved, listing.open_at))
        });
        if member {
            row.listing = Some(classes.insert(target, class, open, busy));
        }
        if let Some((moved, open_at)) = moved
            && let Some(listing) = &mut self.targets[moved].listing
        {
            listing.open_at = open_at;
        }
    }

    pub(crate) fn ejected(&self, pool: &Pool) -> usize {
        let members = pool.members.iter();
        members
            .filter(|&&target| self.targets[target].health.is_ejected())
            .count()
    }

    /// Ends the earliest ejections until the pool keeps its limit again, after it shrank or its policy changed.
    fn readmit_surplus(&mut self, pool: PoolIndex) {
        while self.ejected(&self.pools[pool]) > self.pools[pool].ejection_limit() {
            let members = self.pools[pool].members.iter().copied();
            let ejected = members.filter(|&target| self.targets[target].health.is_ejected());
            let next = ejected.min_by_key(|&target| self.targets[target].health.wakeup());
            let Some(next) = next else { return };
            self.targets[next].health.readmit();
        }
    }

    /// Inserts a target of an unknown name, which is taken for as fast as the other members of its pool.
    fn insert(&mut self, name: TargetName, mut target: Target) -> TargetIndex {
        let members = self.pools[target.pool].members.iter();
        let logs = members.map(|&member| self.targets[member].speed.log());
        let (sum, count) = logs.fold((0.0, 0.0), |(sum, count), log| (sum + log, count + 1.0));
        if count > 0.0 {
            target.speed = Speed::starting_at(sum / count);
        }
        self.targets.insert_full(name, target).0
    }
}
