//! Rules that pick a target among those with a free credit.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use chestnutfork_types::TargetName;

use crate::classes::{class_of, cost_of};
use crate::pool::Pool;
use crate::target::{Target, TargetIndex};

/// A target counts as faster only below this fraction of the candidate's cost.
const CLEARLY_FASTER: f64 = 0.9;

/// How many times the expected wait a hold must gain.
///
/// Credits also go to tasks that arrive meanwhile; in the placement experiment values from 2 to 6 do about equally
/// well, and 1 is clearly worse.
const HOLD_MARGIN: f64 = 3.0;

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

/// Position of a task in the line for the next credits of faster targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// Held tasks that get such a credit earlier.
    pub ahead: u32,
    /// Since when the task forgoes free credits, if it does already.
    pub deferred_since: Option<Instant>,
}

/// Answer to a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Start the task on this target.
    Use(TargetIndex),
    /// Keep the task queued, and ask again after any credit, result or wakeup.
    Wait {
        /// Set if free credits are forgone for a faster target: the time at which the task takes one after all.
        until: Option<Instant>,
    },
    /// The pool has no target that could ever take the task.
    NoTarget,
}

/// What a rule sees.
#[derive(Debug)]
pub(crate) struct View<'a> {
    pub(crate) now: Instant,
    pub(crate) targets: &'a IndexMap<TargetName, Target>,
    pub(crate) pool: &'a Pool,
    pub(crate) exclude: &'a [TargetIndex],
    /// Expected run time of the task in seconds on a target of average speed, if known.
    pub(crate) run_time: Option<f64>,
    /// Mean run time of the service's tasks in seconds on a target of average speed, if known.
    pub(crate) mean: Option<f64>,
    /// Position in the line for faster targets; without one, the task does not wait for them.
    pub(crate) position: Option<QueuePosition>,
    pub(crate) deadline: Instant,
}

impl View<'_> {
    fn admits(&self, target: TargetIndex) -> bool {
        !self.exclude.contains(&target) && self.targets[target].admits(self.now)
    }
}

/// Decision of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pick {
    Use(TargetIndex),
    /// Forgo the free credits until then, because a faster target is expected to finish the task earlier.
    Hold {
        until: Instant,
    },
    /// No target may take the task now.
    Nothing,
}

/// Rule that picks a target.
pub(crate) trait Rule {
    fn pick(&self, view: &View<'_>, rng: &mut ChaCha8Rng) -> Pick;
}

/// Uniformly random choice; the baseline for measurements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Random;

impl Rule for Random {
    fn pick(&self, view: &View<'_>, rng: &mut ChaCha8Rng) -> Pick {
        let candidates = view
            .pool
            .classes
            .available()
            .filter(|&target| view.admits(target));
        candidates.choose(rng).map_or(Pick::Nothing, Pick::Use)
    }
}

/// Smallest expected finish time by learned speed and health.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Learned;

impl Rule for Learned {
    fn pick(&self, view: &View<'_>, _rng: &mut ChaCha8Rng) -> Pick {
        let Some(target) = cheapest(view) else {
            return Pick::Nothing;
        };
        match hold(view, view.targets[target].cost()) {
            Some(until) if until > view.now => Pick::Hold { until },
            _ => Pick::Use(target),
        }
    }
}

/// Returns the target of the cheapest class, and among equals the one whose failure domain is least used.
fn cheapest(view: &View<'_>) -> Option<TargetIndex> {
    view.pool.classes.iter().find_map(|(_, class)| {
        let available = class.available.iter().copied();
        let candidates = available.filter(|&target| view.admits(target));
        candidates.min_by_key(|&target| {
            let row = &view.targets[target];
            let domain = view.pool.domain_in_flight(row.domain);
            (domain, Reverse(row.free_credits), target)
        })
    })
}

/// Returns until when to forgo a candidate of the given cost, if a faster target is expected to finish earlier.
fn hold(view: &View<'_>, cost: f64) -> Option<Instant> {
    let position = view.position?;
    let run_time = view.run_time?;
    let (rate, faster) = faster_credits(view, cost)?;
    let gain = run_time * (cost - faster);
    let wait = f64::from(position.ahead + 1) * view.mean? / rate;
    if wait * HOLD_MARGIN >= gain {
        return None;
    }
    // The wait is bounded by what it could gain at best, also over several decisions.
    let since = position.deferred_since.unwrap_or(view.now);
    let until = since + Duration::try_from_secs_f64(gain).ok()?;
    let run = Duration::try_from_secs_f64(run_time * cost).ok()?;
    Some(until.min(view.deadline.checked_sub(run)?))
}

/// Returns the rate of credits per run time from clearly faster targets, and the mean cost of those credits.
fn faster_credits(view: &View<'_>, cost: f64) -> Option<(f64, f64)> {
    let limit = class_of(cost * CLEARLY_FASTER);
    let mut rate = 0.0;
    let mut total = 0.0;
    for (class, row) in view.pool.classes.iter().take_while(|(class, _)| *class < limit) {
        let in_flight = f64::from(row.healthy_in_flight);
        rate += in_flight / cost_of(class);
        total += in_flight;
    }
    for &target in view.exclude {
        let row = &view.targets[target];
        let listing = row
            .listing
            .filter(|listing| listing.class < limit && row.is_member());
        if let Some(listing) = listing {
            rate -= f64::from(listing.healthy_in_flight) / cost_of(listing.class);
            total -= f64::from(listing.healthy_in_flight);
        }
    }
    (total > 0.5).then(|| (rate, total / rate))
}
