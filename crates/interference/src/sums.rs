//! Decaying sums over the comparisons of a pair, and the slowdown that they show.

use crate::window::Comparison;

/// Smallest difference between the mean exposures of both groups of runs. Below it the other kind ended too soon, or was
/// beside nearly all runs, so that a small difference in run time would pass for a large slowdown.
const MIN_EXPOSURE: f64 = 0.25;
/// Smallest number of runs beside the other kind, by weight. Fewer runs are often tasks of the same one or two jobs.
const MIN_RUNS: f64 = 8.0;
/// Smallest number of comparisons of equal weight. The variance between fewer of them is not known well enough.
const MIN_COMPARISONS: f64 = 5.0;
/// Smallest variance of a single run: run times of less than 5% spread are not known in advance.
const MIN_VARIANCE: f64 = 0.0025;
/// Degrees of freedom at which the variance between comparisons is so uncertain that it counts as unknown.
const UNCERTAIN_COMPARISONS: f64 = 2.0;

/// Estimate of a slowdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Estimate {
    /// Logarithm of the factor on the run time during full exposure.
    pub(crate) log: f64,
    /// Reciprocal of the variance of `log`.
    pub(crate) precision: f64,
    /// Number of runs beside the other kind, by weight.
    pub(crate) runs: f64,
}

/// Weighted sums over comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sums {
    runs: f64,
    weight: f64,
    difference: f64,
    exposure: f64,
    /// Sum of squared weights, and of those times the difference and its square.
    squared_weight: (f64, f64, f64),
    deviation: (f64, f64),
}

impl Sums {
    pub(crate) fn add(&mut self, comparison: &Comparison) {
        let Comparison {
            weight, difference, ..
        } = *comparison;
        let square = weight * weight;
        self.runs += comparison.runs;
        self.weight += weight;
        self.difference += weight * difference;
        self.exposure += weight * comparison.exposure;
        self.squared_weight.0 += square;
        self.squared_weight.1 += square * difference;
        self.squared_weight.2 += square * difference * difference;
        self.deviation.0 += comparison.deviation.0;
        self.deviation.1 += comparison.deviation.1;
    }

    pub(crate) fn decay(&mut self, factor: f64) {
        let (square, linear, quadratic) = self.squared_weight;
        *self = Self {
            runs: self.runs * factor,
            weight: self.weight * factor,
            difference: self.difference * factor,
            exposure: self.exposure * factor,
            squared_weight: (square * factor, linear * factor, quadratic * factor),
            deviation: (self.deviation.0 * factor, self.deviation.1 * factor),
        };
    }

    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the slowdown, if there are enough comparisons to state one.
    ///
    /// The difference in run time is divided by the difference in exposure, because a kind that is present at the start of a
    /// run may end before it, and one that is absent may start during it.
    pub(crate) fn estimate(&self) -> Option<Estimate> {
        let (square, linear, quadratic) = self.squared_weight;
        let comparisons = self.weight * self.weight / square;
        let enough = self.runs >= MIN_RUNS && comparisons >= MIN_COMPARISONS && self.deviation.1 > 0.0;
        let exposure = self.exposure / self.weight;
        if !enough || exposure < MIN_EXPOSURE {
            return None;
        }
        let difference = self.difference / self.weight;
        let single = (self.deviation.0 / self.deviation.1).max(MIN_VARIANCE);
        let of_runs = single / self.weight;
        // Tasks of one job, or runs in one brief disturbance, are not independent. The variance between comparisons shows
        // that.
        let between = (quadratic - 2.0 * difference * linear + difference * difference * square).max(0.0);
        let between = between / (self.weight * self.weight);
        let correction = (comparisons + UNCERTAIN_COMPARISONS) / (comparisons - UNCERTAIN_COMPARISONS);
        let variance = of_runs.max(between) * correction;
        Some(Estimate {
            log: difference / exposure,
            precision: exposure * exposure / variance,
            runs: self.runs,
        })
    }
}
