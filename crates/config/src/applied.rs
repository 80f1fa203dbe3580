//! Configuration in force in an entry or agent.

use std::time::{Duration, Instant};

use chestnutfork_types::{ConfigVersion, Unconfirmed};
use serde_json::{Map, Value};

use crate::confirmation::{Confirmation, ConfirmationTracker};
use crate::document::Document;
use crate::error::{ConfigError, ErrorKind};
use crate::merge::merge_patch;
use crate::update::{DeltaStep, Update};
use crate::validate::validate;

/// What an update changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ApplyOutcome {
    /// The version rose.
    Applied {
        /// Version in force before.
        from: ConfigVersion,
        /// Version in force now.
        to: ConfigVersion,
    },
    /// The update leads to no later version and was ignored.
    Ignored,
}

/// Configuration in force; its version only rises.
#[derive(Clone, Debug)]
pub struct AppliedConfig {
    version: ConfigVersion,
    value: Value,
    document: Document,
    tracker: ConfirmationTracker,
}

impl Default for AppliedConfig {
    fn default() -> Self {
        Self {
            version: 0,
            value: Value::Object(Map::new()),
            document: Document::default(),
            tracker: ConfirmationTracker::default(),
        }
    }
}

impl AppliedConfig {
    /// Returns the version in force; 0 is the empty document.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_config::AppliedConfig::default().version(), 0);
    /// ```
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the document in force.
    ///
    /// # Examples
    ///
    /// ```
    /// let applied = chestnutfork_config::AppliedConfig::default();
    /// assert!(applied.document().service("desk").is_none());
    /// ```
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Puts an update in force, unless its version is not above the one in force.
    ///
    /// # Errors
    ///
    /// Fails if steps are missing in between or the document is not valid for this process. The version in force then
    /// stays as it is.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_config::{AppliedConfig, ApplyOutcome, Update};
    /// use serde_json::json;
    ///
    /// let document = json!({ "services": { "desk": { "pool": "main" } } });
    /// let update = Update::Snapshot { version: 4, document };
    /// let mut applied = AppliedConfig::default();
    /// assert_eq!(applied.apply(&update), Ok(ApplyOutcome::Applied { from: 0, to: 4 }));
    /// assert_eq!(applied.apply(&update), Ok(ApplyOutcome::Ignored));
    /// assert!(applied.document().service("desk").is_some());
    /// ```
    pub fn apply(&mut self, update: &Update) -> Result<ApplyOutcome, ConfigError> {
        let to = update.version();
        if to <= self.version {
            return Ok(ApplyOutcome::Ignored);
        }
        let value = match update {
            Update::Snapshot { document, .. } => document.clone(),
            Update::Delta { steps } => self.after_steps(steps)?,
        };
        let document = validate(&value).map_err(|errors| ErrorKind::Invalid { version: to, errors })?;
        let from = self.version;
        self.version = to;
        self.value = value;
        self.document = document;
        self.tracker.set_applied(to);
        Ok(ApplyOutcome::Applied { from, to })
    }

    fn after_steps(&self, steps: &[DeltaStep]) -> Result<Value, ConfigError> {
        let mut previous = self.version;
        let mut value = self.value.clone();
        for step in steps.iter().filter(|step| step.version > self.version) {
            if step.version != previous + 1 {
                let next = step.version;
                return Err(ErrorKind::Gap { previous, next }.into());
            }
            merge_patch(&mut value, &step.patch);
            previous = step.version;
        }
        Ok(value)
    }

    /// Notes a confirmation by control; see [`ConfirmationTracker::confirm`].
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_config::{AppliedConfig, Confirmation};
    ///
    /// let now = Instant::now();
    /// let mut applied = AppliedConfig::default();
    /// applied.confirm(now, 0, Duration::from_secs(1));
    /// assert_eq!(applied.confirmation(now), Confirmation::Confirmed);
    /// ```
    pub fn confirm(&mut self, now: Instant, version: ConfigVersion, age: Duration) {
        self.tracker.confirm(now, version, age);
    }

    /// Reports whether the version in force is confirmed at `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_config::{AppliedConfig, Confirmation};
    ///
    /// assert_eq!(AppliedConfig::default().confirmation(Instant::now()), Confirmation::Never);
    /// ```
    #[must_use]
    pub fn confirmation(&self, now: Instant) -> Confirmation {
        self.tracker.state(now)
    }

    /// Reports whether new work of a service may be accepted at `now`.
    ///
    /// A process that has never had a confirmation accepts nothing. An unknown service is accepted by nobody.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let applied = chestnutfork_config::AppliedConfig::default();
    /// assert!(!applied.accepts(Instant::now(), "desk"));
    /// ```
    #[must_use]
    pub fn accepts(&self, now: Instant, service: &str) -> bool {
        let Some(policy) = self.document.service(service) else {
            return false;
        };
        match self.confirmation(now) {
            Confirmation::Never => false,
            Confirmation::Confirmed => true,
            Confirmation::Unconfirmed => policy.unconfirmed == Unconfirmed::Serve,
        }
    }

    /// Returns the tracker of confirmations.
    ///
    /// # Examples
    ///
    /// ```
    /// let applied = chestnutfork_config::AppliedConfig::default();
    /// assert_eq!(applied.tracker().expires_at(), None);
    /// ```
    #[must_use]
    pub fn tracker(&self) -> &ConfirmationTracker {
        &self.tracker
    }
}
