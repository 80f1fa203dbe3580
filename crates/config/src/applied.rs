//! Configuration that an entry or agent has applied.

use std::time::{Duration, Instant};

use chestnutfork_types::{ConfigVersion, UnconfirmedPolicy};
use serde_json::{Map, Value};

use crate::confirmation::{Confirmation, ConfirmationTracker};
use crate::document::Document;
use crate::error::{ConfigError, ErrorKind};
use crate::merge::merge_patch;
use crate::update::{DeltaStep, Update};
use crate::validate::validate;

/// Outcome of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ApplyOutcome {
    /// A later version was applied.
    Applied {
        /// Version before the update.
        from: ConfigVersion,
        /// Version after the update.
        to: ConfigVersion,
    },
    /// The update does not lead to a later version and was ignored.
    Ignored,
}

/// Applied configuration; its version never decreases.
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
    /// Returns the applied version; 0 is the empty document.
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

    /// Returns the applied document.
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

    /// Applies an update if it leads to a later version than the applied one.
    ///
    /// # Errors
    ///
    /// Returns an error if steps are missing in between or the document is not valid for this process. The applied
    /// version then remains.
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
            Update::Delta { steps } => self.merge_steps(steps)?,
        };
        let document = validate(&value).map_err(|errors| ErrorKind::Invalid { version: to, errors })?;
        let from = self.version;
        self.version = to;
        self.value = value;
        self.document = document;
        self.tracker.set_applied(to);
        Ok(ApplyOutcome::Applied { from, to })
    }

    fn merge_steps(&self, steps: &[DeltaStep]) -> Result<Value, ConfigError> {
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

    /// Records a confirmation from control; see [`ConfirmationTracker::confirm`].
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

    /// Reports whether the applied version is confirmed at `now`.
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

    /// Reports whether new work for a service may be accepted at `now`.
    ///
    /// Work is rejected before the first confirmation and for unknown services.
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
            Confirmation::Unconfirmed => policy.unconfirmed == UnconfirmedPolicy::Serve,
        }
    }

    /// Returns the tracker of the confirmations of the applied version.
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
