//! Load shedding of one service at one entry: its own demand, the plan in force, and the submissions that it refuses.

use std::time::{Duration, Instant};

use chestnutfork_types::{Demand, DemandBand, DemandSum, RouteName};
use indexmap::IndexMap;

use crate::arrivals::Arrivals;
use crate::max_min::max_min_fractions;
use crate::shedding::{MAX_DEMAND_AGE, SheddingPlan, median_demand};

/// Interval at which the plan is computed again. Each agent reports every 200 ms, and all together more often than that.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);
/// Weight of the difference between the submissions that should have been admitted and those that were. The number of admitted
/// submissions then stays within a few of its mean, while the size of a job does not affect the next decision.
const CORRECTION_WEIGHT: f64 = 0.25;

/// Submissions of one route, under the plan in force.
#[derive(Clone, Copy, Debug)]
struct RouteState {
    fraction: f64,
    /// Submissions that should have been admitted less those that were.
    balance: f64,
}

/// Load shedding of one service at one entry.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use chestnutfork_limits::ServiceShedding;
/// use chestnutfork_types::{DemandBand, DemandSum};
///
/// let now = Instant::now();
/// let mut shedding = ServiceShedding::default();
/// for (route, priority) in [("urgent", 0), ("batch", 1)] {
///     shedding.record(now, route, DemandBand { priority, jobs: 10, work: 10_000 });
/// }
/// let sum = DemandSum { demand: shedding.demand(now), age: Duration::ZERO };
/// shedding.update(now, vec![sum], 10_000.0);
/// assert!(shedding.admit(now, "urgent", 0, 0.5));
/// assert!(!shedding.admit(now, "batch", 1, 0.5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceShedding {
    arrivals: Arrivals,
    plan: Option<SheddingPlan>,
    /// When the plan was computed.
    planned_at: Option<Instant>,
    routes: IndexMap<RouteName, RouteState>,
    /// Part of the demand at all entries that arrives here.
    own_part: f64,
}

impl ServiceShedding {
    /// Records a submission of a route, whether it is admitted or not.
    pub fn record(&mut self, now: Instant, route: &str, submission: DemandBand) {
        self.arrivals.record(now, route, submission);
    }

    /// Returns the demand at this entry within the last second.
    pub fn demand(&mut self, now: Instant) -> Demand {
        self.arrivals.demand(now)
    }

    /// Returns whether the plan is to be computed again.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.planned_at.is_none_or(|at| now >= at + PLAN_INTERVAL)
    }

    /// Computes the plan from the sums that agents have reported, with their present age, and the capacity of the usable
    /// workers in thousandths of a core.
    pub fn update(&mut self, now: Instant, sums: Vec<DemandSum>, capacity: f64) {
        self.planned_at = Some(now);
        self.plan = median_demand(sums).and_then(|sum| SheddingPlan::new(&sum, capacity));
        let Some(plan) = self.plan else {
            self.routes.clear();
            return;
        };
        let own = self.arrivals.routes(now);
        let own_work = self.arrivals.demand(now).work();
        self.own_part = (as_f64(own_work) / as_f64(plan.demand().work().max(1))).min(1.0);
        for band in plan.demand().bands() {
            let of_band = || own.iter().filter(|(_, own)| own.priority == band.priority);
            let demands: Vec<DemandBand> = of_band().map(|(_, own)| *own).collect();
            let fractions = max_min_fractions(&demands, plan.fraction(band.priority));
            for ((route, _), fraction) in of_band().zip(fractions) {
                let state = self.routes.get(route);
                let balance = state.map_or(0.0, |state| state.balance);
                let state = RouteState { fraction, balance };
                self.routes.insert(route.clone(), state);
            }
        }
        self.routes.retain(|route, _| own.contains_key(route));
    }

    /// Returns the plan in force, if anything is shed now. It ends when its demand becomes too old without an update.
    #[must_use]
    pub fn plan(&self, now: Instant) -> Option<&SheddingPlan> {
        let since = now.saturating_duration_since(self.planned_at?);
        self.plan
            .as_ref()
            .filter(|plan| plan.age() + since <= MAX_DEMAND_AGE)
    }

    /// Returns the part of the demand at all entries that arrives here, while anything is shed.
    #[must_use]
    pub fn own_part(&self, now: Instant) -> Option<f64> {
        self.plan(now).map(|_| self.own_part)
    }

    /// Decides whether a submission is admitted. `draw` is a random number from 0 to 1 (exclusive).
    pub fn admit(&mut self, now: Instant, route: &str, priority: u32, draw: f64) -> bool {
        let Some(fraction) = self.plan(now).map(|plan| plan.fraction(priority)) else {
            return true;
        };
        if !self.routes.contains_key(route) {
            let state = RouteState {
                fraction,
                balance: 0.0,
            };
            self.routes.insert(route.to_owned(), state);
        }
        let Some(state) = self.routes.get_mut(route) else {
            return true;
        };
        if state.fraction >= 1.0 {
            return true;
        }
        let admitted = draw < state.fraction + CORRECTION_WEIGHT * state.balance;
        state.balance += state.fraction - f64::from(u8::from(admitted));
        admitted
    }
}

#[expect(clippy::cast_precision_loss, reason = "an estimate needs no exact digits")]
fn as_f64(value: u64) -> f64 {
    value as f64
}
