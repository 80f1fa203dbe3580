//! Admission control of jobs by their expected wait.

use std::time::{Duration, Instant};

use chestnutfork_types::{Refusal, RefusalCode, ServicePolicy};

use crate::drain::DrainRate;
use crate::violation::Violation;

/// Minimum weight of one observation in the learned mean, which then follows a change within about a hundred tasks.
const MIN_MEAN_WEIGHT: f64 = 0.02;
/// Lower bound of the mean run time in seconds, which makes the rate finite.
const MIN_RUN_TIME: f64 = 1e-6;
/// Mean run time in seconds before the first observation; most tasks take 50 ms to 1 s.
const INITIAL_RUN_TIME: f64 = 0.3;
/// Time constant of the exponential decay of the arrival rate.
const ARRIVAL_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Upper bound on the load in the expected wait, because the queue grows without bound at higher loads.
const MAX_LOAD: f64 = 0.95;
/// Margin after the expected wait in which the last tasks of the job finish, in mean run times.
const FINISH_MARGIN_RUN_TIMES: f64 = 6.0;
/// Upper bound on the margin as a fraction of the deadline, so that jobs with short deadlines can still queue.
const MAX_MARGIN_FRACTION: f64 = 0.4;
/// Minimum retry delay in a refusal, so that refused callers do not retry immediately.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Maximum retry delay in a refusal, because the estimate is meaningless further ahead.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Job to be admitted, and state of its service at the entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Number of tasks in the job.
    pub tasks: usize,
    /// Longest run time that the job declares for a task.
    pub declared: Option<Duration>,
    /// Time left until the deadline of the job.
    pub deadline: Duration,
    /// Queued tasks of the service at this entry.
    pub queued: usize,
    /// Queued tasks of the job's team, included in `queued`.
    pub team_queued: usize,
    /// Teams with queued tasks; the job's team does not count if it has none.
    pub active_teams: usize,
    /// Tasks that the team may have in flight from this entry.
    pub team_allowance: u32,
    /// Slots of the pool; the share that this entry gets is estimated from the starts reported to `on_start`.
    pub slots: u32,
    /// Speed of the fastest target relative to the average; 1.0 if unknown.
    pub fastest_speed: f64,
}

/// Admission control of one service, by the learned mean run time of its tasks.
///
/// The estimate depends on the current queue only. An overload leaves no state behind, so jobs are admitted again as
/// soon as the queue has drained.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Learned mean run time in seconds.
    mean_secs: f64,
    /// Tasks accepted per second, with exponential decay.
    arrival_rate: f64,
    /// Time up to which `arrival_rate` has decayed.
    arrival_rate_at: Option<Instant>,
    drain: DrainRate,
    /// Number of observations, saturating; above `1 / MIN_MEAN_WEIGHT` it does not affect the weight of the next.
    observations: u32,
}

impl Default for Admission {
    fn default() -> Self {
        Self::new()
    }
}

impl Admission {
    /// Creates the state of a service without observations.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::Admission;
    ///
    /// assert_eq!(Admission::new().verify(), Ok(()));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            mean_secs: INITIAL_RUN_TIME,
            arrival_rate: 0.0,
            arrival_rate_at: None,
            drain: DrainRate::default(),
            observations: 0,
        }
    }

    /// Records for how long a task occupied its slot, regardless of its result.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use chestnutfork_limits::Admission;
    ///
    /// let mut admission = Admission::new();
    /// admission.on_end(Duration::from_millis(100));
    /// assert_eq!(admission.mean_run_time(), Duration::from_millis(100));
    /// ```
    pub fn on_end(&mut self, run_time: Duration) {
        self.observations = self.observations.saturating_add(1);
        // The first observations have equal weight, later ones a fixed weight.
        let weight = (1.0 / f64::from(self.observations)).max(MIN_MEAN_WEIGHT);
        self.mean_secs += weight * (run_time.as_secs_f64() - self.mean_secs);
        debug_assert_eq!(self.verify(), Ok(()));
    }

    /// Records that a job of `tasks` tasks was accepted.
    ///
    /// Later jobs of other teams take turns with the queued tasks, so the wait depends on the arrival rate.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut admission = chestnutfork_limits::Admission::new();
    /// admission.on_accept(Instant::now(), 200);
    /// assert_eq!(admission.verify(), Ok(()));
    /// ```
    pub fn on_accept(&mut self, now: Instant, tasks: usize) {
        self.arrival_rate =
            self.decayed_arrival_rate(now) + task_count(tasks) / ARRIVAL_TIME_CONSTANT.as_secs_f64();
        self.arrival_rate_at = Some(now);
    }

    /// Records the start of a task, and whether tasks other than deferred ones are still queued after it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut admission = chestnutfork_limits::Admission::new();
    /// admission.on_start(Instant::now(), true);
    /// assert_eq!(admission.verify(), Ok(()));
    /// ```
    pub fn on_start(&mut self, now: Instant, backlog: bool) {
        self.drain.on_start(now, backlog);
    }

    /// Returns the learned mean run time.
    #[must_use]
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs)
    }

    /// Decides whether a job may enter the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal, before anything has run: `BadJob`, `CanNeverRun`, `QuotaExceeded`, `QueueFull` or
    /// `DeadlineUnmeetable`. It has a retry delay unless no retry can succeed.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_limits::{Admission, AdmissionRequest};
    /// use chestnutfork_types::{RefusalCode, ServicePolicy};
    ///
    /// let policy = ServicePolicy::builder("main").max_queue(100).build();
    /// let req = AdmissionRequest {
    ///     tasks: 1,
    ///     declared: None,
    ///     deadline: Duration::from_secs(10),
    ///     queued: 100,
    ///     team_queued: 100,
    ///     active_teams: 1,
    ///     team_allowance: 8,
    ///     slots: 8,
    ///     fastest_speed: 1.0,
    /// };
    /// let refusal = Admission::new().check(Instant::now(), &req, &policy).unwrap_err();
    /// assert_eq!(refusal.code, RefusalCode::QueueFull);
    /// ```
    pub fn check(&self, now: Instant, req: &AdmissionRequest, policy: &ServicePolicy) -> Result<(), Refusal> {
        check_job(req, policy)?;
        check_runnable(req)?;
        self.check_capacity(now, req, policy)?;
        self.check_quota(req)?;
        self.check_deadline(now, req)
    }

    /// Returns the expected time until the last task of the job starts.
    ///
    /// Teams take turns, so a job waits for the tasks of its own team and as many of each other team, but at most for
    /// the whole queue.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_limits::{Admission, AdmissionRequest};
    ///
    /// let mut admission = Admission::new();
    /// admission.on_end(Duration::from_millis(100));
    /// let req = AdmissionRequest {
    ///     tasks: 1,
    ///     declared: None,
    ///     deadline: Duration::from_secs(10),
    ///     queued: 80,
    ///     team_queued: 80,
    ///     active_teams: 1,
    ///     team_allowance: 8,
    ///     slots: 8,
    ///     fastest_speed: 1.0,
    /// };
    /// assert_eq!(admission.expected_wait(Instant::now(), &req), Duration::from_secs(1));
    /// ```
    #[must_use]
    pub fn expected_wait(&self, now: Instant, req: &AdmissionRequest) -> Duration {
        let team_tasks = req.team_queued + req.tasks;
        let teams = req.active_teams.max(1);
        let rate = self.rate(now, req.slots);
        let round_robin_wait = time_to_start(team_tasks * teams - 1, rate);
        let queue_wait = time_to_start(req.queued + req.tasks - 1, rate);
        let load = self.decayed_arrival_rate(now) / rate;
        // Later arrivals take the `load` fraction of the starts, so the queued tasks get the rest of them.
        let remaining_fraction = 1.0 - load.clamp(0.0, MAX_LOAD);
        round_robin_wait.min(queue_wait.div_f64(remaining_fraction))
    }

    /// Checks that the learned run time is usable.
    ///
    /// # Errors
    ///
    /// Returns a violation if it is not a non-negative finite number.
    pub fn verify(&self) -> Result<(), Violation> {
        if self.mean_secs.is_finite() && self.mean_secs >= 0.0 {
            Ok(())
        } else {
            Err(Violation::RunTime)
        }
    }

    /// Returns the expected starts per second of this entry on `slots` slots.
    fn rate(&self, now: Instant, slots: u32) -> f64 {
        self.drain.rate(now, self.exclusive_rate(slots))
    }

    /// Returns the starts per second on `slots` slots that no other entry uses.
    fn exclusive_rate(&self, slots: u32) -> f64 {
        f64::from(slots.max(1)) / self.mean_secs.max(MIN_RUN_TIME)
    }

    /// Returns the arrival rate, decayed until `now`.
    fn decayed_arrival_rate(&self, now: Instant) -> f64 {
        let age = self
            .arrival_rate_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.arrival_rate * (-age.as_secs_f64() / ARRIVAL_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn check_capacity(
        &self,
        now: Instant,
        req: &AdmissionRequest,
        policy: &ServicePolicy,
    ) -> Result<(), Refusal> {
        let max = usize::try_from(policy.max_queue).unwrap_or(usize::MAX);
        let excess = (req.queued + req.tasks).saturating_sub(max);
        if excess == 0 {
            return Ok(());
        }
        let message = format!(
            "{} tasks are queued, the limit is {max}; send fewer tasks or raise `max_queue`",
            req.queued
        );
        let delay = time_to_start(excess, self.rate(now, req.slots));
        Err(Refusal::not_run(RefusalCode::QueueFull, message).retry_after(clamp_retry_after(delay)))
    }

    fn check_quota(&self, req: &AdmissionRequest) -> Result<(), Refusal> {
        let team_tasks = req.team_queued + req.tasks;
        let wait = time_to_start(team_tasks - 1, self.exclusive_rate(req.team_allowance));
        if req.team_allowance > 0 && wait <= req.deadline {
            return Ok(());
        }
        let message = format!(
            "the team may have {} tasks in flight at this entry and {team_tasks} would be queued; \
             send fewer tasks or raise its quota",
            req.team_allowance,
        );
        let delay = clamp_retry_after(wait.saturating_sub(req.deadline));
        Err(Refusal::not_run(RefusalCode::QuotaExceeded, message).retry_after(delay))
    }

    fn check_deadline(&self, now: Instant, req: &AdmissionRequest) -> Result<(), Refusal> {
        let wait = self.expected_wait(now, req);
        let margin = Duration::from_secs_f64(self.mean_secs * FINISH_MARGIN_RUN_TIMES)
            .min(req.deadline.mul_f64(MAX_MARGIN_FRACTION));
        if req.queued == 0 || wait + margin <= req.deadline {
            return Ok(());
        }
        let message = format!(
            "the expected wait is {} ms and the deadline is in {} ms; extend the deadline or retry later",
            wait.as_millis(),
            req.deadline.as_millis(),
        );
        let delay = clamp_retry_after(wait.saturating_sub(req.deadline));
        Err(Refusal::not_run(RefusalCode::DeadlineUnmeetable, message).retry_after(delay))
    }
}

fn check_job(req: &AdmissionRequest, policy: &ServicePolicy) -> Result<(), Refusal> {
    let max = usize::from(policy.max_tasks).min(usize::try_from(policy.max_queue).unwrap_or(usize::MAX));
    if req.tasks == 0 {
        return Err(Refusal::not_run(
            RefusalCode::BadJob,
            "the job has no tasks; add at least one",
        ));
    }
    if req.tasks > max {
        let message = format!(
            "the job has {} tasks, the limit is {max}; split the job",
            req.tasks
        );
        return Err(Refusal::not_run(RefusalCode::BadJob, message));
    }
    if req.deadline > policy.max_deadline {
        let max_ms = policy.max_deadline.as_millis();
        let message = format!("the deadline exceeds `max_deadline` of {max_ms} ms; shorten it");
        return Err(Refusal::not_run(RefusalCode::BadJob, message));
    }
    if req.deadline.is_zero() {
        let message = "the deadline has passed; submit the job with a later deadline";
        return Err(Refusal::not_run(RefusalCode::DeadlineUnmeetable, message));
    }
    Ok(())
}

fn check_runnable(req: &AdmissionRequest) -> Result<(), Refusal> {
    if req.slots == 0 {
        let message = "no target of the service is known; start targets of its pool";
        return Err(Refusal::not_run(RefusalCode::CanNeverRun, message).retry_after(MAX_RETRY_AFTER));
    }
    let Some(declared) = req.declared else {
        return Ok(());
    };
    let shortest = declared.as_secs_f64() / req.fastest_speed.max(1.0);
    if shortest <= req.deadline.as_secs_f64() {
        return Ok(());
    }
    let message = format!(
        "a task declares a run time of {} ms and the deadline is in {} ms; \
         extend the deadline or correct the declaration",
        declared.as_millis(),
        req.deadline.as_millis(),
    );
    Err(Refusal::not_run(RefusalCode::CanNeverRun, message))
}

/// Returns the time in which `tasks` tasks start, at `rate` starts per second.
fn time_to_start(tasks: usize, rate: f64) -> Duration {
    Duration::try_from_secs_f64(task_count(tasks) / rate).unwrap_or(Duration::MAX)
}

fn task_count(tasks: usize) -> f64 {
    f64::from(u32::try_from(tasks).unwrap_or(u32::MAX))
}

fn clamp_retry_after(delay: Duration) -> Duration {
    delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
