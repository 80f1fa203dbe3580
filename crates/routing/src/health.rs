//! Health of a target, derived from the results of real traffic: ejection, backoff and probation.

use std::time::{Duration, Instant};

use chestnutfork_types::EjectionPolicy;

use crate::target::TargetIndex;

/// Minimum weight of one result in the failure rate, which then averages over about twenty results.
const MIN_RATE_WEIGHT: f64 = 0.1;
/// Failure rate above which a target is ejected even if its failures are not consecutive.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Minimum number of results for an ejection by failure rate.
const MIN_RATE_RESULTS: u32 = 10;
/// Factor by which the failure rate of an outlier must exceed that of the other targets.
const RATE_OUTLIER_FACTOR: f64 = 3.0;
/// Significance level for a run of failures: a run that is more probable than this, given the failure rate of the other
/// targets, is attributed to chance.
const SIGNIFICANCE: f64 = 1e-3;
/// Maximum number of times that the ejection time doubles.
const MAX_DOUBLINGS: u32 = 6;
/// Multiple of the last ejection time for which a target must stay healthy before its backoff is reset.
const BACKOFF_RESET_FACTOR: u32 = 10;

/// How an attempt ended, with regard to the health of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEndKind {
    /// The target completed the task.
    Completed,
    /// The target reported a failure.
    Failed,
    /// The outcome is unknown: no result arrived in time, or the agent of the target was lost.
    TimedOut,
    /// The attempt never reached the target.
    NotStarted,
    /// The attempt was cancelled, which is no evidence about the health of the target.
    Cancelled,
}

/// Report by the entry that an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd<'a> {
    /// Target of the attempt.
    pub target: TargetIndex,
    /// Service of the task.
    pub service: &'a str,
    /// Run time that the caller declared for the task.
    pub declared: Option<Duration>,
    /// Time from the start at the target until the end.
    pub run_time: Duration,
    /// How the attempt ended.
    pub kind: AttemptEndKind,
}

/// Ejection state of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    Healthy,
    /// The target takes a single task at a time, and none before `not_before`.
    Probation {
        not_before: Option<Instant>,
    },
    Ejected {
        until: Instant,
    },
}

/// Consequence of a result for its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Keep,
    Eject,
}

/// Why a target is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionCause {
    Failures,
    Slowness,
}

/// Health of one target.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    state: HealthState,
    /// Cause of the last ejection.
    cause: EjectionCause,
    consecutive_failures: u32,
    failure_rate: f64,
    results: u32,
    /// Ejections since the last reset of the backoff; each doubles the time of the next one.
    backoff_level: u32,
    /// Time at which the next success of a healthy target resets the backoff.
    backoff_reset_at: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            cause: EjectionCause::Failures,
            consecutive_failures: 0,
            failure_rate: 0.0,
            results: 0,
            backoff_level: 0,
            backoff_reset_at: None,
        }
    }
}

impl Health {
    pub(crate) fn state(&self) -> HealthState {
        self.state
    }

    pub(crate) fn is_healthy(&self) -> bool {
        self.state == HealthState::Healthy
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.state, HealthState::Ejected { .. })
    }

    pub(crate) fn is_ejected_for_slowness(&self) -> bool {
        self.is_ejected() && self.cause == EjectionCause::Slowness
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Reports whether the target may receive a task while `in_flight` others run on it.
    pub(crate) fn admits(&self, now: Instant, in_flight: u32) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Probation { not_before } => {
                in_flight == 0 && not_before.is_none_or(|time| now >= time)
            }
            HealthState::Ejected { .. } => false,
        }
    }

    /// Returns the time at which an ejection or a throttling delay ends.
    pub(crate) fn wakeup(&self) -> Option<Instant> {
        match self.state {
            HealthState::Healthy => None,
            HealthState::Probation { not_before } => not_before,
            HealthState::Ejected { until } => Some(until),
        }
    }

    /// Ends an ejection or a throttling delay that has expired.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self.wakeup().is_some_and(|time| now >= time) {
            self.state = HealthState::Probation { not_before: None };
        }
    }

    /// Ends an ejection early; the target enters probation.
    pub(crate) fn readmit(&mut self) {
        if matches!(self.state, HealthState::Ejected { .. }) {
            self.state = HealthState::Probation { not_before: None };
        }
    }

    /// Records a result; `others_rate` is the mean failure rate of the other targets of the pool.
    pub(crate) fn on_result(
        &mut self,
        now: Instant,
        kind: AttemptEndKind,
        policy: &EjectionPolicy,
        others_rate: f64,
    ) -> Verdict {
        match kind {
            AttemptEndKind::Cancelled => Verdict::Keep,
            AttemptEndKind::Completed => {
                self.on_success(now);
                Verdict::Keep
            }
            AttemptEndKind::Failed | AttemptEndKind::TimedOut | AttemptEndKind::NotStarted => {
                self.on_failure(policy, others_rate)
            }
        }
    }

    /// Ejects the target; each repeated ejection lasts twice as long, up to a limit.
    pub(crate) fn eject(&mut self, now: Instant, policy: &EjectionPolicy, cause: EjectionCause) {
        let time = self.next_ejection_time(policy);
        self.state = HealthState::Ejected { until: now + time };
        self.cause = cause;
        self.backoff_reset_at = Some(now + time * (BACKOFF_RESET_FACTOR + 1));
    }

    /// Admits no task for the base ejection time, and then a single one, as in probation.
    ///
    /// This replaces an ejection that the limit of the pool does not allow.
    pub(crate) fn throttle(&mut self, now: Instant, policy: &EjectionPolicy) {
        let time = policy.base_time;
        self.consecutive_failures = 0;
        self.state = HealthState::Probation {
            not_before: Some(now + time),
        };
        self.backoff_reset_at = Some(now + time * (BACKOFF_RESET_FACTOR + 1));
    }

    /// Returns the time of the next ejection and increases the backoff.
    fn next_ejection_time(&mut self, policy: &EjectionPolicy) -> Duration {
        let time = policy.base_time * 2_u32.pow(self.backoff_level.min(MAX_DOUBLINGS));
        self.backoff_level = self.backoff_level.saturating_add(1);
        self.consecutive_failures = 0;
        time
    }

    fn on_success(&mut self, now: Instant) {
        self.update_failure_rate(0.0);
        self.consecutive_failures = 0;
        if let HealthState::Probation { .. } = self.state {
            self.state = HealthState::Healthy;
            // Results from before the ejection do not describe the recovered target.
            self.failure_rate = 0.0;
            self.results = 0;
        }
        if self.state == HealthState::Healthy && self.backoff_reset_at.is_some_and(|time| now >= time) {
            self.backoff_reset_at = None;
            self.backoff_level = 0;
        }
    }

    fn on_failure(&mut self, policy: &EjectionPolicy, others_rate: f64) -> Verdict {
        self.update_failure_rate(1.0);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let outlier = match self.state {
            HealthState::Healthy => self.is_outlier(policy, others_rate),
            // While most other targets fail too, the failure is no evidence against this one.
            HealthState::Probation { .. } => others_rate < MAX_FAILURE_RATE,
            // The attempt started before the ejection, so its result is no new evidence.
            HealthState::Ejected { .. } => false,
        };
        if outlier { Verdict::Eject } else { Verdict::Keep }
    }

    fn update_failure_rate(&mut self, failure: f64) {
        self.results = self.results.saturating_add(1);
        let weight = (1.0 / f64::from(self.results)).max(MIN_RATE_WEIGHT);
        self.failure_rate += weight * (failure - self.failure_rate);
    }

    /// Reports whether the target fails significantly more often than the other targets.
    ///
    /// Tasks that fail on every target raise the rate of the others too, and a longer run of failures is then required.
    fn is_outlier(&self, policy: &EjectionPolicy, others_rate: f64) -> bool {
        // Each ejection halves the required failures, so that a flapping target fails few tasks each time it returns.
        let min_failures = (policy.consecutive_failures >> self.backoff_level.min(MAX_DOUBLINGS)).max(1);
        let long_run = others_rate.powf(f64::from(self.consecutive_failures)) < SIGNIFICANCE
            && self.consecutive_failures >= min_failures;
        let high_rate = self.results >= MIN_RATE_RESULTS
            && self.failure_rate > MAX_FAILURE_RATE
            && self.failure_rate > RATE_OUTLIER_FACTOR * others_rate;
        long_run || high_rate
    }
}
