//! Ledger of what callers and workers see; it checks the promises while the soak runs.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::Write;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use chestnutfork_types::{JobId, RunNumber, RunOutcome, TaskKey};
use tokio::sync::mpsc;

use crate::limits::{Capacities, Crashes};
use crate::seen::{Answer, Seen, Timing, WorkerIncarnation};

/// Time after which a leaving worker gets no more tasks, as the deployments' settings allow.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time after which an accepted configuration is in force, as the deployments' settings allow.
pub(crate) const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);

/// Rule that a start broke which a reduced capacity does not allow.
const BEYOND_CAPACITY: &str = "started beyond the capacity of a worker";

/// What a soak has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that were submitted.
    pub jobs: u64,
    /// Jobs that were answered as completed.
    pub completed: u64,
    /// Jobs that were refused by every entry that was asked.
    pub refused: u64,
    /// Runs that workers began.
    pub starts: u64,
    /// Workers that tasks crashed.
    pub crashes: u64,
    /// Most crashes by one task.
    pub most_crashes: u64,
    /// Jobs of the calm end.
    pub calm_jobs: u64,
    /// Jobs of the calm end that completed.
    pub calm_completed: u64,
}

/// Counts and broken promises.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was seen.
    pub counts: Counts,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

#[derive(Debug, Default)]
struct Job {
    spec: String,
    tasks: u16,
    /// Whether it was submitted in the calm end.
    calm: bool,
    verdict: Verdict,
    finished: bool,
    started: bool,
}

/// What the answers to a job allow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Verdict {
    /// Every answer so far was a refusal.
    #[default]
    Refused,
    /// An answer left open what ran, or never came.
    Unclear,
    /// An answer said that it is completed.
    Completed,
}

impl Job {
    fn leave_open(&mut self) {
        if self.verdict == Verdict::Refused {
            self.verdict = Verdict::Unclear;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Run {
    worker: WorkerIncarnation,
    number: RunNumber,
    timing: Timing,
    began: Instant,
    ended: Option<(RunOutcome, Instant)>,
}

impl Run {
    fn overlaps(&self, other: &Self) -> bool {
        let before = |one: &Self, two: &Self| one.ended.is_some_and(|(_, at)| at <= two.began);
        !before(self, other) && !before(other, self)
    }

    /// Describes the run with times that can be compared with those of the logs.
    fn describe(&self) -> String {
        let (worker, number, timing) = (self.worker, self.number, self.timing);
        let began = unix_millis(self.began);
        let ended = self.ended.map(|(end, at)| (end, unix_millis(at)));
        format!("run {number} on {worker:?} from {began} {timing:?}, ended {ended:?}")
    }
}

/// Workers that have to have crashed under a task for its job to count as failed.
const CRASHES_OF_FAILED_TASK: usize = 2;

/// Record of jobs, runs and configurations.
#[derive(Debug, Default)]
pub struct Ledger {
    jobs: HashMap<JobId, Job>,
    runs: HashMap<TaskKey, Vec<Run>>,
    leaving: HashMap<WorkerIncarnation, Instant>,
    /// When workers ended without having announced that they leave.
    crashed: HashMap<WorkerIncarnation, Instant>,
    crashes: Crashes,
    capacities: Capacities,
    taken: Vec<(u64, Instant)>,
    reported: HashSet<(TaskKey, &'static str)>,
    calm: bool,
    report: Report,
    /// Where runs and crashes are written for traces.
    log: Option<File>,
}

impl Ledger {
    /// Creates a ledger that writes runs and crashes to a file.
    #[must_use]
    pub fn with_log(log: File) -> Self {
        Self {
            log: Some(log),
            ..Self::default()
        }
    }

    /// Takes in what is seen until all observers are gone.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Seen>) {
        while let Some(seen) = rx.recv().await {
            self.take(seen);
        }
    }

    /// Takes in one observation.
    pub fn take(&mut self, seen: Seen) {
        self.write(&seen);
        match seen {
            Seen::Submitted { job, spec, tasks } => {
                self.report.counts.jobs += 1;
                self.report.counts.calm_jobs += u64::from(self.calm);
                let calm = self.calm;
                let entry = self.jobs.entry(job).or_default();
                *entry = Job {
                    spec,
                    tasks,
                    calm,
                    ..Job::default()
                };
            }
            Seen::Answered { job, answer } => self.on_answer(job, answer),
            Seen::Finished { job } => self.on_finished(job),
            Seen::Started {
                worker,
                task,
                run,
                spec,
                timing,
                at,
            } => {
                let run = Run {
                    worker,
                    number: run,
                    timing,
                    began: at,
                    ended: None,
                };
                self.on_started(task, run, &spec);
            }
            Seen::Ended {
                worker,
                task,
                run,
                end,
                at,
            } => self.on_ended(worker, task, run, end, at),
            Seen::WorkerEnded {
                worker, cause, at, ..
            } => self.on_worker_ended(worker, cause, at),
            Seen::CapacityChanged { worker, slots, at } => self.capacities.change(worker, at, slots),
            Seen::Overfilled {
                worker,
                task,
                timing,
                at,
            } => {
                let text = format!("{} on {worker:?} at {} {timing:?}", name(task), unix_millis(at));
                self.violate(format!("ordered beyond the capacity of a worker: task {text}"));
            }
            Seen::Leaving { worker, at } => {
                self.leaving.entry(worker).or_insert(at);
            }
            Seen::ConfigurationTaken { version, at } => self.taken.push((version, at)),
            Seen::ConfigurationRead { asked_at, version } => self.on_read(asked_at, version),
            Seen::Violated(text) => self.violate(text),
            Seen::Calm => self.calm = true,
            Seen::Report(reply) => {
                // The asker may be gone.
                let _ = reply.send(self.report.clone());
            }
        }
    }

    /// Returns what has been seen so far.
    #[must_use]
    pub fn report(&self) -> &Report {
        &self.report
    }

    fn write(&mut self, seen: &Seen) {
        let Some(log) = self.log.as_mut() else {
            return;
        };
        let line = match seen {
            Seen::Started {
                worker,
                task,
                run,
                timing,
                at,
                ..
            } => (
                at,
                worker,
                format!("started {}: run {run} {timing:?}", name(*task)),
            ),
            Seen::Ended {
                worker,
                task,
                run,
                end,
                at,
            } => (at, worker, format!("ended {}: run {run} {end:?}", name(*task))),
            Seen::WorkerEnded { worker, note, at, .. } => (at, worker, note.clone()),
            Seen::Overfilled {
                worker,
                task,
                timing,
                at,
            } => (at, worker, format!("no room for {} {timing:?}", name(*task))),
            Seen::Leaving { worker, at } => (at, worker, "leaves, acknowledged".to_owned()),
            _ => return,
        };
        let (at, worker, text) = line;
        // The log serves traces only; without it the checks hold.
        let _ = writeln!(log, "{} {worker:?} {text}", unix_millis(*at));
    }

    fn violate(&mut self, text: String) {
        self.report.violations.push(text);
    }

    fn violate_once(&mut self, task: TaskKey, rule: &'static str) {
        if self.reported.insert((task, rule)) {
            self.violate(format!("{rule}: task {}", name(task)));
        }
    }

    fn on_answer(&mut self, id: JobId, answer: Option<Answer>) {
        let runs = &self.runs;
        let ended = |task: TaskKey, wanted: RunOutcome| {
            let runs = runs.get(&task).into_iter().flatten();
            runs.into_iter()
                .any(|run| run.ended.is_some_and(|(end, _)| end == wanted))
        };
        let crashed = &self.crashed;
        let has_crashed_workers = |task: TaskKey| {
            let runs = runs.get(&task).into_iter().flatten();
            let under = runs.filter(|run| {
                let crash = crashed.get(&run.worker);
                crash.is_some_and(|&crash| run.ended.is_none_or(|(_, at)| at >= crash))
            });
            under.count() >= CRASHES_OF_FAILED_TASK
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let keys = (0..job.tasks).map(|index| TaskKey {
            job: id,
            step: 0,
            index,
        });
        let broken = match answer {
            Some(Answer::Completed) => {
                let first = job.verdict != Verdict::Completed;
                self.report.counts.completed += u64::from(first);
                self.report.counts.calm_completed += u64::from(first && job.calm);
                job.verdict = Verdict::Completed;
                let mut keys = keys;
                (!keys.all(|key| ended(key, RunOutcome::Completed)))
                    .then_some("answered as completed without the work")
            }
            Some(Answer::Failed) => {
                job.leave_open();
                let mut keys = keys;
                (!keys.any(|key| ended(key, RunOutcome::Failed) || has_crashed_workers(key)))
                    .then_some("answered as failed without a failure")
            }
            Some(Answer::Refused) => None,
            Some(Answer::NoRoute) => Some("no route although a configuration is in force"),
            Some(Answer::Unclear) | None => {
                job.leave_open();
                None
            }
        };
        if let Some(rule) = broken {
            self.violate(format!("{rule}: job {id:016x}"));
        }
    }

    fn on_finished(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.finished = true;
        let refused = job.verdict == Verdict::Refused;
        self.report.counts.refused += u64::from(refused);
        if refused && job.started {
            self.violate(format!("refused although it ran: job {id:016x}"));
        }
    }

    fn on_worker_ended(&mut self, worker: WorkerIncarnation, cause: Option<TaskKey>, at: Instant) {
        if !self.leaving.contains_key(&worker) {
            self.crashed.insert(worker, at);
        }
        if let Some(task) = cause {
            let crashes = self.crashes.record(task);
            let counts = &mut self.report.counts;
            counts.crashes += 1;
            counts.most_crashes = counts.most_crashes.max(crashes);
        }
    }

    fn on_started(&mut self, task: TaskKey, run: Run, spec: &Bytes) {
        self.report.counts.starts += 1;
        let leaving = self
            .leaving
            .get(&run.worker)
            .is_some_and(|&since| run.began > since + DRAIN_BOUND);
        if leaving {
            self.violate_once(task, "started on a worker that has been leaving for too long");
        }
        let excess = self.capacities.start(run.worker, run.began);
        if excess > 0 && self.reported.insert((task, BEYOND_CAPACITY)) {
            self.violate(format!(
                "{BEYOND_CAPACITY}: task {}: {} beyond it, {}",
                name(task),
                excess,
                run.describe()
            ));
        }
        if self.crashes.is_start_excessive(task) {
            self.violate_once(task, "started too often after it had crashed its workers");
        }
        self.runs.entry(task).or_default().push(run);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.violate_once(task, "started although nobody submitted it");
            return;
        };
        job.started = true;
        let known = job.spec.as_bytes() == spec.as_ref() && task.step == 0 && task.index < job.tasks;
        let refused = job.finished && job.verdict == Verdict::Refused;
        if !known {
            self.violate_once(task, "started with another input");
        }
        if refused {
            self.violate_once(task, "started after it was refused");
        }
    }

    fn on_ended(
        &mut self,
        worker: WorkerIncarnation,
        task: TaskKey,
        number: RunNumber,
        end: RunOutcome,
        at: Instant,
    ) {
        let runs = self.runs.entry(task).or_default();
        let same = |run: &&mut Run| run.worker == worker && run.number == number && run.ended.is_none();
        let Some(run) = runs.iter_mut().find(same) else {
            return;
        };
        run.ended = Some((end, at));
        self.capacities.end(worker);
        let ended = *run;
        let together = runs.iter().filter(|run| run.overlaps(&ended));
        let together: Vec<String> = together.map(Run::describe).collect();
        let rule = "two runs at the same time";
        if together.len() > 1 && self.reported.insert((task, rule)) {
            self.violate(format!("{rule}: task {}: {}", name(task), together.join("; ")));
        }
    }

    fn on_read(&mut self, asked_at: Instant, version: Option<u64>) {
        let due = self
            .taken
            .iter()
            .filter(|(_, at)| asked_at > *at + CONFIGURATION_BOUND);
        let due = due.map(|(version, _)| *version).max().unwrap_or(0);
        match version {
            None => self.violate("a configuration was read that nobody sent".to_owned()),
            Some(version) if version < due => {
                self.violate(format!(
                    "configuration {version} was read after {due} had been in force"
                ));
            }
            Some(_) => {}
        }
    }
}

fn name(task: TaskKey) -> String {
    let TaskKey { job, step, index } = task;
    format!("{job:016x}.{step}.{index}")
}

/// Returns the milliseconds from the Unix epoch to a past instant.
fn unix_millis(at: Instant) -> u128 {
    let past = SystemTime::now().checked_sub(at.elapsed());
    let since = past.and_then(|past| past.duration_since(UNIX_EPOCH).ok());
    since.unwrap_or_default().as_millis()
}
