//! Relative slowness of a target, learned from run times on a logarithmic scale.

/// Smallest weight of one observation; it averages over about a hundred observations.
const MIN_WEIGHT: f64 = 0.02;
/// Observations that the prior, average slowness counts for.
const PRIOR: f64 = 3.0;
/// Largest deviation that one observation counts with, in mean absolute deviations; run times have heavy tails.
const CLIP: f64 = 3.0;
/// Deviation per observation that change detection ignores, in mean absolute deviations.
const CHANGE_SLACK: f64 = 1.25;
/// Accumulated deviation that counts as a change of speed.
///
/// The first results after a batch of starts are those of short tasks, so lower values take a batch for a change: in
/// the placement experiment a slack of 0.75 with a threshold of 5 made speeds jump by a factor of three.
const CHANGE_THRESHOLD: f64 = 8.0;
/// Observations that the estimate counts for after a change of speed.
const CHANGE_MEMORY: f64 = 5.0;
/// Bound of the learned logarithm, a factor of about 1,000 either way.
const LIMIT: f64 = 7.0;

/// One-sided cumulative sum of deviations (CUSUM).
#[derive(Clone, Debug, Default, PartialEq)]
struct Drift {
    sum: f64,
    total: f64,
    count: f64,
}

impl Drift {
    /// Adds a deviation in units of the spread, and returns the mean raw deviation once it amounts to a change.
    fn add(&mut self, units: f64, raw: f64) -> Option<f64> {
        self.sum += units - CHANGE_SLACK;
        if self.sum <= 0.0 {
            *self = Self::default();
            return None;
        }
        self.total += raw;
        self.count += 1.0;
        (self.sum > CHANGE_THRESHOLD).then(|| self.total / self.count)
    }
}

/// Learned slowness of one target: the factor by which it stretches run times.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Speed {
    log: f64,
    factor: f64,
    weight: f64,
    slower: Drift,
    faster: Drift,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            log: 0.0,
            factor: 1.0,
            weight: PRIOR,
            slower: Drift::default(),
            faster: Drift::default(),
        }
    }
}

impl Speed {
    /// Returns a speed without observations that is taken for the given logarithmic slowness.
    pub(crate) fn starting_at(log: f64) -> Self {
        Self {
            log,
            factor: log.exp(),
            ..Self::default()
        }
    }

    /// Returns the factor by which the target stretches run times.
    pub(crate) fn slowness(&self) -> f64 {
        self.factor
    }

    /// Returns the natural logarithm of the slowness.
    pub(crate) fn log(&self) -> f64 {
        self.log
    }

    /// Learns from the deviation of a logarithmic run time from its expectation, given the usual `spread`.
    pub(crate) fn observe(&mut self, deviation: f64, spread: f64) {
        let units = (deviation / spread).clamp(-CLIP, CLIP);
        self.weight = (self.weight + 1.0).min(1.0 / MIN_WEIGHT);
        self.log += units * spread / self.weight;
        let raw = deviation.clamp(-LIMIT, LIMIT);
        let slower = self.slower.add(units, raw);
        let faster = self.faster.add(-units, raw);
        if let Some(change) = slower.or(faster) {
            self.log += change;
            self.weight = CHANGE_MEMORY;
            self.slower = Drift::default();
            self.faster = Drift::default();
        }
        self.log = self.log.clamp(-LIMIT, LIMIT);
        self.factor = self.log.exp();
    }

    /// Reports whether the learned values are usable.
    pub(crate) fn is_sound(&self) -> bool {
        self.factor.is_finite() && self.factor > 0.0
    }
}
