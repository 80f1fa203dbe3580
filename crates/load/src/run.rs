//! Execution of a scenario: submits every job at its planned time and collects the replies.

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chestnutfork_standin::{BehaviourChange, Journal, TargetHandle};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};
use uuid::Uuid;

use crate::check::{self, Verdict};
use crate::client::{self, Response, ServiceClient};
use crate::error::LoadError;
use crate::evaluation::Evaluation;
use crate::number::{count_to_f64, len_to_f64};
use crate::plan::{self, PlannedJob};
use crate::report::Report;
use crate::scenario::{Fault, Scenario};
use crate::wire::{Execution, Submission};

/// Time added to the deadline of a job to obtain the timeout after which a submission counts as lost.
const REPLY_GRACE: Duration = Duration::from_secs(10);
/// Maximum number of retries of a lost submission.
const LOST_RETRIES: usize = 3;
/// Delay before a lost submission is retried.
const LOST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before the journals are read, in which the targets finish the tasks that they started.
const JOURNAL_DELAY: Duration = Duration::from_millis(300);
/// Timeout for reading a journal or applying a fault.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between updates of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Capacity of the channel from the jobs to the collector.
const FINISHED_CAPACITY: usize = 4_096;

/// Entries of the system under test and the credentials for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// Addresses of the entries; jobs are distributed over them round-robin.
    pub entries: Vec<SocketAddr>,
    /// Bearer token of the team.
    pub team_token: String,
}

/// Access to the journals and the behaviour of the simulated targets.
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

/// Targets that are accessed over HTTP.
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
            let journal = client::get_json(&transport, address, "/journal", CONTROL_TIMEOUT).await;
            let target = address.to_string();
            journals.push(journal.map_err(|reason| LoadError::JournalUnavailable { target, reason })?);
        }
        Ok(journals)
    }

    async fn change_behaviour(&self, position: usize, change: BehaviourChange) -> Result<(), LoadError> {
        let address = self
            .addresses
            .get(position)
            .ok_or_else(|| no_such_target(position))?;
        let target = address.to_string();
        let failed = |reason| LoadError::FaultNotApplied { target, reason };
        let body = match serde_json::to_vec(&change) {
            Ok(body) => body,
            Err(e) => return Err(failed(e.to_string())),
        };
        let transport = client::transport();
        let changed = client::post_json(&transport, *address, "/behaviour", body, CONTROL_TIMEOUT).await;
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
        let target = self.get(position).ok_or_else(|| no_such_target(position))?;
        let changed = target.set_behaviour(change).await;
        changed.map_err(|e| LoadError::FaultNotApplied {
            target: target.name().to_owned(),
            reason: e.to_string(),
        })
    }
}

fn no_such_target(position: usize) -> LoadError {
    LoadError::FaultNotApplied {
        target: format!("number {position}"),
        reason: "the run has fewer targets".to_owned(),
    }
}

/// Runs a scenario and reports the figures that the caller and the targets observed.
///
/// Jobs are distributed over the entries round-robin. The run takes the duration of the scenario, and in addition at
/// most the deadline and a few seconds for each time that a job is resubmitted or retried.
///
/// # Errors
///
/// Returns an error if the scenario is invalid, no entry is given, a journal cannot be read, or a fault cannot be
/// applied.
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
    let jobs = plan::draw_jobs(scenario, jobs_per_s);
    let start = Instant::now();
    let submitting = submit_all(scenario, endpoints, &jobs, start);
    let (runs, faults) = tokio::join!(submitting, apply_faults(&scenario.faults, targets, start));
    faults?;
    sleep(JOURNAL_DELAY).await;
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

/// Returns the run time at speed 1, in seconds, that the targets execute per second.
fn capacity(journals: &[Journal]) -> f64 {
    let capacities = journals
        .iter()
        .map(|journal| count_to_f64(journal.slots.into()) * journal.speed);
    capacities.sum::<f64>().max(f64::MIN_POSITIVE)
}

/// Submissions and replies of one job.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    /// Index of the job in the plan.
    pub index: usize,
    /// Id that the caller generated for the job.
    pub id: Uuid,
    /// Delay of the first submission after its planned time.
    pub send_lag: Duration,
    /// One reply per submission, in order of their time.
    pub submissions: Vec<Reply>,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
}

/// Reply to one submission.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Time from the planned time of the job to the reply.
    pub after: Duration,
    /// Content of the reply.
    pub content: ReplyContent,
}

/// Classified content of a reply.
#[derive(Clone, Debug)]
pub(crate) enum ReplyContent {
    /// Answer, after verification.
    Answer(Verdict),
    /// Refusal, with its code.
    Refusal {
        /// Stable code.
        code: String,
        /// Whether tasks may have run.
        execution: Execution,
    },
    /// Reply that is neither an answer nor a refusal, with the reason.
    Unreadable(String),
    /// No reply, with the reason.
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
    let client = ServiceClient::new(endpoints.team_token.clone(), scenario.service.clone());
    let (finished, receiver) = mpsc::channel(FINISHED_CAPACITY);
    let collector = tokio::spawn(collect(receiver, jobs.len()));
    for (index, job) in jobs.iter().enumerate() {
        sleep_until(start + job.at).await;
        let driver = JobDriver {
            client: client.clone(),
            entries: endpoints.entries.clone(),
            first_entry: index,
            planned: start + job.at,
            reply_timeout: Duration::from_millis(scenario.deadline_ms) + REPLY_GRACE,
            deadline_ms: scenario.deadline_ms,
        };
        let job = job.clone();
        let finished = finished.clone();
        tokio::spawn(async move {
            let run = driver.run(index, &job).await;
            // Sending cannot fail, because the collector receives until all senders are dropped.
            finished.send(run).await.ok();
        });
    }
    drop(finished);
    collector.await.unwrap_or_default()
}

async fn collect(mut receiver: mpsc::Receiver<JobRun>, total: usize) -> Vec<JobRun> {
    let mut runs = Vec::with_capacity(total);
    let terminal = std::io::stderr().is_terminal();
    let mut last_shown = Instant::now();
    while let Some(run) = receiver.recv().await {
        runs.push(run);
        if terminal && last_shown.elapsed() >= PROGRESS_INTERVAL {
            last_shown = Instant::now();
            let percent = 100.0 * len_to_f64(runs.len()) / len_to_f64(total);
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

/// Submits one job, with its resubmissions and cancellation.
#[derive(Debug)]
struct JobDriver {
    client: ServiceClient,
    entries: Vec<SocketAddr>,
    first_entry: usize,
    planned: Instant,
    reply_timeout: Duration,
    deadline_ms: u64,
}

impl JobDriver {
    async fn run(&self, index: usize, job: &PlannedJob) -> JobRun {
        let id = Uuid::now_v7();
        let body = serde_json::to_vec(&Submission::new(id, self.deadline_ms, job)).unwrap_or_default();
        let body = Bytes::from(body);
        let sent = Instant::now();
        let submitting = async {
            let mut replies = Vec::new();
            self.submit_with_retries(id, job, &body, 0, &mut replies).await;
            if let Some(delay) = job.resubmit_after_answer {
                sleep(delay).await;
                self.submit_with_retries(id, job, &body, 1, &mut replies).await;
            }
            replies
        };
        let resubmitting = async {
            let mut replies = Vec::new();
            if let Some(delay) = job.resubmit_while_running {
                sleep(delay).await;
                self.submit_with_retries(id, job, &body, 1, &mut replies).await;
            }
            replies
        };
        let cancelling = async {
            if let Some(delay) = job.cancel_after {
                sleep(delay).await;
                self.client
                    .cancel(self.entry(0), &id.to_string(), self.reply_timeout)
                    .await;
            }
        };
        let (mut submissions, resubmissions, ()) = tokio::join!(submitting, resubmitting, cancelling);
        submissions.extend(resubmissions);
        submissions.sort_by_key(|reply| reply.after);
        JobRun {
            index,
            id,
            send_lag: sent.saturating_duration_since(self.planned),
            submissions,
            cancelled: job.cancel_after.is_some(),
        }
    }

    /// Submits the job, and retries a lost submission at the following entries up to `LOST_RETRIES` times.
    async fn submit_with_retries(
        &self,
        id: Uuid,
        job: &PlannedJob,
        body: &Bytes,
        offset: usize,
        replies: &mut Vec<Reply>,
    ) {
        for retry in 0..=LOST_RETRIES {
            let entry = self.entry(offset + retry);
            let response = self.client.submit(entry, body.clone(), self.reply_timeout).await;
            let content = match response {
                Response::Answered(answer) => ReplyContent::Answer(check::verify(id, job, &answer)),
                Response::Refused(refusal) => ReplyContent::Refusal {
                    code: refusal.code,
                    execution: refusal.outcome,
                },
                Response::Unreadable(reason) => ReplyContent::Unreadable(reason),
                Response::Lost(reason) => ReplyContent::Lost(reason),
            };
            let lost = matches!(content, ReplyContent::Lost(_));
            replies.push(Reply {
                after: self.planned.elapsed(),
                content,
            });
            if !lost {
                return;
            }
            sleep(LOST_RETRY_DELAY).await;
        }
    }

    fn entry(&self, offset: usize) -> SocketAddr {
        self.entries[(self.first_entry + offset) % self.entries.len()]
    }
}
