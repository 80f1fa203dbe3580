//! Confirmation that the applied version is the latest accepted one.

use std::time::{Duration, Instant};

use chestnutfork_types::ConfigVersion;

/// Validity of a confirmation; once it has expired, control may have accepted a version unknown to the process.
///
/// An accepted patch must be in effect everywhere within 10 s; the remaining 2 s are for its delivery.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(8);

/// Time without a confirmation after which a process switches to another control process.
pub const CONTROL_SWITCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether the applied version is known to be the latest accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Confirmation {
    /// No version has been confirmed since the process started; it accepts no work.
    Never,
    /// A quorum of control confirmed the version within [`CONFIRMATION_TTL`].
    Confirmed,
    /// The last confirmation is older than [`CONFIRMATION_TTL`].
    Unconfirmed,
}

/// Quorum check by control: no version above `version` had been accepted at `at`.
#[derive(Clone, Copy, Debug)]
struct QuorumCheck {
    version: ConfigVersion,
    at: Instant,
}

/// Tracks the confirmations of the applied version.
#[derive(Clone, Debug, Default)]
pub struct ConfirmationTracker {
    applied: ConfigVersion,
    confirmed_at: Option<Instant>,
    /// Latest quorum check of a version that is not applied yet.
    pending_check: Option<QuorumCheck>,
}

impl ConfirmationTracker {
    /// Records a confirmation of `version` whose quorum check is `age` old at `now`.
    ///
    /// If the confirmation is the response to a request, pass the time at which the process sent the request as `now`,
    /// so that delays on the network count towards the age.
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
        if version <= self.applied {
            // At the time of the check no version above `version` had been accepted, and the applied version is not
            // below `version`, so it was not outdated then.
            self.confirmed_at = self.confirmed_at.max(Some(at));
            return;
        }
        let newer = self
            .pending_check
            .is_none_or(|check| (version, at) > (check.version, check.at));
        if newer {
            self.pending_check = Some(QuorumCheck { version, at });
        }
    }

    /// Records that a version has been applied.
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
        self.applied = self.applied.max(version);
        let reached = self.pending_check.take_if(|check| check.version <= self.applied);
        if let Some(check) = reached {
            self.confirmed_at = self.confirmed_at.max(Some(check.at));
        }
    }

    /// Reports whether the applied version is confirmed at `now`.
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

    /// Returns the time since the quorum check that confirmed the applied version.
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

    /// Returns the last instant at which the applied version counts as confirmed.
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
