//! In-process registry of counters, gauges and histograms, served in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use cadence::MetricSink;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::http::{Body, HttpHandler};

/// Upper bounds of the histogram buckets in milliseconds; longer durations count only in the `+Inf` bucket.
const BUCKETS_MS: [u64; 13] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000];

/// Metrics registry of a process; clones share the same values.
#[derive(Clone, Debug, Default)]
pub struct MetricsRegistry {
    values: Arc<Mutex<Values>>,
}

#[derive(Debug, Default)]
struct Values {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    histograms: BTreeMap<String, Histogram>,
}

#[derive(Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: u64,
}

impl MetricsRegistry {
    /// Renders all metrics as text, one value per line: counters, gauges and histograms, each sorted by name.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::{Metrics, MetricsRegistry};
    ///
    /// let registry = MetricsRegistry::default();
    /// Metrics::registry(&registry).count("jobs.taken", 2);
    /// assert_eq!(registry.render(), "chestnutfork_jobs_taken 2\n");
    /// ```
    #[must_use]
    pub fn render(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        for (name, value) in values.counters.iter().chain(&values.gauges) {
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &values.histograms {
            for (bound, count) in BUCKETS_MS.iter().zip(&histogram.buckets) {
                let _ = writeln!(text, "{name}_ms_bucket{{le=\"{bound}\"}} {count}");
            }
            let _ = writeln!(text, "{name}_ms_bucket{{le=\"+Inf\"}} {}", histogram.count);
            let _ = writeln!(text, "{name}_ms_sum {}", histogram.sum_ms);
            let _ = writeln!(text, "{name}_ms_count {}", histogram.count);
        }
        text
    }
}

impl MetricSink for MetricsRegistry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let parsed = metric
            .split_once(':')
            .and_then(|(name, rest)| Some((name, rest.split_once('|')?)))
            .and_then(|(name, (value, kind))| Some((name, value.parse::<u64>().ok()?, kind)));
        let Some((name, value, kind)) = parsed else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let name = name.replace(['.', '-'], "_");
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        match kind {
            "c" => *values.counters.entry(name).or_default() += value,
            "g" => {
                values.gauges.insert(name, value);
            }
            _ => values.histograms.entry(name).or_default().observe(value),
        }
        Ok(metric.len())
    }
}

impl Histogram {
    fn observe(&mut self, value_ms: u64) {
        self.count += 1;
        self.sum_ms += value_ms;
        for (bound, count) in BUCKETS_MS.iter().zip(&mut self.buckets) {
            if value_ms <= *bound {
                *count += 1;
            }
        }
    }
}

impl HttpHandler for MetricsRegistry {
    async fn handle(&self, _req: Request<Bytes>) -> Response<Body> {
        let mut response = Response::new(Full::new(Bytes::from(self.render())));
        *response.status_mut() = StatusCode::OK;
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        response
    }
}
