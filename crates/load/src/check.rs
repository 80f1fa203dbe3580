//! Checks of a single answer against its request.

use std::hash::{DefaultHasher, Hash, Hasher};

use chestnutfork_standin::TaskOutput;
use serde::Deserialize;
use uuid::Uuid;

use crate::plan::PlannedJob;
use crate::wire::{Answer, Outcome, Status, TaskAnswer, echo};

/// What remains of an answer after its check.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Verdict {
    /// Status of every task in the answer.
    pub statuses: Vec<Status>,
    /// Whether the answer lacks tasks or its outcome contradicts its statuses.
    pub partial: bool,
    /// Whether the answer or an output belongs to another request.
    pub crossed: bool,
    /// Digest of the whole answer, to compare it with others.
    pub digest: u64,
}

impl Verdict {
    /// Reports whether every task is completed.
    pub fn completed(&self) -> bool {
        self.statuses.iter().all(|&status| status == Status::Completed)
    }

    /// Reports whether no task ran.
    pub fn not_run(&self) -> bool {
        self.statuses.iter().all(|&status| status == Status::NotRun)
    }
}

/// Checks that an answer is whole and belongs to the job.
pub(crate) fn verify(id: Uuid, job: &PlannedJob, answer: &Answer) -> Verdict {
    let completed = answer.tasks.iter().all(|task| task.status == Status::Completed);
    let consistent = completed == (answer.outcome == Outcome::Completed);
    let whole = answer.tasks.len() == job.tasks.len();
    let foreign = |(index, task): (usize, &TaskAnswer)| {
        task.status == Status::Completed && !belongs(id, index, task.output.as_ref())
    };
    Verdict {
        statuses: answer.tasks.iter().map(|task| task.status).collect(),
        partial: !(whole && consistent),
        crossed: answer.job_id != id || answer.tasks.iter().enumerate().any(foreign),
        digest: digest(answer),
    }
}

/// Reports whether an output is that of the given task.
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
