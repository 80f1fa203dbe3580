//! Metrics that are sent over UDP in the statsd format or recorded in the registry of the process.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use thiserror::Error;

use crate::registry::MetricsRegistry;

/// Prefix of all metric names.
const PREFIX: &str = "chestnutfork";

/// Failure to set up metrics.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The socket cannot be opened or the address is unusable.
    #[error("cannot send metrics to `{address}`: {reason}; correct `metrics.statsd` or remove it")]
    Address {
        /// Address from the settings.
        address: String,
        /// Error of the operating system.
        reason: String,
    },
}

/// Handle for recording metrics; clones share one sink.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a handle that discards all metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// chestnutfork_net::Metrics::disabled().count("entry.dispatches", 1);
    /// ```
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)),
        }
    }

    /// Creates a handle that records into a registry of this process.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::{Metrics, MetricsRegistry};
    ///
    /// let registry = MetricsRegistry::default();
    /// Metrics::registry(&registry).gauge("jobs.waiting", 3);
    /// assert!(registry.render().contains("jobs_waiting 3"));
    /// ```
    #[must_use]
    pub fn registry(registry: &MetricsRegistry) -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, registry.clone())),
        }
    }

    /// Creates a handle that sends to a statsd server over UDP from a background thread.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Address`] if the address is unusable.
    ///
    /// # Examples
    ///
    /// ```
    /// let metrics = chestnutfork_net::Metrics::statsd("127.0.0.1:8125")?;
    /// metrics.gauge("entry.queue", 3);
    /// # Ok::<(), chestnutfork_net::MetricsError>(())
    /// ```
    pub fn statsd(address: &str) -> Result<Self, MetricsError> {
        let fail = |reason: String| MetricsError::Address {
            address: address.to_owned(),
            reason,
        };
        let socket = UdpSocket::bind("0.0.0.0:0").map_err(|error| fail(error.to_string()))?;
        socket
            .set_nonblocking(true)
            .map_err(|error| fail(error.to_string()))?;
        let udp = UdpMetricSink::from(address, socket).map_err(|error| fail(error.to_string()))?;
        let sink = QueuingMetricSink::from(udp);
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
        })
    }

    /// Adds to a counter.
    ///
    /// # Examples
    ///
    /// ```
    /// chestnutfork_net::Metrics::disabled().count("entry.refusals.queue_full", 2);
    /// ```
    pub fn count(&self, name: &str, count: u64) {
        // Metrics are best effort: a failure to send must not affect the caller.
        let _ = self.client.count(name, count);
    }

    /// Sets a gauge.
    ///
    /// # Examples
    ///
    /// ```
    /// chestnutfork_net::Metrics::disabled().gauge("agent.credits", 8);
    /// ```
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration in milliseconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// chestnutfork_net::Metrics::disabled().time("entry.queue_time", Duration::from_millis(3));
    /// ```
    pub fn time(&self, name: &str, duration: std::time::Duration) {
        let _ = self.client.time(name, duration);
    }

    pub(crate) fn link_sent(&self, bytes: usize) {
        self.count("link.bytes_sent", bytes as u64);
    }

    pub(crate) fn link_received(&self, bytes: usize) {
        self.count("link.bytes_received", bytes as u64);
    }
}
