//! Relative slowness of a target, learned from the logarithms of run times.

/// Minimum weight of one observation, for an average over about a hundred observations.
const MIN_WEIGHT: f64 = 0.02;
/// Weight of the prior in observations; the default prior is average slowness.
const PRIOR_OBSERVATIONS: f64 = 3.0;
/// Largest deviation of one observation, in mean absolute deviations; larger ones are clipped because run times have
/// heavy tails.
const MAX_DEVIATION: f64 = 3.0;
/// Deviation per observation that change detection ignores, in mean absolute deviations.
const CHANGE_SLACK: f64 = 1.25;
/// Cumulative deviation at which a change of speed is detected.
///
/// The first results after a batch of starts come from short tasks, which lower values detect as a change: in the
/// placement example, a slack of 0.75 with a threshold of 5 made speeds jump by a factor of three.
const CHANGE_THRESHOLD: f64 = 8.0;
/// Weight of the estimate after a change of speed, in observations.
const CHANGE_OBSERVATIONS: f64 = 5.0;
/// Bound on the magnitude of the learned logarithm, a factor of about 1,000 in both directions.
const MAX_LOG_SLOWNESS: f64 = 7.0;

/// One-sided cumulative sum of deviations (CUSUM).
#[derive(Clone, Debug, Default, PartialEq)]
struct Cusum {
    sum: f64,
    total: f64,
    count: f64,
}

impl Cusum {
    /// Adds a deviation in multiples of the spread, and returns the mean raw deviation if a change is detected.
    fn add(&mut self, relative: f64, raw: f64) -> Option<f64> {
        self.sum += relative - CHANGE_SLACK;
        if self.sum <= 0.0 {
            *self = Self::default();
            return None;
        }
        self.total += raw;
        self.count += 1.0;
        (self.sum > CHANGE_THRESHOLD).then(|| self.total / self.count)
    }
}

/// Learned slowness of one target: its run time relative to a target of average speed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Speed {
    log_slowness: f64,
    slowness: f64,
    weight: f64,
    slower: Cusum,
    faster: Cusum,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            log_slowness: 0.0,
            slowness: 1.0,
            weight: PRIOR_OBSERVATIONS,
            slower: Cusum::default(),
            faster: Cusum::default(),
        }
    }
}

impl Speed {
    /// Creates an estimate without observations whose prior is the given logarithmic slowness.
    pub(crate) fn with_prior(log_slowness: f64) -> Self {
        Self {
            log_slowness,
            slowness: log_slowness.exp(),
            ..Self::default()
        }
    }

    /// Returns the run time on the target relative to a target of average speed.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the natural logarithm of the slowness.
    pub(crate) fn log_slowness(&self) -> f64 {
        self.log_slowness
    }

    /// Updates the estimate by the deviation of a logarithmic run time from its expected value.
    ///
    /// `spread` is the mean absolute deviation of the service's logarithmic run times.
    pub(crate) fn observe(&mut self, deviation: f64, spread: f64) {
        let relative = (deviation / spread).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.weight = (self.weight + 1.0).min(1.0 / MIN_WEIGHT);
        self.log_slowness += relative * spread / self.weight;
        let raw = deviation.clamp(-MAX_LOG_SLOWNESS, MAX_LOG_SLOWNESS);
        let slower = self.slower.add(relative, raw);
        let faster = self.faster.add(-relative, raw);
        if let Some(change) = slower.or(faster) {
            self.log_slowness += change;
            self.weight = CHANGE_OBSERVATIONS;
            self.slower = Cusum::default();
            self.faster = Cusum::default();
        }
        self.log_slowness = self.log_slowness.clamp(-MAX_LOG_SLOWNESS, MAX_LOG_SLOWNESS);
        self.slowness = self.log_slowness.exp();
    }

    /// Reports whether the slowness is positive and finite.
    pub(crate) fn is_valid(&self) -> bool {
        self.slowness.is_finite() && self.slowness > 0.0
    }
}
