//! Limits on the requests of callers, from the operator's configuration.

use std::time::Duration;

use chestnutfork_net::HttpLimits;

/// Limits of a configuration; an absent one has the default of the process.
///
/// # Examples
///
/// ```
/// use chestnutfork_leased::CallerLimits;
/// use chestnutfork_net::HttpLimits;
///
/// let limits = CallerLimits { max_body: Some(1_024), ..CallerLimits::default() };
/// let defaults = HttpLimits::default();
/// assert_eq!(limits.or(defaults), HttpLimits { max_body: 1_024, ..defaults });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a head in bytes.
    pub max_head: Option<usize>,
    /// Maximum size of a body in bytes.
    pub max_body: Option<usize>,
    /// Limit on the time to receive a head.
    pub header_timeout: Option<Duration>,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Option<Duration>,
}

impl CallerLimits {
    /// Returns the limits with defaults for the absent ones.
    #[must_use]
    pub fn or(self, defaults: HttpLimits) -> HttpLimits {
        HttpLimits {
            max_head: self.max_head.or(defaults.max_head),
            max_body: self.max_body.unwrap_or(defaults.max_body),
            header_timeout: self.header_timeout.unwrap_or(defaults.header_timeout),
            idle_timeout: self.idle_timeout.unwrap_or(defaults.idle_timeout),
            body_timeout: defaults.body_timeout,
        }
    }
}
