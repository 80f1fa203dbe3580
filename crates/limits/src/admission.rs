//! Admission of jobs by their expected wait.

use std::time::{Duration, Instant};

use chestnutfork_types::{Refusal, RefusalCode, ServicePolicy};

use crate::drain::DrainRate;
use crate::violation::Violation;

/// Weight of one observation in the learned mean; recent drift shows within about a hundred tasks.
const MEAN_WEIGHT: f64 = 0.02;
/// Shortest mean run time that counts, in seconds; it keeps the rate finite.
const MIN_RUN_TIME: f64 = 1e-6;
/// Run time assumed before the first observation, in seconds; most tasks take 50 ms to 1 s.
const INITIAL_RUN_TIME: f64 = 0.3;
/// Time over which the rate of arrivals is taken.
const ARRIVAL_MEMORY: Duration = Duration::from_secs(2);
/// Largest load that the expected wait counts with; beyond it the queue grows without bound.
const MAX_LOAD: f64 = 0.95;
/// Mean run times that must be left after the expected wait for the last tasks of the job to finish.
const FINISH_MARGIN: f64 = 6.0;
/// Largest part of the deadline that the margin takes, so that jobs with short deadlines can still queue.
const MAX_MARGIN: f64 = 0.4;
/// Shortest delay that a refusal asks for, so that refused callers do not return at once.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Longest delay that a refusal asks for, because the estimate is worthless further ahead.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What admission needs to know about a job and the state of its service at the entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Number of tasks in the job.
    pub tasks: usize,
    /// Longest run time that the job declares for a task.
    pub declared: Option<Duration>,
    /// Time left until the deadline of the job.
    pub deadline: Duration,
    /// Tasks of the service that wait at this entry.
    pub queued: usize,
    /// Tasks of the job's team among those that wait.
    pub team_queued: usize,
    /// Teams with waiting tasks, without the job's team if it has none.
    pub active_teams: usize,
    /// Tasks that the team may have in flight from this entry.
    pub team_allowance: u32,
    /// Slots of the pool; the share that this entry can use is measured with `on_start`.
    pub slots: u32,
    /// Speed of the fastest target relative to the average; 1.0 if unknown.
    pub fastest_speed: f64,
}

/// Admission state of one service: the learned mean run time of its tasks.
///
/// The estimate depends on the present queue only. It keeps no memory of an overload, so it admits again as soon as the
/// queue has drained.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    mean: f64,
    /// Tasks admitted per second of late.
    arrivals: f64,
    /// Time up to which `arrivals` has decayed.
    arrivals_at: Option<Instant>,
    drain: DrainRate,
    /// Observations so far, counted up to where they no longer change the weight of the next.
    observed: u32,
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
            mean: INITIAL_RUN_TIME,
            arrivals: 0.0,
            arrivals_at: None,
            drain: DrainRate::default(),
            observed: 0,
        }
    }

    /// Records how long a task occupied its slot, however it ended.
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
        self.observed = self.observed.saturating_add(1);
        // The first observations count equally, later ones with a fixed weight.
        let weight = (1.0 / f64::from(self.observed)).max(MEAN_WEIGHT);
        self.mean += weight * (run_time.as_secs_f64() - self.mean);
        debug_assert_eq!(self.verify(), Ok(()));
    }

    /// Records that a job of `tasks` tasks was accepted.
    ///
    /// Later jobs of other teams take turns with the tasks that wait, so the wait depends on the rate of arrivals.
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
        self.arrivals = self.arrivals_by(now) + count(tasks) / ARRIVAL_MEMORY.as_secs_f64();
        self.arrivals_at = Some(now);
    }

    /// Records the start of a task, and whether tasks other than held ones still wait after it.
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
    pub fn on_start(&mut self, now: Instant, waiting: bool) {
        self.drain.on_start(now, waiting);
    }

    /// Returns the learned mean run time.
    #[must_use]
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Decides whether a job may enter the queue.
    ///
    /// # Errors
    ///
    /// Returns a refusal of which nothing ran: `BadJob`, `CanNeverRun`, `QuotaExceeded`, `QueueFull` or
    /// `DeadlineUnmeetable`, with the time after which another attempt makes sense unless none ever does.
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
        check_shape(req, policy)?;
        check_runnable(req)?;
        self.check_room(now, req, policy)?;
        self.check_quota(req)?;
        self.check_deadline(now, req)
    }

    /// Returns the expected time until the last task of the job starts.
    ///
    /// Teams take turns, so a job waits for its own team's tasks and as many of each other team, but never for more
    /// than the queue holds.
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
        let own = req.team_queued + req.tasks;
        let teams = req.active_teams.max(1);
        let rate = self.rate(now, req.slots);
        let in_turn = time_for(own * teams - 1, rate);
        let queue = time_for(req.queued + req.tasks - 1, rate);
        let load = self.arrivals_by(now) / rate;
        let growth = 1.0 - load.clamp(0.0, MAX_LOAD);
        in_turn.min(queue.div_f64(growth))
    }

    /// Checks that the learned run time is usable.
    ///
    /// # Errors
    ///
    /// Returns a violation if it is not a non-negative finite number.
    pub fn verify(&self) -> Result<(), Violation> {
        if self.mean.is_finite() && self.mean >= 0.0 {
            Ok(())
        } else {
            Err(Violation::RunTime)
        }
    }

    /// Returns the starts per second that this entry can expect of `slots` slots.
    fn rate(&self, now: Instant, slots: u32) -> f64 {
        self.drain.rate(now, self.rate_of(slots))
    }

    /// Returns the starts per second of `slots` slots that nobody else uses.
    fn rate_of(&self, slots: u32) -> f64 {
        f64::from(slots.max(1)) / self.mean.max(MIN_RUN_TIME)
    }

    /// Returns the rate of accepted tasks, decayed until `now`.
    fn arrivals_by(&self, now: Instant) -> f64 {
        let age = self
            .arrivals_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.arrivals * (-age.as_secs_f64() / ARRIVAL_MEMORY.as_secs_f64()).exp()
    }

    fn check_room(
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
            "{} tasks wait, at most {max} may; send less or raise `max_queue`",
            req.queued
        );
        let delay = time_for(excess, self.rate(now, req.slots));
        Err(Refusal::not_run(RefusalCode::QueueFull, message).retry_after(bounded(delay)))
    }

    fn check_quota(&self, req: &AdmissionRequest) -> Result<(), Refusal> {
        let own = req.team_queued + req.tasks;
        let wait = time_for(own - 1, self.rate_of(req.team_allowance));
        if req.team_allowance > 0 && wait <= req.deadline {
            return Ok(());
        }
        let message = format!(
            "the team may have {} tasks in flight here and {own} would wait; send less or raise its quota",
            req.team_allowance,
        );
        let delay = bounded(wait.saturating_sub(req.deadline));
        Err(Refusal::not_run(RefusalCode::QuotaExceeded, message).retry_after(delay))
    }

    fn check_deadline(&self, now: Instant, req: &AdmissionRequest) -> Result<(), Refusal> {
        let wait = self.expected_wait(now, req);
        let run = Duration::from_secs_f64(self.mean * FINISH_MARGIN).min(req.deadline.mul_f64(MAX_MARGIN));
        if req.queued == 0 || wait + run <= req.deadline {
            return Ok(());
        }
        let message = format!(
            "the job would wait about {} ms and its deadline is in {} ms; extend the deadline or retry later",
            wait.as_millis(),
            req.deadline.as_millis(),
        );
        let delay = bounded(wait.saturating_sub(req.deadline));
        Err(Refusal::not_run(RefusalCode::DeadlineUnmeetable, message).retry_after(delay))
    }
}

fn check_shape(req: &AdmissionRequest, policy: &ServicePolicy) -> Result<(), Refusal> {
    let max = usize::from(policy.max_tasks).min(usize::try_from(policy.max_queue).unwrap_or(usize::MAX));
    if req.tasks == 0 {
        return Err(Refusal::not_run(
            RefusalCode::BadJob,
            "the job has no tasks; add at least one",
        ));
    }
    if req.tasks > max {
        let message = format!(
            "the job has {} tasks, at most {max} may be; split the job",
            req.tasks
        );
        return Err(Refusal::not_run(RefusalCode::BadJob, message));
    }
    if req.deadline > policy.max_deadline {
        let most = policy.max_deadline.as_millis();
        let message = format!("the deadline is beyond `max_deadline` of {most} ms; shorten it");
        return Err(Refusal::not_run(RefusalCode::BadJob, message));
    }
    if req.deadline.is_zero() {
        let message = "the deadline has passed; send the job with time left";
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
        "a task declares {} ms and the deadline is in {} ms; extend the deadline or correct the declaration",
        declared.as_millis(),
        req.deadline.as_millis(),
    );
    Err(Refusal::not_run(RefusalCode::CanNeverRun, message))
}

/// Returns the time in which `tasks` tasks start at a rate per second.
fn time_for(tasks: usize, rate: f64) -> Duration {
    Duration::try_from_secs_f64(count(tasks) / rate).unwrap_or(Duration::MAX)
}

fn count(tasks: usize) -> f64 {
    f64::from(u32::try_from(tasks).unwrap_or(u32::MAX))
}

fn bounded(delay: Duration) -> Duration {
    delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
