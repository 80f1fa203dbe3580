//! Figures of a run: waits and objectives of the jobs, and orders that full workers refused.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use chestnutfork_types::{JobId, TaskKey};

/// Time from which refusals of full workers are counted for each job, and compared by second. The time before shows normal operation.
pub const COUNTED_FROM: Duration = Duration::from_secs(2);
/// Wait from which a refusal counts as late: a job is examined every 25 ms.
const LATE_REFUSAL: Duration = Duration::from_millis(30);

/// Attempts of a second below which a part of them means nothing: one refusal would be more than 5%.
const MIN_ORDERS: u32 = 20;

/// Events of one second of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    /// Attempts that reached an agent.
    pub orders: u32,
    /// Attempts that a full worker refused.
    pub refused: u32,
    /// Submissions, including repeated ones.
    pub submitted: u32,
    /// Submissions of this second that completed within their objective.
    pub in_time: u32,
    /// Jobs refused on arrival.
    pub refused_at_once: u32,
    /// Jobs refused after a wait.
    pub refused_late: u32,
    /// Submissions that reached no entry, or were lost with their entry.
    pub lost: u32,
}

/// Figures that are collected during a run.
#[derive(Debug, Default)]
pub struct Measures {
    pub seconds: Vec<Second>,
    pub starts: u32,
    pub started: HashMap<JobId, Instant>,
    pub completed: HashMap<JobId, Instant>,
    /// Attempts of each task that full workers refused from the counted time on.
    refusals: HashMap<TaskKey, u32>,
    /// Longest wait after which a job was refused.
    longest_refused_wait: Duration,
}

impl Measures {
    pub fn second(&mut self, at: Duration) -> &mut Second {
        let index = usize::try_from(at.as_secs()).expect("runs are short");
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    pub fn record_full(&mut self, at: Duration, task: TaskKey) {
        self.second(at).refused += 1;
        if at >= COUNTED_FROM {
            *self.refusals.entry(task).or_default() += 1;
        }
    }

    pub fn record_refusal(&mut self, at: Duration, waited: Duration) {
        let second = self.second(at);
        if waited > LATE_REFUSAL {
            second.refused_late += 1;
        } else {
            second.refused_at_once += 1;
        }
        self.longest_refused_wait = self.longest_refused_wait.max(waited);
    }

    /// Returns the largest number of attempts that full workers refused, for a task and for a job.
    pub fn most_refusals(&self) -> (u32, u32) {
        let mut by_job: HashMap<JobId, u32> = HashMap::new();
        for (task, refusals) in &self.refusals {
            *by_job.entry(task.job).or_default() += refusals;
        }
        let most = |counts: Option<&u32>| counts.copied().unwrap_or(0);
        (most(self.refusals.values().max()), most(by_job.values().max()))
    }
}

/// Waits for the first start of a job, sorted, and figures of the whole run.
#[derive(Debug)]
pub struct Outcome {
    pub waits: Vec<Duration>,
    /// Share of jobs that ended after their objective or not at all.
    pub late: f64,
    pub orders_per_start: f64,
    pub measures: Measures,
}

impl Outcome {
    pub fn quantile(&self, of_hundred: usize) -> Duration {
        self.waits[(self.waits.len() - 1) * of_hundred / 100]
    }

    /// Returns the second from the counted time on with the largest part of refused attempts, and that part.
    pub fn worst_second(&self) -> (usize, f64) {
        let first = usize::try_from(COUNTED_FROM.as_secs()).expect("runs are short");
        let parts = self.measures.seconds.iter().enumerate().skip(first);
        // The last second has a few jobs that were drawn after the end.
        let parts = parts.filter(|(_, second)| second.orders >= MIN_ORDERS);
        let parts =
            parts.map(|(at, second)| (at, f64::from(second.refused) / f64::from(second.orders.max(1))));
        parts
            .max_by(|a, b| a.1.total_cmp(&b.1))
            .expect("a run has seconds")
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [p50, p95, p99] = [50, 95, 99].map(|of_hundred| self.quantile(of_hundred));
        let Self {
            late,
            orders_per_start,
            ..
        } = self;
        write!(
            f,
            "first start p50 {p50:?}, p95 {p95:?}, p99 {p99:?}; {late:.4} late, {orders_per_start:.2} orders per start"
        )
    }
}

/// Figures of a run by second.
#[derive(Debug)]
pub struct BySecond<'a>(pub &'a Outcome);

impl fmt::Display for BySecond<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let measures = &self.0.measures;
        let (of_task, of_job) = measures.most_refusals();
        writeln!(
            f,
            "{}; most refused attempts {of_task} of a task, {of_job} of a job; longest wait of a refused job {:?}",
            self.0, measures.longest_refused_wait
        )?;
        for (at, second) in measures.seconds.iter().enumerate() {
            let Second {
                orders,
                refused,
                submitted,
                in_time,
                refused_at_once,
                refused_late,
                lost,
            } = second;
            let part = 100.0 * f64::from(*refused) / f64::from((*orders).max(1));
            writeln!(
                f,
                "second {at}: {refused} of {orders} attempts refused by full workers ({part:.1}%); {in_time} of {submitted} \
                 jobs in time, {refused_at_once} refused at once, {refused_late} refused late, {lost} lost"
            )?;
        }
        Ok(())
    }
}
