//! Trace of a run: what happened before a violation.

use std::time::{Duration, Instant};

use super::Sim;

/// Recorded lines with their virtual times.
#[derive(Debug)]
pub struct Trace {
    started_at: Instant,
    lines: Option<Vec<(Duration, String)>>,
}

impl Trace {
    /// Creates a trace that records nothing unless it is enabled.
    pub fn new(started_at: Instant, enabled: bool) -> Self {
        let lines = enabled.then(Vec::new);
        Self { started_at, lines }
    }

    /// Returns the recorded lines.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        let lines = self.lines.iter().flatten();
        lines.map(|(at, line)| format!("{:9.3} s  {line}", at.as_secs_f64()))
    }
}

impl Sim {
    /// Records a line if the trace is enabled.
    pub(super) fn trace(&mut self, line: impl FnOnce() -> String) {
        let at = self.now.saturating_duration_since(self.trace.started_at);
        if let Some(lines) = &mut self.trace.lines {
            lines.push((at, line()));
        }
    }
}
