//! Rules that pick a target among those with a free credit.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use chestnutfork_types::TargetName;

use crate::pool::Pool;
use crate::target::{Target, TargetIndex};

/// Costs within this factor of the smallest count as equal; learned speeds are not more precise.
const TIE: f64 = 1.05;
/// A target counts as faster only below this fraction of the candidate's cost.
const CLEARLY_FASTER: f64 = 0.9;

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

/// Answer to a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Start the task on this target.
    Use(TargetIndex),
    /// Keep the task queued; ask again after any credit or result, and at the given time if there is one.
    Wait {
        /// Time at which the answer changes without another event.
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
    /// Targets that may take the task now; never empty.
    pub(crate) candidates: &'a [TargetIndex],
    pub(crate) exclude: &'a [TargetIndex],
    /// Expected run time in seconds on a target of average speed, if known.
    pub(crate) run_time: Option<f64>,
    /// Tasks that compete for the next credits, this one included.
    pub(crate) waiting: u32,
    pub(crate) deadline: Instant,
}

/// Decision of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pick {
    Use(TargetIndex),
    /// Forgo the free credits until then, because a faster target is expected to finish the task earlier.
    Hold {
        until: Instant,
    },
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
        Pick::Use(view.candidates[rng.random_range(0..view.candidates.len())])
    }
}

/// Smallest expected finish time by learned speed and health.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Learned;

impl Rule for Learned {
    fn pick(&self, view: &View<'_>, _rng: &mut ChaCha8Rng) -> Pick {
        let target = cheapest(view);
        match hold(view, view.targets[target].cost()) {
            Some(until) if until > view.now => Pick::Hold { until },
            _ => Pick::Use(target),
        }
    }
}

/// Returns the candidate of smallest cost, and among equals the one whose failure domain is least used.
fn cheapest(view: &View<'_>) -> TargetIndex {
    let costs = view.candidates.iter().map(|&at| view.targets[at].cost());
    let limit = costs.fold(f64::INFINITY, f64::min) * TIE;
    let equals = view
        .candidates
        .iter()
        .copied()
        .filter(|&at| view.targets[at].cost() <= limit);
    let best = equals.min_by_key(|&at| {
        let target = &view.targets[at];
        let domain = view.pool.domain_in_flight(target.domain);
        (domain, std::cmp::Reverse(target.free), at)
    });
    best.unwrap_or(view.candidates[0])
}

/// Returns until when to forgo a candidate of the given cost, if a faster target is expected to finish earlier.
fn hold(view: &View<'_>, cost: f64) -> Option<Instant> {
    let run_time = view.run_time?;
    let (rate, faster) = faster_credits(view, cost)?;
    let gain = run_time * (cost - faster);
    let wait = f64::from(view.waiting) * run_time / rate;
    if wait >= gain {
        return None;
    }
    // The wait is bounded by what it could gain at best, also over several decisions.
    let since = view.pool.held_since.unwrap_or(view.now);
    let until = since + Duration::try_from_secs_f64(gain).ok()?;
    let latest = view
        .deadline
        .checked_sub(Duration::try_from_secs_f64(run_time * cost).ok()?)?;
    Some(until.min(latest))
}

/// Returns the rate of credits per run time from clearly faster targets, and the mean cost of those credits.
fn faster_credits(view: &View<'_>, cost: f64) -> Option<(f64, f64)> {
    let mut rate = 0.0;
    let mut busy = 0.0;
    for &at in &view.pool.members {
        let target = &view.targets[at];
        let other = target.cost();
        if other < cost * CLEARLY_FASTER && target.health.is_healthy() && !view.exclude.contains(&at) {
            let in_flight = f64::from(target.in_flight());
            rate += in_flight / other;
            busy += in_flight;
        }
    }
    (rate > 0.0).then(|| (rate, busy / rate))
}
