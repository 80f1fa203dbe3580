//! Figures of a run and the requirements that they prove violated.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::error::LoadError;

/// Quantiles of a latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

/// Wasted messages by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WastedMessages {
    /// First starts of tasks, if they did not contribute to an answer.
    pub unused_starts: u64,
    /// Second and later starts of the same task.
    pub repeated_starts: u64,
    /// Dispatches that targets refused.
    pub refused_dispatches: u64,
    /// Subset of the unused starts whose job the caller cancelled.
    pub cancelled_starts: u64,
    /// Subset of the unused starts that failed although their payload did not request it.
    pub failed_starts: u64,
}

/// Response ratio of the completed jobs of one size class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SizeClass {
    /// Minimum number of tasks of the class.
    pub from_tasks: u64,
    /// Number of completed jobs.
    pub jobs: u64,
    /// Median response ratio.
    pub ratio_p50: f64,
    /// 99th percentile of the response ratio.
    pub ratio_p99: f64,
}

/// Figures of the jobs planned in one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SecondStats {
    /// Second since the start of the run.
    pub second: u64,
    /// Jobs planned in this second.
    pub jobs: u64,
    /// Subset of these jobs that completed.
    pub completed: u64,
    /// Largest response time of the completed jobs in milliseconds.
    pub worst_ms: f64,
    /// Largest response ratio of the completed jobs.
    pub worst_ratio: f64,
}

/// Requirement that the figures of a run prove violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Requirement of the design, such as `R1`.
    pub requirement: &'static str,
    /// Name of the figure that proves the violation.
    pub figure: &'static str,
    /// Value of the figure.
    pub count: u64,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} = {}", self.requirement, self.figure, self.count)
    }
}

/// Figures of a run, as observed by the caller and the targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Jobs that the caller submitted.
    pub jobs_submitted: u64,
    /// Jobs whose answer reports every task as completed.
    pub jobs_completed: u64,
    /// Jobs whose answer reports a task as failed or possibly run, or whose refusal reports the outcome as unknown.
    pub jobs_failed: u64,
    /// Jobs that a refusal or an answer reports as not run.
    pub jobs_not_run: u64,
    /// Jobs without a readable reply.
    pub jobs_unanswered: u64,
    /// Completed jobs that were answered after their deadline.
    pub jobs_late: u64,
    /// Jobs that the caller cancelled.
    pub jobs_cancelled: u64,
    /// Submissions of jobs that had been submitted before.
    pub resubmissions: u64,
    /// Tasks of all submitted jobs.
    pub tasks_submitted: u64,
    /// Starts in the journals of the targets.
    pub tasks_started: u64,
    /// Second and later starts of tasks that must start at most once.
    pub double_starts: u64,
    /// Answers with a wrong number of tasks, or with an outcome that contradicts the statuses.
    pub partial_answers: u64,
    /// Answers that contain another request's id, task or output.
    pub crossed_answers: u64,
    /// Answers that differ from an earlier answer of the same at-most-once job.
    pub changed_answers: u64,
    /// Tasks that were reported as not run although a target started them.
    pub false_not_run: u64,
    /// Tasks that were reported as completed although no target completed them.
    pub false_completed: u64,
    /// Started tasks whose status no reply reports.
    pub unreported_starts: u64,
    /// Replies that are neither an answer nor a refusal.
    pub unreadable_replies: u64,
    /// Submissions without a reply.
    pub lost_replies: u64,
    /// Starts at targets more than 3 s after they began to leave.
    pub starts_after_leaving: u64,
    /// Entries that full journals dropped; if above 0, the other figures are incomplete.
    pub journal_dropped: u64,
    /// Wasted messages of all kinds.
    pub wasted_messages: u64,
    /// Wasted messages per 1,000 starts.
    pub wasted_per_1000: f64,
    /// Wasted messages by kind.
    pub wasted: WastedMessages,
    /// Median response ratio of completed jobs.
    pub response_ratio_p50: f64,
    /// 90th percentile of the response ratio.
    pub response_ratio_p90: f64,
    /// 99th percentile of the response ratio.
    pub response_ratio_p99: f64,
    /// 99.9th percentile of the response ratio.
    pub response_ratio_p999: f64,
    /// Response time of completed jobs in milliseconds, from the planned submission.
    pub response_ms: Latency,
    /// Ideal response time of the same jobs in milliseconds.
    pub ideal_ms: Latency,
    /// Ideal response time of the same jobs in milliseconds, if all targets had the average speed and no faults.
    #[serde(default)]
    pub average_ideal_ms: Latency,
    /// Tasks of the jobs that completed before their deadline and before the arrivals ended, per second of arrivals.
    pub goodput_tasks_per_s: f64,
    /// Run time at speed 1 of the same jobs, in seconds per second of arrivals.
    pub goodput_work_per_s: f64,
    /// Starts per second between the first and the last start.
    pub starts_per_s: f64,
    /// Largest delay in milliseconds of a first submission after its planned time; a large value indicates that the
    /// caller was overloaded.
    pub send_lag_max_ms: f64,
    /// Number of refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// Examples of reasons for unreadable and lost replies.
    pub examples: Vec<String>,
    /// Response ratio by size class of the jobs.
    #[serde(default)]
    pub sizes: Vec<SizeClass>,
    /// Figures by second.
    pub series: Vec<SecondStats>,
}

impl Report {
    /// Parses a report from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a report.
    ///
    /// # Examples
    ///
    /// ```
    /// let report = chestnutfork_load::Report::default();
    /// let text = serde_json::to_string(&report).unwrap();
    /// assert_eq!(chestnutfork_load::Report::parse(&text)?, report);
    /// # Ok::<(), chestnutfork_load::LoadError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, LoadError> {
        serde_json::from_str(text).map_err(|e| LoadError::InvalidReport {
            reason: e.to_string(),
        })
    }

    /// Returns the requirements that the figures prove violated.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut report = chestnutfork_load::Report::default();
    /// assert!(report.violations().is_empty());
    /// report.double_starts = 1;
    /// assert_eq!(report.violations()[0].requirement, "R1");
    /// ```
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let checks = [
            ("R1", "double_starts", self.double_starts),
            ("R2", "partial_answers", self.partial_answers),
            ("R2", "false_completed", self.false_completed),
            ("R3", "crossed_answers", self.crossed_answers),
            ("R3", "changed_answers", self.changed_answers),
            ("R3", "jobs_unanswered", self.jobs_unanswered),
            ("R3", "unreadable_replies", self.unreadable_replies),
            ("R4", "false_not_run", self.false_not_run),
            ("R4", "unreported_starts", self.unreported_starts),
            ("R6", "starts_after_leaving", self.starts_after_leaving),
            ("journals are complete", "journal_dropped", self.journal_dropped),
        ];
        let violations = checks.into_iter().filter(|&(_, _, count)| count > 0);
        let violations = violations.map(|(requirement, figure, count)| Violation {
            requirement,
            figure,
            count,
        });
        violations.collect()
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (seed {})", self.name, self.seed)?;
        writeln!(
            f,
            "  jobs      {} submitted: {} completed, {} failed, {} not run, {} unanswered; {} late, {} cancelled",
            self.jobs_submitted,
            self.jobs_completed,
            self.jobs_failed,
            self.jobs_not_run,
            self.jobs_unanswered,
            self.jobs_late,
            self.jobs_cancelled
        )?;
        writeln!(
            f,
            "  tasks     {} submitted, {} started, {:.0} starts/s; {} resubmissions",
            self.tasks_submitted, self.tasks_started, self.starts_per_s, self.resubmissions
        )?;
        let response = self.response_ms;
        writeln!(
            f,
            "  response  p50 {:.0} ms, p99 {:.0} ms, p999 {:.0} ms, max {:.0} ms",
            response.p50, response.p99, response.p999, response.max
        )?;
        if self.ideal_ms.max > 0.0 {
            writeln!(
                f,
                "  to ideal  p50 {:.3}, p99 {:.3}, p999 {:.3}",
                self.response_ratio_p50, self.response_ratio_p99, self.response_ratio_p999
            )?;
            let (ideal, average) = (self.ideal_ms, self.average_ideal_ms);
            writeln!(
                f,
                "  quantiles over those of the ideal: p50 {:.3}, p99 {:.3}; of targets of average speed: p50 {:.3}, p99 {:.3}",
                response.p50 / ideal.p50,
                response.p99 / ideal.p99,
                response.p50 / average.p50,
                response.p99 / average.p99
            )?;
            for size in self.sizes.iter().filter(|size| size.jobs > 0) {
                writeln!(
                    f,
                    "    {:>3} jobs of {:>2} tasks or more: p50 {:.3}, p99 {:.3}",
                    size.jobs, size.from_tasks, size.ratio_p50, size.ratio_p99
                )?;
            }
        }
        writeln!(
            f,
            "  goodput   {:.1} tasks/s, {:.2} s of run time per s",
            self.goodput_tasks_per_s, self.goodput_work_per_s
        )?;
        let wasted = self.wasted;
        writeln!(
            f,
            "  wasted    {} messages, {:.2} per 1,000 starts ({} unused, of them {} cancelled, {} failed; {} repeated, {} refused)",
            self.wasted_messages,
            self.wasted_per_1000,
            wasted.unused_starts,
            wasted.cancelled_starts,
            wasted.failed_starts,
            wasted.repeated_starts,
            wasted.refused_dispatches
        )?;
        for (code, count) in &self.refusals {
            writeln!(f, "  refused   {count} x {code}")?;
        }
        for example in &self.examples {
            writeln!(f, "  example   {example}")?;
        }
        let violations = self.violations();
        if violations.is_empty() {
            return write!(f, "  promises  kept");
        }
        write!(f, "  promises  BROKEN")?;
        for violation in violations {
            write!(f, "\n    {violation}")?;
        }
        Ok(())
    }
}
