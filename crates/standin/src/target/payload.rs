//! Payload and output of simulated tasks.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

/// Input of a simulated task, sent as JSON in the payload that is opaque to everyone else.
///
/// # Examples
///
/// ```
/// let payload: chestnutfork_standin::TaskPayload = serde_json::from_str(r#"{"run_ms": 120}"#)?;
/// assert!(!payload.fail);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskPayload {
    /// Run time in milliseconds at speed 1.
    pub run_ms: f64,
    /// Run time that the caller declared, in milliseconds; the target ignores it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<f64>,
    /// Whether the task fails at its end.
    #[serde(default)]
    pub fail: bool,
    /// Text that the output repeats, so that a crossed answer is detected.
    #[serde(default)]
    pub echo: String,
}

/// Output of a completed simulated task.
///
/// # Examples
///
/// ```
/// let text = r#"{"job": "j", "task": 3, "target": "t1", "echo": "x"}"#;
/// let output: chestnutfork_standin::TaskOutput = serde_json::from_str(text)?;
/// assert_eq!(output.task, 3);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOutput<'a> {
    /// Id of the job as UUID text.
    pub job: Cow<'a, str>,
    /// Index of the task.
    pub task: u16,
    /// Name of the target that ran the task.
    pub target: Cow<'a, str>,
    /// Text from the payload.
    pub echo: Cow<'a, str>,
}
