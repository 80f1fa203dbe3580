//! Confirmation that the version in force is the accepted one.

use std::time::{Duration, Instant};

use chestnutfork_types::ConfigVersion;

/// Time without a confirmation after which a process may no longer know the accepted configuration.
///
/// An accepted patch must be in force everywhere within 10 s; 2 s are left for the patch itself to arrive.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(8);

/// Time without a confirmation after which a process tries another control process.
pub const CONTROL_SWITCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether the version in force is known to be the accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Confirmation {
    /// No version was confirmed since the process started; it serves nothing.
    Never,
    /// A quorum of control confirmed the version within the bound.
    Confirmed,
    /// The last confirmation is older than the bound.
    Unconfirmed,
}

/// Quorum check of control: at its instant, no version above its own was accepted.
#[derive(Clone, Copy, Debug)]
struct Check {
    version: ConfigVersion,
    at: Instant,
}

/// Keeps track of confirmations.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationTracker {
    in_force: ConfigVersion,
    confirmed_at: Option<Instant>,
    /// Latest check of a version that is not in force yet.
    ahead: Option<Check>,
}

impl ConfirmationTracker {
    /// Notes a confirmation of `version` whose quorum check is `age` old at `now`.
    ///
    /// `now` should be the time at which the process sent the request that the confirmation answers, if there is one.
    /// A confirmation that was delayed on the way then counts as old.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_config::{Confirmation, ConfirmationTracker};
    ///
    /// let now = Instant::now();
    /// let mut tracker = ConfirmationTracker::default();
    /// tracker.confirm(now, 0, Duration::ZERO);
    /// assert_eq!(tracker.state(now + Duration::from_secs(8)), Confirmation::Confirmed);
    /// assert_eq!(tracker.state(now + Duration::from_secs(9)), Confirmation::Unconfirmed);
    /// ```
    pub fn confirm(&mut self, now: Instant, version: ConfigVersion, age: Duration) {
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        if version <= self.in_force {
            // The version in force was accepted by the time of the check or later, so it was current then.
            self.confirmed_at = self.confirmed_at.max(Some(at));
            return;
        }
        let newer = self
            .ahead
            .is_none_or(|check| (version, at) > (check.version, check.at));
        if newer {
            self.ahead = Some(Check { version, at });
        }
    }

    /// Notes that a version came into force.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_config::{Confirmation, ConfirmationTracker};
    ///
    /// let now = Instant::now();
    /// let mut tracker = ConfirmationTracker::default();
    /// tracker.confirm(now, 7, Duration::ZERO);
    /// assert_eq!(tracker.state(now), Confirmation::Never);
    /// tracker.set_applied(7);
    /// assert_eq!(tracker.state(now), Confirmation::Confirmed);
    /// ```
    pub fn set_applied(&mut self, version: ConfigVersion) {
        self.in_force = self.in_force.max(version);
        let reached = self.ahead.take_if(|check| check.version <= self.in_force);
        if let Some(check) = reached {
            self.confirmed_at = self.confirmed_at.max(Some(check.at));
        }
    }

    /// Returns the state at `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_config::{Confirmation, ConfirmationTracker};
    ///
    /// assert_eq!(ConfirmationTracker::default().state(Instant::now()), Confirmation::Never);
    /// ```
    #[must_use]
    pub fn state(&self, now: Instant) -> Confirmation {
        match self.age(now) {
            None => Confirmation::Never,
            Some(age) if age <= CONFIRMATION_TTL => Confirmation::Confirmed,
            Some(_) => Confirmation::Unconfirmed,
        }
    }

    /// Returns the time since the quorum check that confirmed the version in force.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_config::ConfirmationTracker;
    ///
    /// assert_eq!(ConfirmationTracker::default().age(Instant::now()), None);
    /// ```
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the instant after which the version in force is no longer confirmed.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::ConfirmationTracker;
    ///
    /// assert_eq!(ConfirmationTracker::default().expires_at(), None);
    /// ```
    #[must_use]
    pub fn expires_at(&self) -> Option<Instant> {
        self.confirmed_at.map(|at| at + CONFIRMATION_TTL)
    }
}
