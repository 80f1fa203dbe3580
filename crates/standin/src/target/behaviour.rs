//! Behaviour of a simulated target, changeable while it runs.

use serde::{Deserialize, Serialize};

/// How a target treats connections and tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Runs tasks as their payload says.
    #[default]
    Normal,
    /// Fails every task at once.
    BlackHole,
    /// Accepts tasks and never ends them; still answers `/health`.
    Hang,
    /// Accepts connections and reads nothing from them.
    Silent,
    /// Alternates between `Normal` and `BlackHole`, one period each.
    Flapping,
}

/// Complete behaviour of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Behaviour {
    /// Divisor of run times; 2 is twice as fast as nominal.
    pub speed: f64,
    /// How connections and tasks are treated.
    pub mode: Mode,
    /// Largest fraction by which a run time is randomly lengthened.
    pub jitter: f64,
    /// Length of one flapping period in milliseconds.
    pub flap_ms: u64,
    /// Whether the target announces that it is leaving.
    pub leaving: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            speed: 1.0,
            mode: Mode::Normal,
            jitter: 0.0,
            flap_ms: 500,
            leaving: false,
        }
    }
}

/// Partial change of a behaviour; absent fields stay as they are.
///
/// # Examples
///
/// ```
/// use chestnutfork_standin::{Behaviour, BehaviourChange, Mode};
///
/// let change: BehaviourChange = serde_json::from_str(r#"{"mode": "hang"}"#)?;
/// let after = change.apply(Behaviour::default());
/// assert_eq!(after.mode, Mode::Hang);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BehaviourChange {
    /// New speed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub speed: Option<f64>,
    /// New mode.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mode: Option<Mode>,
    /// New jitter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub jitter: Option<f64>,
    /// New flapping period in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flap_ms: Option<u64>,
    /// New leaving flag.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// Whether the connections that are open now go silent for good, while new ones work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub silence_open: Option<bool>,
}

impl BehaviourChange {
    /// Returns the behaviour with the change applied.
    #[must_use]
    pub fn apply(self, behaviour: Behaviour) -> Behaviour {
        Behaviour {
            speed: self.speed.unwrap_or(behaviour.speed),
            mode: self.mode.unwrap_or(behaviour.mode),
            jitter: self.jitter.unwrap_or(behaviour.jitter),
            flap_ms: self.flap_ms.unwrap_or(behaviour.flap_ms),
            leaving: self.leaving.unwrap_or(behaviour.leaving),
        }
    }

    /// Checks the ranges of the fields that are set.
    ///
    /// # Errors
    ///
    /// Returns the name of the bad field with its range.
    pub fn check(&self) -> Result<(), String> {
        if self
            .speed
            .is_some_and(|speed| !(speed.is_finite() && speed > 0.0))
        {
            return Err("speed: must be a finite number above 0".to_owned());
        }
        if self.jitter.is_some_and(|jitter| !(0.0..=10.0).contains(&jitter)) {
            return Err("jitter: must be between 0 and 10".to_owned());
        }
        if self.flap_ms == Some(0) {
            return Err("flap_ms: must be at least 1".to_owned());
        }
        Ok(())
    }
}
