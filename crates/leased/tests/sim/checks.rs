//! Checks after each event: no two runs of a task at a time, and no run of an attempt that was reported as ended.

use std::collections::HashMap;
use std::fmt;

use chestnutfork_types::{AttemptKey, ProcessId, RunNumber, RunOutcome, TaskKey};
use chestnutfork_worker::ListedRun;

use super::Sim;
use super::workers::NameNumber;

/// Rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Two runs of a task were in progress at the same time.
    ConcurrentRuns,
    /// A run was in progress although its attempt had been reported to its entry as ended.
    EndedAttempt,
    /// A task was started too often after several workers had crashed under it.
    StartedAfterCrashes,
    /// A caller got a wrong answer.
    Answer,
}

/// Broken rule and its circumstances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Rule that was broken.
    pub rule: Rule,
    /// Task concerned, if any.
    pub task: Option<TaskKey>,
    message: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.rule, self.message)
    }
}

/// Attempt of one incarnation of an entry.
pub(super) type OwnedAttempt = (ProcessId, AttemptKey);

/// Relation of runs to the attempts for which they were ordered.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Latest attempt at each task that each agent accepted.
    accepted: HashMap<(usize, TaskKey), OwnedAttempt>,
    /// Attempts for which runs were ordered, by agent and name of the worker.
    of_runs: HashMap<(usize, NameNumber, TaskKey, RunNumber), OwnedAttempt>,
    /// Attempts that entries know as ended.
    ended: HashMap<OwnedAttempt, RunOutcome>,
}

impl Attempts {
    pub(super) fn accept(&mut self, agent: usize, attempt: OwnedAttempt) {
        self.accepted.insert((agent, attempt.1.task), attempt);
    }

    pub(super) fn order_run(&mut self, agent: usize, name: NameNumber, run: ListedRun) {
        if let Some(&attempt) = self.accepted.get(&(agent, run.task)) {
            let key = (agent, name, run.task, run.number);
            self.of_runs.insert(key, attempt);
        }
    }

    pub(super) fn end(&mut self, attempt: OwnedAttempt, outcome: RunOutcome) {
        self.ended.entry(attempt).or_insert(outcome);
    }

    fn end_of(&self, agent: usize, name: NameNumber, run: ListedRun) -> Option<(OwnedAttempt, RunOutcome)> {
        let attempt = self.of_runs.get(&(agent, name, run.task, run.number))?;
        Some((*attempt, *self.ended.get(attempt)?))
    }
}

impl Sim {
    /// Checks all runs in progress at the current time.
    pub(super) fn check_runs(&mut self) {
        let mut runs: Vec<(ListedRun, usize)> = Vec::new();
        for (agent, worker) in self.workers.iter_mut().enumerate() {
            worker.model.advance(self.now);
            let ended = worker.model.take_past();
            let lapsed = ended.iter().filter(|past| past.end == RunOutcome::Lost);
            self.counts.lapsed_runs += lapsed.count() as u64;
            runs.extend(worker.model.runs().map(|run| (run, agent)));
        }
        for (at, &(run, agent)) in runs.iter().enumerate() {
            if let Some(&(other, other_agent)) =
                runs[at + 1..].iter().find(|(other, _)| other.task == run.task)
            {
                self.violate(
                    Rule::ConcurrentRuns,
                    Some(run.task),
                    format!(
                        "{:?} has run {} on worker {agent} and run {} on worker {other_agent} at the same time",
                        run.task, run.number, other.number
                    ),
                );
                return;
            }
        }
        if self
            .violations
            .iter()
            .any(|violation| violation.rule == Rule::EndedAttempt)
        {
            return;
        }
        for (run, agent) in runs {
            let name = self.workers[agent].name;
            if let Some(((entry, key), outcome)) = self.attempts.end_of(agent, name, run) {
                self.violate(
                    Rule::EndedAttempt,
                    Some(run.task),
                    format!(
                        "run {} of {:?} continues on worker {agent} although attempt {} of entry process {entry:x} was \
                         reported as {}",
                        run.number,
                        run.task,
                        key.attempt,
                        outcome.as_str()
                    ),
                );
                return;
            }
        }
    }

    pub(super) fn violate(&mut self, rule: Rule, task: Option<TaskKey>, message: String) {
        let violation = Violation { rule, task, message };
        self.trace(|| format!("VIOLATION {violation}"));
        self.violations.push(violation);
    }

    /// Returns whether the run need not continue: only an attempt that was reported too early may have further effects.
    pub(super) fn is_over(&self) -> bool {
        let mut violations = self.violations.iter();
        violations.any(|violation| violation.rule != Rule::EndedAttempt)
    }
}
