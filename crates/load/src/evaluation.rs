//! Evaluation of a run: compares the answers with the journals and the ideal schedule.

use std::collections::HashSet;
use std::time::Duration;

use chestnutfork_standin::Journal;

use crate::check::Verdict;
use crate::ideal::{IdealJob, average_targets, ideal_response_times};
use crate::journals::JournalSummary;
use crate::number::{count_to_f64, from_millis, len_to_f64, to_millis};
use crate::plan::PlannedJob;
use crate::quantiles::Quantiles;
use crate::report::{Report, SecondStats, SizeClass};
use crate::run::{JobRun, ReplyContent};
use crate::scenario::Scenario;
use crate::wire::{Execution, Status};

/// Histogram steps per unit of the response ratio.
const RATIO_SCALE: f64 = 10_000.0;
/// Histogram steps per millisecond of the response time.
const LATENCY_SCALE: f64 = 1_000.0;
/// Minimum numbers of tasks of the size classes of jobs.
const SIZE_CLASSES: [u64; 4] = [1, 2, 10, 50];
/// Maximum number of examples of unreadable and lost replies in a report.
const MAX_EXAMPLES: usize = 5;

/// Inputs to the evaluation of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evaluation<'a> {
    /// Scenario of the run.
    pub scenario: &'a Scenario,
    /// Plan of the run.
    pub jobs: &'a [PlannedJob],
    /// Submissions and replies of every job.
    pub runs: &'a [JobRun],
    /// Journals before the run.
    pub before: &'a [Journal],
    /// Journals after the run.
    pub after: &'a [Journal],
}

/// Outcome of a job according to the replies that the caller received.
#[derive(Clone, Copy, Debug)]
enum ObservedOutcome<'a> {
    /// First answer, and the time from the planned submission to it.
    Answer(&'a Verdict, Duration),
    /// The last reply is a refusal which states that no task ran.
    NotRun,
    /// The last reply is a refusal which states that tasks may have run.
    Unknown,
    /// The last reply is unreadable or missing.
    NoReply,
}

impl Evaluation<'_> {
    /// Returns the figures of the run.
    pub fn report(&self) -> Report {
        let ids: HashSet<_> = self.runs.iter().map(|run| run.id).collect();
        let journals = JournalSummary::new(self.after, |job| ids.contains(job));
        let mut report = Report {
            name: self.scenario.name.clone(),
            seed: self.scenario.seed,
            jobs_submitted: self.jobs.len() as u64,
            // A job has no run if its Tokio task in the caller panicked.
            jobs_unanswered: (self.jobs.len() - self.runs.len()) as u64,
            tasks_started: journals.starts,
            starts_after_leaving: journals.starts_after_leaving,
            journal_dropped: journals.dropped_entries,
            starts_per_s: starts_per_s(&journals),
            ..Report::default()
        };
        report.wasted.refused_dispatches = journals.refused_dispatches;
        for run in self.runs {
            self.count_replies(run, &mut report);
            self.count_job(run, &journals, &mut report);
        }
        let wasted = report.wasted;
        report.wasted_messages = wasted.unused_starts + wasted.repeated_starts + wasted.refused_dispatches;
        report.wasted_per_1000 =
            1_000.0 * count_to_f64(report.wasted_messages) / count_to_f64(journals.starts.max(1));
        self.add_performance(&journals, &mut report);
        report
    }

    fn count_replies(&self, run: &JobRun, report: &mut Report) {
        report.resubmissions += run.submissions.len().saturating_sub(1) as u64;
        report.jobs_cancelled += u64::from(run.cancelled);
        let at_most_once = self.scenario.at_most_once || self.jobs[run.index].non_idempotent;
        let mut first = None;
        for reply in &run.submissions {
            match &reply.content {
                ReplyContent::Answer(verdict) => {
                    report.partial_answers += u64::from(verdict.partial);
                    report.crossed_answers += u64::from(verdict.crossed);
                    let changed = *first.get_or_insert(verdict.digest) != verdict.digest;
                    report.changed_answers += u64::from(changed && at_most_once);
                }
                ReplyContent::Refusal { code, .. } => {
                    *report.refusals.entry(code.clone()).or_default() += 1;
                }
                ReplyContent::Unreadable(reason) => {
                    report.unreadable_replies += 1;
                    add_example(report, reason);
                }
                ReplyContent::Lost(reason) => {
                    report.lost_replies += 1;
                    add_example(report, reason);
                }
            }
        }
    }

    fn count_job(&self, run: &JobRun, journals: &JournalSummary, report: &mut Report) {
        let job = &self.jobs[run.index];
        report.tasks_submitted += job.tasks.len() as u64;
        let outcome = observed_outcome(run);
        match outcome {
            ObservedOutcome::Answer(verdict, _) if verdict.completed() => report.jobs_completed += 1,
            ObservedOutcome::Answer(verdict, _) if verdict.not_run() => report.jobs_not_run += 1,
            ObservedOutcome::Answer(..) | ObservedOutcome::Unknown => report.jobs_failed += 1,
            ObservedOutcome::NotRun => report.jobs_not_run += 1,
            ObservedOutcome::NoReply => report.jobs_unanswered += 1,
        }
        let at_most_once = self.scenario.at_most_once || job.non_idempotent;
        for index in 0..job.tasks.len() {
            let record = journals.task(run.id, index);
            let repeated = record.starts.saturating_sub(1);
            report.wasted.repeated_starts += repeated;
            if at_most_once {
                report.double_starts += repeated;
            }
            let started = u64::from(record.starts > 0);
            let status = match outcome {
                ObservedOutcome::Answer(verdict, _) => verdict.statuses.get(index).copied(),
                ObservedOutcome::NotRun => Some(Status::NotRun),
                ObservedOutcome::Unknown => Some(Status::MayHaveRun),
                ObservedOutcome::NoReply => None,
            };
            match status {
                Some(Status::Completed) => report.false_completed += u64::from(!record.completed),
                Some(Status::NotRun) => report.false_not_run += started,
                Some(Status::Failed | Status::MayHaveRun) => {}
                None => report.unreported_starts += started,
            }
            let failed = status == Some(Status::Failed) && !job.tasks[index].fails;
            if failed || !matches!(status, Some(Status::Completed | Status::Failed)) {
                report.wasted.unused_starts += started;
                report.wasted.failed_starts += started * u64::from(failed);
                report.wasted.cancelled_starts += started * u64::from(run.cancelled);
            }
        }
    }

    /// Adds the response times, response ratios and goodput.
    fn add_performance(&self, journals: &JournalSummary, report: &mut Report) {
        let jobs = self.ideal_jobs(journals);
        let ideal = ideal_response_times(self.before, &self.scenario.faults, &jobs);
        let average = ideal_response_times(&average_targets(self.before), &[], &jobs);
        let mut response_ms = Quantiles::new(LATENCY_SCALE);
        let mut ideal_ms = Quantiles::new(LATENCY_SCALE);
        let mut average_ms = Quantiles::new(LATENCY_SCALE);
        let mut ratios = Quantiles::new(RATIO_SCALE);
        let mut sizes = SIZE_CLASSES.map(|from| (from, 0, Quantiles::new(RATIO_SCALE)));
        let mut goodput_tasks = 0.0;
        let mut goodput_work = 0.0;
        for ((run, ideal), average) in self.runs.iter().zip(ideal).zip(average) {
            let job = &self.jobs[run.index];
            report.send_lag_max_ms = report.send_lag_max_ms.max(to_millis(run.send_lag));
            let second = second_stats(report, job.at);
            second.jobs += 1;
            let ObservedOutcome::Answer(verdict, after) = observed_outcome(run) else {
                continue;
            };
            if !verdict.completed() {
                continue;
            }
            second.completed += 1;
            second.worst_ms = second.worst_ms.max(to_millis(after));
            response_ms.record(to_millis(after));
            if let Some(average) = average {
                average_ms.record(to_millis(average));
            }
            if let Some(ideal) = ideal.filter(|ideal| !ideal.is_zero()) {
                let ratio = after.as_secs_f64() / ideal.as_secs_f64();
                second.worst_ratio = second.worst_ratio.max(ratio);
                ideal_ms.record(to_millis(ideal));
                ratios.record(ratio);
                let tasks = job.tasks.len() as u64;
                if let Some((_, jobs, ratios)) = sizes.iter_mut().rfind(|(from, ..)| *from <= tasks) {
                    *jobs += 1;
                    ratios.record(ratio);
                }
            }
            if after > Duration::from_millis(self.scenario.deadline_ms) {
                report.jobs_late += 1;
                continue;
            }
            if job.at + after > self.scenario.duration() {
                continue;
            }
            goodput_tasks += len_to_f64(job.tasks.len());
            goodput_work += job.tasks.iter().map(|task| task.run_ms / 1_000.0).sum::<f64>();
        }
        let span = self.scenario.duration().as_secs_f64();
        report.goodput_tasks_per_s = goodput_tasks / span;
        report.goodput_work_per_s = goodput_work / span;
        report.response_ms = response_ms.latency();
        report.ideal_ms = ideal_ms.latency();
        report.average_ideal_ms = average_ms.latency();
        let classes = sizes.iter().map(|&(from_tasks, jobs, ref ratios)| SizeClass {
            from_tasks,
            jobs,
            ratio_p50: ratios.at(0.5),
            ratio_p99: ratios.at(0.99),
        });
        report.sizes = classes.collect();
        report.response_ratio_p50 = ratios.at(0.5);
        report.response_ratio_p90 = ratios.at(0.9);
        report.response_ratio_p99 = ratios.at(0.99);
        report.response_ratio_p999 = ratios.at(0.999);
    }

    /// Returns the input of the ideal schedules: the tasks of each job that started.
    fn ideal_jobs(&self, journals: &JournalSummary) -> Vec<IdealJob> {
        let jobs = self.runs.iter().map(|run| {
            let job = &self.jobs[run.index];
            let tasks = job.tasks.iter().enumerate();
            let started = tasks.filter(|&(index, _)| journals.task(run.id, index).starts > 0);
            let run_times = started.map(|(_, task)| from_millis(task.run_ms)).collect();
            IdealJob {
                at: job.at,
                run_times,
            }
        });
        jobs.collect()
    }
}

fn observed_outcome(run: &JobRun) -> ObservedOutcome<'_> {
    for reply in &run.submissions {
        if let ReplyContent::Answer(verdict) = &reply.content {
            return ObservedOutcome::Answer(verdict, reply.after);
        }
    }
    match run.submissions.last().map(|reply| &reply.content) {
        Some(ReplyContent::Refusal { execution, .. }) => match execution {
            Execution::NotRun => ObservedOutcome::NotRun,
            Execution::Unknown => ObservedOutcome::Unknown,
        },
        _ => ObservedOutcome::NoReply,
    }
}

fn second_stats(report: &mut Report, at: Duration) -> &mut SecondStats {
    let second = at.as_secs();
    if report.series.last().is_none_or(|last| last.second != second) {
        report.series.push(SecondStats {
            second,
            ..SecondStats::default()
        });
    }
    let last = report.series.len() - 1;
    &mut report.series[last]
}

fn starts_per_s(journals: &JournalSummary) -> f64 {
    let first = journals.start_times_us.iter().min();
    let last = journals.start_times_us.iter().max();
    let (Some(first), Some(last)) = (first, last) else {
        return 0.0;
    };
    let span = Duration::from_micros(last - first).as_secs_f64();
    if span > 0.0 {
        count_to_f64(journals.starts) / span
    } else {
        0.0
    }
}

fn add_example(report: &mut Report, reason: &str) {
    let is_known = report.examples.iter().any(|example| example == reason);
    if !is_known && report.examples.len() < MAX_EXAMPLES {
        report.examples.push(reason.to_owned());
    }
}
