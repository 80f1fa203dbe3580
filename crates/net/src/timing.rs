//! Timing of links.

use std::time::Duration;

/// Intervals and time limits of a link; both sides need similar values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// Time without a message to send after which a heartbeat is sent.
    pub heartbeat_interval: Duration,
    /// Time without a received frame after which the connection is closed, and limit on the time to send a frame. A
    /// device on the network path may have dropped the connection without an error at either end.
    pub idle_timeout: Duration,
    /// Limit on the time to open and authenticate a link.
    pub connect_timeout: Duration,
    /// Maximum delay before the next attempt to open a link; the initial delay is a fortieth of it.
    pub max_backoff: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(3),
            connect_timeout: Duration::from_secs(2),
            max_backoff: Duration::from_secs(2),
        }
    }
}

impl LinkTiming {
    /// Returns the timing for deployments in which a process must reconnect within three seconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_net::LinkTiming;
    ///
    /// assert!(LinkTiming::fast_reconnect().idle_timeout < LinkTiming::default().idle_timeout);
    /// ```
    #[must_use]
    pub fn fast_reconnect() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(300),
            idle_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(700),
            max_backoff: Duration::from_millis(400),
        }
    }

    /// Returns the delay before the second attempt to open a link.
    pub(crate) fn initial_backoff(&self) -> Duration {
        self.max_backoff / 40
    }
}
