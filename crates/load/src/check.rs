//! Verification of an answer against its request.

use std::hash::{DefaultHasher, Hash, Hasher};

use chestnutfork_standin::TaskOutput;
use serde::Deserialize;
use uuid::Uuid;

use crate::plan::PlannedJob;
use crate::wire::{Answer, Outcome, Status, TaskAnswer, echo};

/// Result of verifying an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Verdict {
    /// Status of every task in the answer.
    pub statuses: Vec<Status>,
    /// Whether the number of tasks is wrong or the outcome contradicts the statuses.
    pub partial: bool,
    /// Whether the answer or an output belongs to another request.
    pub crossed: bool,
    /// Hash of the statuses, reasons and outputs, to detect answers that differ.
    pub digest: u64,
}

impl Verdict {
    /// Returns whether every task is completed.
    pub fn completed(&self) -> bool {
        self.statuses.iter().all(|&status| status == Status::Completed)
    }

    /// Returns whether no task ran.
    pub fn not_run(&self) -> bool {
        self.statuses.iter().all(|&status| status == Status::NotRun)
    }
}

/// Verifies that an answer is complete and belongs to the job.
pub(crate) fn verify(id: Uuid, job: &PlannedJob, answer: &Answer) -> Verdict {
    let all_completed = answer.tasks.iter().all(|task| task.status == Status::Completed);
    let consistent = all_completed == (answer.outcome == Outcome::Completed);
    let complete = answer.tasks.len() == job.tasks.len();
    let is_foreign = |(index, task): (usize, &TaskAnswer)| {
        task.status == Status::Completed && !belongs(id, index, task.output.as_ref())
    };
    Verdict {
        statuses: answer.tasks.iter().map(|task| task.status).collect(),
        partial: !(complete && consistent),
        crossed: answer.job_id != id || answer.tasks.iter().enumerate().any(is_foreign),
        digest: digest(answer),
    }
}

/// Returns whether an output belongs to the given task.
fn belongs(id: Uuid, task: usize, output: Option<&serde_json::Value>) -> bool {
    let Some(output) = output else {
        return false;
    };
    let Ok(output) = TaskOutput::deserialize(output) else {
        return false;
    };
    let same_job = Uuid::parse_str(&output.job) == Ok(id);
    same_job && usize::from(output.task) == task && output.echo == echo(id, task)
}

fn digest(answer: &Answer) -> u64 {
    let mut hasher = DefaultHasher::new();
    for task in &answer.tasks {
        task.status.hash(&mut hasher);
        task.reason.hash(&mut hasher);
        task.output.as_ref().map(ToString::to_string).hash(&mut hasher);
    }
    hasher.finish()
}
