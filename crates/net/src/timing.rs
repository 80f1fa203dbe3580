//! Timing of links.

use std::time::Duration;

/// Timing of a link; both sides need about the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// Silence after which a side sends a heartbeat.
    pub heartbeat_interval: Duration,
    /// Silence after which a side closes the connection. Something between the two ends may have lost track of it, so that
    /// no error ever arrives.
    pub idle_timeout: Duration,
    /// Time that opening and authenticating a link may take.
    pub connect_timeout: Duration,
    /// Longest delay before the next attempt to open a link; attempts begin with a fortieth of it.
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
    /// Returns the timing for deployments in which a process must be in touch again within three seconds.
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
    pub(crate) fn first_backoff(&self) -> Duration {
        self.max_backoff / 40
    }
}
