//! Submissions that arrived at an entry within the last second, by route.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_types::{Demand, DemandBand, RouteName};
use indexmap::IndexMap;

/// Period over which submissions are summed.
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the period that is removed at a time; it bounds the cost of a sum at any rate of submissions.
const INTERVAL: Duration = Duration::from_millis(50);

/// Submissions of the last second, in intervals of 50 ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    intervals: VecDeque<(Instant, IndexMap<RouteName, DemandBand>)>,
}

impl Arrivals {
    pub(crate) fn record(&mut self, now: Instant, route: &str, added: DemandBand) {
        self.remove_expired(now);
        let current = self
            .intervals
            .back()
            .is_some_and(|(start, _)| now < *start + INTERVAL);
        if !current {
            self.intervals.push_back((now, IndexMap::new()));
        }
        let Some((_, routes)) = self.intervals.back_mut() else {
            return;
        };
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
        for &band in self.intervals.iter().flat_map(|(_, routes)| routes.values()) {
            demand.add(band);
        }
        demand
    }

    /// Returns the demand by route.
    pub(crate) fn routes(&mut self, now: Instant) -> IndexMap<RouteName, DemandBand> {
        self.remove_expired(now);
        let mut sums: IndexMap<RouteName, DemandBand> = IndexMap::new();
        for (route, &band) in self.intervals.iter().flat_map(|(_, routes)| routes) {
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
        let expired = |(start, _): &mut (Instant, _)| now >= *start + INTERVAL / 2 + WINDOW;
        while self.intervals.pop_front_if(expired).is_some() {}
    }
}

/// Adds submissions of the same route; its priority changes with its configuration.
fn add(band: &mut DemandBand, added: DemandBand) {
    band.priority = added.priority;
    band.jobs = band.jobs.saturating_add(added.jobs);
    band.work = band.work.saturating_add(added.work);
}
