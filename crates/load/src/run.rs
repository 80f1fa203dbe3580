//! Run of a scenario: submits every job at its planned time and collects what came back.

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_standin::{BehaviourChange, Journal, TargetHandle};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};
use uuid::Uuid;

use crate::check::{self, Verdict};
use crate::client::{self, Caller, Response};
use crate::error::LoadError;
use crate::evaluation::Evaluation;
use crate::number::{figure, length};
use crate::plan::{self, PlannedJob};
use crate::report::Report;
use crate::scenario::{Fault, Scenario};
use crate::wire::{Execution, Submission};

/// Time that the caller waits for a reply beyond the deadline before it counts the submission as lost.
const PATIENCE: Duration = Duration::from_secs(10);
/// Number of times that a lost submission is sent again.
const LOST_RETRIES: usize = 3;
/// Pause before a lost submission is sent again.
const LOST_PAUSE: Duration = Duration::from_millis(200);
/// Time that the targets get to end what was started, before their journals are read.
const SETTLE: Duration = Duration::from_millis(300);
/// Time to fetch a journal or apply a fault.
const CONTROL_PATIENCE: Duration = Duration::from_secs(20);
/// Time between updates of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of finished jobs that wait for collection.
const FINISHED_QUEUE: usize = 4_096;

/// Where jobs are submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// Entries; jobs are spread over them in turn.
    pub entries: Vec<SocketAddr>,
    /// Bearer token of the team.
    pub team_token: String,
}

/// Access to the simulated targets of a run.
pub trait Targets {
    /// Returns the journals of all targets, in the order of the scenario.
    fn journals(&self) -> impl Future<Output = Result<Vec<Journal>, LoadError>> + Send;

    /// Changes the behaviour of the target at `position`.
    fn change_behaviour(
        &self,
        position: usize,
        change: BehaviourChange,
    ) -> impl Future<Output = Result<(), LoadError>> + Send;
}

/// Targets that are reached over HTTP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpTargets {
    /// Addresses of the targets.
    pub addresses: Vec<SocketAddr>,
}

impl Targets for HttpTargets {
    async fn journals(&self) -> Result<Vec<Journal>, LoadError> {
        let transport = client::transport();
        let mut journals = Vec::with_capacity(self.addresses.len());
        for &address in &self.addresses {
            let journal = client::get_json(&transport, address, "/journal", CONTROL_PATIENCE).await;
            let target = address.to_string();
            journals.push(journal.map_err(|reason| LoadError::JournalUnavailable { target, reason })?);
        }
        Ok(journals)
    }

    async fn change_behaviour(&self, position: usize, change: BehaviourChange) -> Result<(), LoadError> {
        let address = self.addresses.get(position).ok_or_else(|| missing(position))?;
        let target = address.to_string();
        let failed = |reason| LoadError::FaultNotApplied { target, reason };
        let body = match serde_json::to_vec(&change) {
            Ok(body) => body,
            Err(e) => return Err(failed(e.to_string())),
        };
        let transport = client::transport();
        let changed = client::post_json(&transport, *address, "/behaviour", body, CONTROL_PATIENCE).await;
        changed.map_err(failed)
    }
}

impl Targets for Vec<TargetHandle> {
    async fn journals(&self) -> Result<Vec<Journal>, LoadError> {
        let mut journals = Vec::with_capacity(self.len());
        for target in self {
            let journal = target
                .journal()
                .await
                .map_err(|e| LoadError::JournalUnavailable {
                    target: target.name().to_owned(),
                    reason: e.to_string(),
                })?;
            journals.push(journal);
        }
        Ok(journals)
    }

    async fn change_behaviour(&self, position: usize, change: BehaviourChange) -> Result<(), LoadError> {
        let target = self.get(position).ok_or_else(|| missing(position))?;
        let changed = target.set_behaviour(change).await;
        changed.map_err(|e| LoadError::FaultNotApplied {
            target: target.name().to_owned(),
            reason: e.to_string(),
        })
    }
}

fn missing(position: usize) -> LoadError {
    LoadError::FaultNotApplied {
        target: format!("number {position}"),
        reason: "there are fewer targets".to_owned(),
    }
}

/// Runs a scenario and reports what the caller and the targets saw.
///
/// Jobs are spread over the entries in turn. The run takes the duration of the scenario, and at most the deadline and
/// some seconds more for each time a job is sent again.
///
/// # Errors
///
/// Fails if the scenario is unusable, no entry is given, a target gives no journal, or a fault cannot be applied.
pub async fn run<T: Targets>(
    scenario: &Scenario,
    endpoints: &Endpoints,
    targets: &T,
) -> Result<Report, LoadError> {
    scenario.check()?;
    if endpoints.entries.is_empty() {
        return Err(LoadError::NoEntries);
    }
    let before = targets.journals().await?;
    let jobs_per_s = plan::jobs_per_s(scenario, capacity(&before));
    let jobs = plan::draw(scenario, jobs_per_s);
    let start = Instant::now();
    let submitting = submit_all(scenario, endpoints, &jobs, start);
    let (runs, faults) = tokio::join!(submitting, apply_faults(&scenario.faults, targets, start));
    faults?;
    sleep(SETTLE).await;
    let after = targets.journals().await?;
    let evaluation = Evaluation {
        scenario,
        jobs: &jobs,
        runs: &runs,
        before: &before,
        after: &after,
    };
    Ok(evaluation.report())
}

/// Returns the seconds of run time at speed 1 that the targets work off in a second.
fn capacity(journals: &[Journal]) -> f64 {
    let each = journals
        .iter()
        .map(|journal| figure(journal.slots.into()) * journal.speed);
    each.sum::<f64>().max(f64::MIN_POSITIVE)
}

/// What the caller saw of one job.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    /// Position in the plan.
    pub index: usize,
    /// Id of the job.
    pub id: Uuid,
    /// Delay of the first sending behind the plan.
    pub send_lag: Duration,
    /// Every submission with its reply.
    pub submissions: Vec<Reply>,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
}

/// Reply to one submission.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Time from the planned submission of the job to the reply.
    pub after: Duration,
    /// Content of the reply.
    pub content: Content,
}

/// Content of a reply.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    /// Checked answer.
    Answer(Verdict),
    /// Refusal, with its code.
    Refusal {
        /// Stable code.
        code: String,
        /// What it says about execution.
        execution: Execution,
    },
    /// Reply that is neither.
    Unreadable(String),
    /// No reply.
    Lost(String),
}

async fn apply_faults<T: Targets>(faults: &[Fault], targets: &T, start: Instant) -> Result<(), LoadError> {
    let mut faults: Vec<&Fault> = faults.iter().collect();
    faults.sort_by_key(|fault| fault.at_ms);
    for fault in faults {
        sleep_until(start + Duration::from_millis(fault.at_ms)).await;
        targets.change_behaviour(fault.target, fault.change).await?;
    }
    Ok(())
}

async fn submit_all(
    scenario: &Scenario,
    endpoints: &Endpoints,
    jobs: &[PlannedJob],
    start: Instant,
) -> Vec<JobRun> {
    let caller = Caller::new(endpoints.team_token.clone(), scenario.service.clone());
    let (finished, inbox) = mpsc::channel(FINISHED_QUEUE);
    let collector = tokio::spawn(collect(inbox, jobs.len()));
    for (index, job) in jobs.iter().enumerate() {
        sleep_until(start + job.at).await;
        let client = Client {
            caller: caller.clone(),
            entries: endpoints.entries.clone(),
            first_entry: index,
            planned: start + job.at,
            patience: Duration::from_millis(scenario.deadline_ms) + PATIENCE,
            deadline_ms: scenario.deadline_ms,
        };
        let job = job.clone();
        let finished = finished.clone();
        tokio::spawn(async move {
            let run = client.drive(index, &job).await;
            // The collector outlives all senders.
            finished.send(run).await.ok();
        });
    }
    drop(finished);
    collector.await.unwrap_or_default()
}

async fn collect(mut inbox: mpsc::Receiver<JobRun>, total: usize) -> Vec<JobRun> {
    let mut runs = Vec::with_capacity(total);
    let terminal = std::io::stderr().is_terminal();
    let mut shown = Instant::now();
    while let Some(run) = inbox.recv().await {
        runs.push(run);
        if terminal && shown.elapsed() >= PROGRESS_INTERVAL {
            shown = Instant::now();
            let percent = 100.0 * length(runs.len()) / length(total);
            eprint!("\r{} of {total} jobs ({percent:.0}%)", runs.len());
            std::io::stderr().flush().ok();
        }
    }
    if terminal {
        eprintln!("\r{} of {total} jobs       ", runs.len());
    }
    runs.sort_by_key(|run| run.index);
    runs
}

/// Caller of one job.
#[derive(Debug)]
struct Client {
    caller: Caller,
    entries: Vec<SocketAddr>,
    first_entry: usize,
    planned: Instant,
    patience: Duration,
    deadline_ms: u64,
}

impl Client {
    async fn drive(&self, index: usize, job: &PlannedJob) -> JobRun {
        let id = Uuid::now_v7();
        let body = serde_json::to_vec(&Submission::new(id, self.deadline_ms, job)).unwrap_or_default();
        let body = Bytes::from(body);
        let sent = Instant::now();
        let submitting = async {
            let mut replies = Vec::new();
            self.insist(id, job, &body, 0, &mut replies).await;
            if let Some(delay) = job.again_answered {
                sleep(delay).await;
                self.insist(id, job, &body, 1, &mut replies).await;
            }
            replies
        };
        let again = async {
            let mut replies = Vec::new();
            if let Some(delay) = job.again_running {
                sleep(delay).await;
                self.insist(id, job, &body, 1, &mut replies).await;
            }
            replies
        };
        let cancelling = async {
            if let Some(delay) = job.cancel {
                sleep(delay).await;
                self.caller
                    .cancel(self.entry(0), &id.to_string(), self.patience)
                    .await;
            }
        };
        let (mut submissions, more, ()) = tokio::join!(submitting, again, cancelling);
        submissions.extend(more);
        submissions.sort_by_key(|reply| reply.after);
        JobRun {
            index,
            id,
            send_lag: sent.saturating_duration_since(self.planned),
            submissions,
            cancelled: job.cancel.is_some(),
        }
    }

    /// Submits the job and, if the submission is lost, again to the next entries a few times.
    async fn insist(
        &self,
        id: Uuid,
        job: &PlannedJob,
        body: &Bytes,
        offset: usize,
        replies: &mut Vec<Reply>,
    ) {
        for retry in 0..=LOST_RETRIES {
            let entry = self.entry(offset + retry);
            let response = self.caller.submit(entry, body.clone(), self.patience).await;
            let content = match response {
                Response::Answered(answer) => Content::Answer(check::verify(id, job, &answer)),
                Response::Refused(refusal) => Content::Refusal {
                    code: refusal.code,
                    execution: refusal.outcome,
                },
                Response::Unreadable(reason) => Content::Unreadable(reason),
                Response::Lost(reason) => Content::Lost(reason),
            };
            let lost = matches!(content, Content::Lost(_));
            replies.push(Reply {
                after: self.planned.elapsed(),
                content,
            });
            if !lost {
                return;
            }
            sleep(LOST_PAUSE).await;
        }
    }

    fn entry(&self, offset: usize) -> SocketAddr {
        self.entries[(self.first_entry + offset) % self.entries.len()]
    }
}
