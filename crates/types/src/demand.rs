//! Demand of a service by priority, as plain data that entries and agents exchange.

use std::time::Duration;

/// Maximum number of priorities that are told apart. It bounds the size of the messages that carry demand.
pub const MAX_DEMAND_BANDS: usize = 8;

/// Submissions of one priority that arrived within a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandBand {
    /// Priority of the routes; 0 is the most urgent.
    pub priority: u32,
    /// Number of jobs.
    pub jobs: u32,
    /// Declared work of the jobs, in thousandths of a core-second.
    pub work: u64,
}

/// Submissions that arrived within a second, by priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Bands in ascending order of priority; only the first `len` are in use.
    bands: [DemandBand; MAX_DEMAND_BANDS],
    len: usize,
}

impl Demand {
    /// Returns the bands in ascending order of priority.
    #[must_use]
    pub fn bands(&self) -> &[DemandBand] {
        &self.bands[..self.len]
    }

    /// Returns the demand of one priority; zero if there is none.
    #[must_use]
    pub fn band(&self, priority: u32) -> DemandBand {
        let found = self.bands().iter().find(|band| band.priority == priority);
        found.copied().unwrap_or(DemandBand {
            priority,
            ..DemandBand::default()
        })
    }

    /// Adds the demand of one priority, saturating. Priorities beyond [`MAX_DEMAND_BANDS`] are counted with the nearest more
    /// urgent one.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_types::{Demand, DemandBand};
    ///
    /// let mut demand = Demand::default();
    /// demand.add(DemandBand { priority: 2, jobs: 1, work: 400 });
    /// demand.add(DemandBand { priority: 0, jobs: 1, work: 400 });
    /// demand.add(DemandBand { priority: 2, jobs: 1, work: 100 });
    /// assert_eq!(demand.band(2).work, 500);
    /// assert_eq!(demand.work(), 900);
    /// ```
    pub fn add(&mut self, added: DemandBand) {
        let at = self
            .bands()
            .partition_point(|band| band.priority < added.priority);
        let known = self.bands().get(at).map(|band| band.priority) == Some(added.priority);
        let at = if known {
            at
        } else if self.len < MAX_DEMAND_BANDS {
            self.bands[at..=self.len].rotate_right(1);
            self.bands[at] = DemandBand {
                priority: added.priority,
                ..DemandBand::default()
            };
            self.len += 1;
            at
        } else {
            at.saturating_sub(1)
        };
        let band = &mut self.bands[at];
        band.jobs = band.jobs.saturating_add(added.jobs);
        band.work = band.work.saturating_add(added.work);
    }

    /// Adds all bands of another demand.
    pub fn merge(&mut self, other: &Self) {
        for &band in other.bands() {
            self.add(band);
        }
    }

    /// Returns the declared work over all priorities, in thousandths of a core-second.
    #[must_use]
    pub fn work(&self) -> u64 {
        let bands = self.bands().iter();
        bands.fold(0, |sum, band| sum.saturating_add(band.work))
    }
}

/// Sum of the demand at all entries, as an agent knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandSum {
    /// Sum over the entries.
    pub demand: Demand,
    /// Time since the newest part of the sum arrived; no part is older than a second.
    pub age: Duration,
}
