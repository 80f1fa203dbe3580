//! Placement rules: the choice of a target among those with free credits.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use chestnutfork_types::TargetName;

use crate::classes::{class_of, cost_of};
use crate::pool::Pool;
use crate::target::{Target, TargetIndex};

/// Fraction of the candidate's cost below which another target counts as faster.
const FASTER_COST_RATIO: f64 = 0.9;

/// Factor by which the expected gain of a deferral must exceed the expected wait.
///
/// Tasks that arrive during the wait take some of the credits. In the placement example, values from 2 to 6 perform
/// about equally well, and 1 is clearly worse.
const DEFERRAL_MARGIN: f64 = 3.0;

/// Task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service of the task.
    pub service: &'a str,
    /// Run time that the caller declared.
    pub declared: Option<Duration>,
    /// Deadline of the job.
    pub deadline: Instant,
    /// Unfinished tasks of the job, this one included.
    pub remaining_tasks: u32,
    /// Targets that must not be used, for example because an attempt failed there.
    pub exclude: &'a [TargetIndex],
}

/// Position of a task among those that wait for the next credits of faster targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// Number of tasks that receive such a credit first.
    pub ahead: u32,
    /// Time at which the task was deferred, if it was.
    pub deferred_since: Option<Instant>,
}

/// Result of a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Start the task on this target.
    Use(TargetIndex),
    /// Keep the task queued, and repeat the request after any credit, result or wake-up.
    Wait {
        /// End of the deferral, if the task leaves free credits unused to wait for a faster target.
        until: Option<Instant>,
    },
    /// The pool has no member that the task may use.
    NoTarget,
}

/// Inputs of a placement rule.
#[derive(Debug)]
pub(crate) struct PlacementContext<'a> {
    pub(crate) now: Instant,
    pub(crate) targets: &'a IndexMap<TargetName, Target>,
    pub(crate) pool: &'a Pool,
    pub(crate) exclude: &'a [TargetIndex],
    /// Expected run time of the task in seconds on a target of average speed, if known.
    pub(crate) run_time: Option<f64>,
    /// Mean run time of the service's tasks in seconds on a target of average speed, if known.
    pub(crate) mean: Option<f64>,
    /// Position among the tasks that wait for faster targets; `None` if the task must not be deferred.
    pub(crate) position: Option<QueuePosition>,
    pub(crate) deadline: Instant,
}

impl PlacementContext<'_> {
    fn admits(&self, target: TargetIndex) -> bool {
        !self.exclude.contains(&target) && self.targets[target].admits(self.now)
    }
}

/// Decision of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    Use(TargetIndex),
    /// Defer the task until then, because a faster target is expected to finish it earlier.
    Defer {
        until: Instant,
    },
    /// No target can take the task now.
    NoneAvailable,
}

/// Rule that selects a target for a task.
pub(crate) trait PlacementRule {
    fn decide(&self, context: &PlacementContext<'_>, rng: &mut ChaCha8Rng) -> Decision;
}

/// Uniformly random choice, the baseline for measurements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Random;

impl PlacementRule for Random {
    fn decide(&self, context: &PlacementContext<'_>, rng: &mut ChaCha8Rng) -> Decision {
        let candidates = context
            .pool
            .classes
            .available()
            .filter(|&target| context.admits(target));
        candidates
            .choose(rng)
            .map_or(Decision::NoneAvailable, Decision::Use)
    }
}

/// Smallest expected finish time, estimated from learned speed and health.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Learned;

impl PlacementRule for Learned {
    fn decide(&self, context: &PlacementContext<'_>, _rng: &mut ChaCha8Rng) -> Decision {
        let Some(target) = cheapest(context) else {
            return Decision::NoneAvailable;
        };
        match deferral_end(context, context.targets[target].cost()) {
            Some(until) if until > context.now => Decision::Defer { until },
            _ => Decision::Use(target),
        }
    }
}

/// Returns a target of the cheapest class that has one.
///
/// Within the class, the target whose failure domain has the fewest attempts in flight is preferred, then the one with
/// the most free credits.
fn cheapest(context: &PlacementContext<'_>) -> Option<TargetIndex> {
    context.pool.classes.iter().find_map(|(_, class)| {
        let available = class.available.iter().copied();
        let candidates = available.filter(|&target| context.admits(target));
        candidates.min_by_key(|&target| {
            let state = &context.targets[target];
            let domain = context.pool.domain_in_flight(state.domain);
            (domain, Reverse(state.free_credits), target)
        })
    })
}

/// Returns until when to defer the task instead of using a candidate of the given cost, if a faster target is expected
/// to finish it earlier.
fn deferral_end(context: &PlacementContext<'_>, cost: f64) -> Option<Instant> {
    let position = context.position?;
    let run_time = context.run_time?;
    let (rate, faster) = faster_credits(context, cost)?;
    let gain = run_time * (cost - faster);
    let wait = f64::from(position.ahead + 1) * context.mean? / rate;
    if wait * DEFERRAL_MARGIN >= gain {
        return None;
    }
    // The total wait, also over repeated requests, is limited to the expected gain.
    let since = position.deferred_since.unwrap_or(context.now);
    let until = since + Duration::try_from_secs_f64(gain).ok()?;
    let run = Duration::try_from_secs_f64(run_time * cost).ok()?;
    Some(until.min(context.deadline.checked_sub(run)?))
}

/// Returns the rate at which faster targets free credits, per mean run time, and the mean cost of those targets.
fn faster_credits(context: &PlacementContext<'_>, cost: f64) -> Option<(f64, f64)> {
    let limit = class_of(cost * FASTER_COST_RATIO);
    let mut rate = 0.0;
    let mut total = 0.0;
    for (class, members) in context
        .pool
        .classes
        .iter()
        .take_while(|(class, _)| *class < limit)
    {
        let in_flight = f64::from(members.healthy_in_flight);
        rate += in_flight / cost_of(class);
        total += in_flight;
    }
    for &target in context.exclude {
        let state = &context.targets[target];
        let listing = state
            .listing
            .filter(|listing| listing.class < limit && state.is_member());
        if let Some(listing) = listing {
            rate -= f64::from(listing.healthy_in_flight) / cost_of(listing.class);
            total -= f64::from(listing.healthy_in_flight);
        }
    }
    (total > 0.5).then(|| (rate, total / rate))
}
