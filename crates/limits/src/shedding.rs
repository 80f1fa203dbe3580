//! Load shedding by priority: which fraction of the submissions of each priority is admitted when the demand at all entries
//! exceeds the capacity.

use std::time::Duration;

use chestnutfork_types::{Demand, DemandBand, DemandSum, MAX_DEMAND_BANDS};

/// Age from which a sum of demand has no effect: five heartbeats, within which at least one of the agents is heard.
pub const MAX_DEMAND_AGE: Duration = Duration::from_secs(1);
/// Ratio of demand to capacity above which submissions are shed. With 1,000 jobs a second of 0.4 to 3.2 core-seconds, the work
/// that arrives within a second varies by 4% (one standard deviation), so a load at the capacity rarely reaches it.
const OVERLOAD_RATIO: f64 = 1.1;
/// Part of the capacity that the admitted submissions use: tasks do not fill the workers without gaps, and jobs still meet
/// objectives of 1.6 times their run time at 95% load.
const ADMITTED_LOAD: f64 = 0.95;
/// Part of the admitted load that each priority but the most urgent one keeps if it has that much demand. The three priorities
/// of a service cost the most urgent one at most 10%, and a caller of the least urgent one that repeats its job gets through.
const MINIMUM_SHARE: f64 = 0.05;
/// Retry delay at a demand equal to the capacity, as in refusals by the backlog.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Ratio of demand to capacity beyond which the retry delay does not grow; it is then 8 to 16 s.
const MAX_RETRY_RATIO: f64 = 8.0;

/// Fractions of the submissions of one service to admit while demand exceeds capacity, with their inputs.
///
/// Each fraction counts jobs: large and small jobs of a priority have the same chance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SheddingPlan {
    demand: Demand,
    capacity: f64,
    age: Duration,
    fractions: [f64; MAX_DEMAND_BANDS],
}

impl SheddingPlan {
    /// Decides on the fractions, or returns `None` if nothing is to be shed: the demand does not exceed the capacity by more
    /// than 10%, one of the two is unknown, or the demand is older than [`MAX_DEMAND_AGE`].
    ///
    /// The capacity is in thousandths of a core. The more urgent priorities come first; each other one keeps a
    /// minimum of 5% of the admitted load, if it has that much demand.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_limits::SheddingPlan;
    /// use chestnutfork_types::{Demand, DemandBand, DemandSum};
    ///
    /// let mut demand = Demand::default();
    /// demand.add(DemandBand { priority: 0, jobs: 60, work: 60_000 });
    /// demand.add(DemandBand { priority: 1, jobs: 100, work: 100_000 });
    /// let sum = DemandSum { demand, age: Duration::ZERO };
    /// let plan = SheddingPlan::new(&sum, 100_000.0).expect("the demand exceeds the capacity");
    /// assert_eq!(plan.fraction(0), 1.0);
    /// assert!((plan.fraction(1) - 0.35).abs() < 1e-9);
    /// assert_eq!(SheddingPlan::new(&sum, 150_000.0), None);
    /// ```
    #[must_use]
    pub fn new(sum: &DemandSum, capacity: f64) -> Option<Self> {
        let work = as_f64(sum.demand.work());
        let known = capacity.is_finite() && capacity > 0.0 && sum.age <= MAX_DEMAND_AGE;
        if !known || work <= capacity * OVERLOAD_RATIO {
            return None;
        }
        let admitted = capacity * ADMITTED_LOAD;
        let bands = sum.demand.bands();
        let minimum = |at: usize, band: &DemandBand| {
            let share = if at == 0 { 0.0 } else { MINIMUM_SHARE };
            as_f64(band.work).min(admitted * share)
        };
        let minimums: f64 = bands.iter().enumerate().map(|(at, band)| minimum(at, band)).sum();
        let mut left = admitted - minimums;
        let mut fractions = [1.0; MAX_DEMAND_BANDS];
        for (at, band) in bands.iter().enumerate() {
            let work = as_f64(band.work);
            let kept = minimum(at, band);
            let granted = (work - kept).min(left);
            left -= granted;
            if kept + granted < work {
                fractions[at] = (kept + granted) / work;
            }
        }
        Some(Self {
            demand: sum.demand,
            capacity,
            age: sum.age,
            fractions,
        })
    }

    /// Returns the fraction of the submissions of a priority to admit; one for a priority without demand, which is below its
    /// minimum.
    #[must_use]
    pub fn fraction(&self, priority: u32) -> f64 {
        let mut bands = self.demand.bands().iter();
        let found = bands.position(|band| band.priority == priority);
        found.map_or(1.0, |at| self.fractions[at])
    }

    /// Returns the demand at all entries.
    #[must_use]
    pub fn demand(&self) -> &Demand {
        &self.demand
    }

    /// Returns the capacity in thousandths of a core.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Returns the age of the demand when the decision was made.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.age
    }

    /// Returns the ratio of demand to capacity.
    #[must_use]
    pub fn overload(&self) -> f64 {
        as_f64(self.demand.work()) / self.capacity
    }

    /// Returns when a refused caller may retry. The delay grows with the overload, and `draw`, a random number from 0 to 1,
    /// spreads it up to its double, so that callers do not return together.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_limits::SheddingPlan;
    /// use chestnutfork_types::{Demand, DemandBand, DemandSum};
    ///
    /// let mut demand = Demand::default();
    /// demand.add(DemandBand { priority: 0, jobs: 200, work: 200_000 });
    /// let sum = DemandSum { demand, age: Duration::ZERO };
    /// let plan = SheddingPlan::new(&sum, 100_000.0).expect("the demand exceeds the capacity");
    /// assert_eq!(plan.retry_after(0.0), Duration::from_secs(2));
    /// assert_eq!(plan.retry_after(0.5), Duration::from_secs(3));
    /// ```
    #[must_use]
    pub fn retry_after(&self, draw: f64) -> Duration {
        let ratio = self.overload().clamp(1.0, MAX_RETRY_RATIO);
        MIN_RETRY_AFTER.mul_f64(ratio * (1.0 + draw.clamp(0.0, 1.0)))
    }
}

/// Returns the median of the sums that agents report, separately for each priority, so that the sums of a few agents have no
/// effect. Sums older than [`MAX_DEMAND_AGE`] do not count; `None` if there is no other.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutfork_limits::median_demand;
/// use chestnutfork_types::{Demand, DemandBand, DemandSum};
///
/// let sum = |work| {
///     let mut demand = Demand::default();
///     demand.add(DemandBand { priority: 0, jobs: 1, work });
///     DemandSum { demand, age: Duration::ZERO }
/// };
/// let median = median_demand(vec![sum(100), sum(u64::MAX), sum(110)]).expect("there are sums");
/// assert_eq!(median.demand.work(), 110);
/// ```
#[must_use]
pub fn median_demand(mut sums: Vec<DemandSum>) -> Option<DemandSum> {
    sums.retain(|sum| sum.age <= MAX_DEMAND_AGE);
    let mut ages: Vec<Duration> = sums.iter().map(|sum| sum.age).collect();
    let age = lower_median(&mut ages)?;
    let mut priorities: Vec<u32> = Vec::new();
    for band in sums.iter().flat_map(|sum| sum.demand.bands()) {
        if !priorities.contains(&band.priority) {
            priorities.push(band.priority);
        }
    }
    let mut demand = Demand::default();
    for priority in priorities {
        let mut jobs: Vec<u32> = sums.iter().map(|sum| sum.demand.band(priority).jobs).collect();
        let mut work: Vec<u64> = sums.iter().map(|sum| sum.demand.band(priority).work).collect();
        let (jobs, work) = (lower_median(&mut jobs)?, lower_median(&mut work)?);
        // A priority that only a few agents report must not take the place of another one.
        if jobs > 0 || work > 0 {
            demand.add(DemandBand { priority, jobs, work });
        }
    }
    Some(DemandSum { demand, age })
}

/// Returns the median; of two middle values the lower one, so that less is shed in doubt.
fn lower_median<T: Ord + Copy>(values: &mut [T]) -> Option<T> {
    let middle = values.len().checked_sub(1)? / 2;
    let (_, median, _) = values.select_nth_unstable(middle);
    Some(*median)
}

#[expect(clippy::cast_precision_loss, reason = "an estimate needs no exact digits")]
fn as_f64(value: u64) -> f64 {
    value as f64
}
