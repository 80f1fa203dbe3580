//! Membership of targets in pools, and the index of members by cost.

use std::time::Instant;

use chestnutfork_types::{EjectionPolicy, FailureDomain, PoolName, TargetName};

use crate::classes::class_of;
use crate::pool::Pool;
use crate::router::Router;
use crate::speed::Speed;
use crate::target::{PoolIndex, Target, TargetIndex};

impl Router {
    /// Adds a connected target; a target that reconnects keeps its index, its speed and its health.
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
        self.on_tick(now);
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
        target.connected = true;
        target.leaving = false;
        self.add_member(index);
        self.debug_verify();
        index
    }

    /// Removes a target whose connection is lost; its speed and health are retained.
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
    /// assert_eq!(router.pool_targets("main"), 0);
    /// ```
    pub fn remove_target(&mut self, target: TargetIndex) {
        self.remove_member(target);
        let state = &mut self.targets[target];
        let in_flight = state.in_flight();
        state.connected = false;
        state.reset_connection();
        self.pools[state.pool].remove_in_flight(state.domain, in_flight);
        self.update_listing(target);
        self.debug_verify();
    }

    /// Sets whether a target is leaving; a leaving target is never chosen.
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
    /// router.set_leaving(target, true);
    /// assert_eq!(router.pool_slots("main"), 0);
    /// ```
    pub fn set_leaving(&mut self, target: TargetIndex, leaving: bool) {
        let state = &self.targets[target];
        if state.leaving == leaving || !state.connected {
            return;
        }
        if leaving {
            self.remove_member(target);
        }
        self.targets[target].leaving = leaving;
        if leaving {
            self.update_listing(target);
        } else {
            self.add_member(target);
        }
        self.debug_verify();
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
        self.targets[target].free_credits = free;
        self.update_listing(target);
    }

    fn pool_index(&mut self, pool: PoolName) -> PoolIndex {
        let entry = self.pools.entry(pool);
        let index = entry.index();
        entry.or_default();
        index
    }

    pub(crate) fn set_ejection_policy(&mut self, pool: PoolIndex, policy: &EjectionPolicy) {
        if self.pools[pool].ejection_policy.as_ref() != Some(policy) {
            self.pools[pool].ejection_policy = Some(*policy);
            self.readmit_excess(pool);
        }
    }

    fn add_member(&mut self, target: TargetIndex) {
        let state = &self.targets[target];
        let pool = &mut self.pools[state.pool];
        pool.members.push(target);
        pool.slots += state.slots;
        let pool = state.pool;
        self.update_listing(target);
        self.readmit_excess(pool);
    }

    fn remove_member(&mut self, target: TargetIndex) {
        let state = &self.targets[target];
        let index = state.pool;
        let pool = &mut self.pools[index];
        let Some(position) = pool.members.iter().position(|&member| member == target) else {
            return;
        };
        pool.members.remove(position);
        pool.slots -= state.slots;
        self.readmit_excess(index);
    }

    /// Updates the position of a target in its pool's index.
    pub(crate) fn update_listing(&mut self, target: TargetIndex) {
        let state = &mut self.targets[target];
        let (class, available, healthy_in_flight) = (
            class_of(state.cost()),
            state.is_available(),
            state.healthy_in_flight(),
        );
        let member = state.is_member();
        let classes = &mut self.pools[state.pool].classes;
        if let Some(listing) = &mut state.listing
            && member
            && (listing.class, listing.available_index.is_some()) == (class, available)
        {
            classes.set_healthy_in_flight(listing, healthy_in_flight);
            return;
        }
        let moved = state.listing.take().and_then(|listing| {
            let moved = classes.remove(listing)?;
            Some((moved, listing.available_index))
        });
        if member {
            state.listing = Some(classes.insert(target, class, available, healthy_in_flight));
        }
        if let Some((moved, available_index)) = moved
            && let Some(listing) = &mut self.targets[moved].listing
        {
            listing.available_index = available_index;
        }
    }

    pub(crate) fn ejected_count(&self, pool: &Pool) -> usize {
        let members = pool.members.iter();
        members
            .filter(|&&target| self.targets[target].health.is_ejected())
            .count()
    }

    /// Readmits targets until the pool is within its ejection limit, in the order in which their ejections end.
    ///
    /// The limit falls when the pool loses a member or its policy changes.
    fn readmit_excess(&mut self, pool: PoolIndex) {
        while self.ejected_count(&self.pools[pool]) > self.pools[pool].ejection_limit() {
            let members = self.pools[pool].members.iter().copied();
            let ejected = members.filter(|&target| self.targets[target].health.is_ejected());
            let next = ejected.min_by_key(|&target| self.targets[target].health.wakeup());
            let Some(next) = next else { return };
            self.targets[next].health.readmit();
        }
    }

    /// Inserts a new target, whose initial speed is the geometric mean over the members of its pool.
    fn insert(&mut self, name: TargetName, mut target: Target) -> TargetIndex {
        let members = self.pools[target.pool].members.iter();
        let logs = members.map(|&member| self.targets[member].speed.log_slowness());
        let (sum, count) = logs.fold((0.0, 0.0), |(sum, count), log| (sum + log, count + 1.0));
        if count > 0.0 {
            target.speed = Speed::with_prior(sum / count);
        }
        self.targets.insert_full(name, target).0
    }
}
