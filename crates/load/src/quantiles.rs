//! Histograms of response times and response ratios.

use hdrhistogram::Histogram;

use crate::number::{count_to_f64, round_to_u64};
use crate::report::Latency;

/// Significant decimal digits that the histograms preserve.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of a non-negative quantity with a fixed resolution.
#[derive(Clone, Debug)]
pub(crate) struct Quantiles {
    histogram: Histogram<u64>,
    scale: f64,
}

impl Quantiles {
    /// Creates a histogram with a resolution of 1 / `scale`.
    pub fn new(scale: f64) -> Self {
        // Three digits are within the range that the histogram supports.
        #[expect(clippy::expect_used, reason = "the constant number of digits is valid")]
        let histogram = Histogram::new(SIGNIFICANT_DIGITS).expect("3 digits are supported");
        Self { histogram, scale }
    }

    /// Records a value.
    pub fn record(&mut self, value: f64) {
        // Recording cannot fail, because the histogram resizes automatically.
        self.histogram.record(round_to_u64(value * self.scale)).ok();
    }

    /// Returns a quantile, or zero if no value was recorded.
    pub fn at(&self, quantile: f64) -> f64 {
        count_to_f64(self.histogram.value_at_quantile(quantile)) / self.scale
    }

    /// Returns the quantiles that a report contains.
    pub fn latency(&self) -> Latency {
        Latency {
            p50: self.at(0.5),
            p90: self.at(0.9),
            p99: self.at(0.99),
            p999: self.at(0.999),
            max: count_to_f64(self.histogram.max()) / self.scale,
        }
    }
}
