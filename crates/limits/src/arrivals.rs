//! Submissions that arrived at an entry within the last second, by route.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_types::{Demand, DemandBand, RouteName};
use indexmap::IndexMap;

/// Period over which submissions are summed.
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the period that is removed at a time; it bounds the cost of a sum at any rate of submissions.
const INTERVAL: Duration = Duration::from_millis(50);

/// Submissions that arrived within an interval.
#[derive(Clone, Debug)]
struct Interval {
    start: Instant,
    /// Sum by priority, so that the cost of a sum does not depend on the number of routes.
    demand: Demand,
    routes: IndexMap<RouteName, DemandBand>,
}

/// Submissions of the last second, in intervals of 50 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    intervals: VecDeque<Interval>,
}

impl Arrivals {
    pub(crate) fn record(&mut self, now: Instant, route: &str, added: DemandBand) {
        self.remove_expired(now);
        let latest = self.intervals.back();
        if latest.is_none_or(|interval| now >= interval.start + INTERVAL) {
            self.intervals.push_back(Interval {
                start: now,
                demand: Demand::default(),
                routes: IndexMap::new(),
            });
        }
        let Some(Interval { demand, routes, .. }) = self.intervals.back_mut() else {
            return;
        };
        demand.add(added);
        match routes.get_mut(route) {
            Some(band) => add(band, added),
            None => {
                routes.insert(route.to_owned(), added);
            }
        }
    }

    /// Returns the demand by priority.
    pub(crate) fn demand(&mut self, now: Instant) -> Demand {
        self.remove_expired(now);
        let mut demand = Demand::default();
        for interval in &self.intervals {
            demand.merge(&interval.demand);
        }
        demand
    }

    /// Returns the demand by route.
    pub(crate) fn routes(&mut self, now: Instant) -> IndexMap<RouteName, DemandBand> {
        self.remove_expired(now);
        let mut sums: IndexMap<RouteName, DemandBand> = IndexMap::new();
        for (route, &band) in self.intervals.iter().flat_map(|interval| &interval.routes) {
            match sums.get_mut(route) {
                Some(sum) => add(sum, band),
                None => {
                    sums.insert(route.clone(), band);
                }
            }
        }
        sums
    }

    /// Removes the intervals of which the greater part is older than the period.
    fn remove_expired(&mut self, now: Instant) {
        let expired = |interval: &mut Interval| now >= interval.start + INTERVAL / 2 + WINDOW;
        while self.intervals.pop_front_if(expired).is_some() {}
    }
}

/// Adds submissions of the same route; its priority changes with its configuration.
fn add(band: &mut DemandBand, added: DemandBand) {
    band.priority = added.priority;
    band.jobs = band.jobs.saturating_add(added.jobs);
    band.work = band.work.saturating_add(added.work);
}
