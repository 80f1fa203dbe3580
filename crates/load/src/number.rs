//! Conversions between integers, durations and floating-point numbers.

use std::time::Duration;

/// Converts a count to floating point.
#[expect(clippy::cast_precision_loss, reason = "counts of a run stay far below 2^53")]
pub(crate) fn count_to_f64(count: u64) -> f64 {
    count as f64
}

/// Converts a length to floating point.
pub(crate) fn len_to_f64(len: usize) -> f64 {
    count_to_f64(len as u64)
}

/// Rounds to the nearest count; negative values become 0.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range first"
)]
pub(crate) fn round_to_u64(value: f64) -> u64 {
    value.round().clamp(0.0, 9.0e15) as u64
}

/// Converts milliseconds to a duration; negative and unrepresentable values become zero.
pub(crate) fn from_millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
}

/// Converts a duration to milliseconds.
pub(crate) fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
