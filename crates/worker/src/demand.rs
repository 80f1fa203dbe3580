//! Sum of the demand that entries state when they acknowledge heartbeats.

use std::time::{Duration, Instant};

use chestnutfork_types::{Demand, DemandSum, ProcessId};
use indexmap::IndexMap;

/// Age at which the demand of an entry leaves the sum: five heartbeats. An entry that has been silent for so long has lost its
/// callers, which submit their jobs to other entries.
const DEMAND_LIFETIME: Duration = Duration::from_secs(1);

/// Latest demand of each entry, with the time at which it arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandSums {
    entries: IndexMap<ProcessId, (Instant, Demand)>,
}

impl DemandSums {
    /// Records the demand of an entry, or that the entry states none.
    pub(crate) fn record(&mut self, now: Instant, entry: ProcessId, demand: Option<Demand>) {
        match demand {
            Some(demand) => {
                self.entries.insert(entry, (now, demand));
            }
            None => {
                self.entries.swap_remove(&entry);
            }
        }
    }

    /// Returns the sum over the entries, for an entry that states its own demand; an entry that does not may be of an earlier
    /// version, which cannot read the sum.
    pub(crate) fn sum_for(&self, now: Instant, entry: ProcessId) -> Option<DemandSum> {
        self.entries.get(&entry)?;
        let fresh = || {
            let entries = self.entries.values();
            entries.filter(move |(at, _)| now < *at + DEMAND_LIFETIME)
        };
        let newest = fresh().map(|&(at, _)| at).max()?;
        let mut demand = Demand::default();
        for (_, part) in fresh() {
            demand.merge(part);
        }
        let age = now.saturating_duration_since(newest);
        Some(DemandSum { demand, age })
    }

    /// Removes demand that is no longer part of the sum.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, (at, _)| now < *at + DEMAND_LIFETIME);
    }
}
