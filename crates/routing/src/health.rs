//! Health of a target from the results of real traffic: ejection, backoff and probation.

use std::time::{Duration, Instant};

use chestnutfork_types::EjectionPolicy;

use crate::target::TargetIndex;

/// Weight of one result in the failure rate; it averages over about twenty results.
const RATE_WEIGHT: f64 = 0.1;
/// Failure rate that ejects a target that fails now and then.
const RATE_LIMIT: f64 = 0.5;
/// Results after which the failure rate is trusted.
const RATE_MIN_RESULTS: u32 = 10;
/// How many times the failure rate of the other targets an outlier's rate must be.
const RATE_OUTLIER: f64 = 3.0;
/// Probability of a run of failures that may still be chance, given the failure rate of the other targets.
const CHANCE: f64 = 1e-3;
/// Doublings of the ejection time at most.
const MAX_DOUBLINGS: u32 = 6;
/// Multiple of the last ejection time that a target must stay healthy before its backoff starts anew.
const FORGIVE_AFTER: u32 = 10;

/// How an attempt ended, as far as the health of its target is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEndKind {
    /// The target completed the task.
    Completed,
    /// The target reported a failure.
    Failed,
    /// The attempt had no result in time.
    TimedOut,
    /// The attempt never reached the target.
    NotStarted,
    /// The attempt was cancelled; this tells nothing about the target.
    Cancelled,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd<'a> {
    /// Target of the attempt.
    pub target: TargetIndex,
    /// Service of the task.
    pub service: &'a str,
    /// Run time that the caller declared for the task.
    pub declared: Option<Duration>,
    /// Time from the start at the target to the end.
    pub run_time: Duration,
    /// How the attempt ended.
    pub kind: AttemptEndKind,
}

/// State of a target with regard to its results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Healthy,
    /// A single task at a time, and none before the given time.
    Probation {
        not_before: Option<Instant>,
    },
    Ejected {
        until: Instant,
    },
}

/// What a result means for a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Keep,
    Eject,
}

/// Why a target is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    Failures,
    Slowness,
}

/// Health of one target.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    state: State,
    /// Cause of the last ejection.
    cause: Cause,
    consecutive: u32,
    rate: f64,
    results: u32,
    /// Ejections in a row, which double the next ejection.
    level: u32,
    /// Time from which on a healthy target is forgiven its earlier ejections.
    forgive_at: Option<Instant>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Healthy,
            cause: Cause::Failures,
            consecutive: 0,
            rate: 0.0,
            results: 0,
            level: 0,
            forgive_at: None,
        }
    }
}

impl Health {
    pub(crate) fn state(&self) -> State {
        self.state
    }

    pub(crate) fn is_healthy(&self) -> bool {
        self.state == State::Healthy
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    pub(crate) fn is_ejected_for_slowness(&self) -> bool {
        self.is_ejected() && self.cause == Cause::Slowness
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.rate
    }

    /// Reports whether the target may be given a task while `in_flight` others run on it.
    pub(crate) fn admits(&self, now: Instant, in_flight: u32) -> bool {
        match self.state {
            State::Healthy => true,
            State::Probation { not_before } => in_flight == 0 && not_before.is_none_or(|time| now >= time),
            State::Ejected { .. } => false,
        }
    }

    /// Returns the time at which an ejection or a pause ends.
    pub(crate) fn wakeup(&self) -> Option<Instant> {
        match self.state {
            State::Healthy => None,
            State::Probation { not_before } => not_before,
            State::Ejected { until } => Some(until),
        }
    }

    /// Ends an ejection or a pause that is over.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self.wakeup().is_some_and(|time| now >= time) {
            self.state = State::Probation { not_before: None };
        }
    }

    /// Turns an ejection into probation before its time.
    pub(crate) fn readmit(&mut self) {
        if matches!(self.state, State::Ejected { .. }) {
            self.state = State::Probation { not_before: None };
        }
    }

    /// Learns a result; `others` is the mean failure rate of the other targets of the pool.
    pub(crate) fn on_result(
        &mut self,
        now: Instant,
        kind: AttemptEndKind,
        policy: &EjectionPolicy,
        others: f64,
    ) -> Verdict {
        match kind {
            AttemptEndKind::Cancelled => Verdict::Keep,
            AttemptEndKind::Completed => {
                self.on_success(now);
                Verdict::Keep
            }
            AttemptEndKind::Failed | AttemptEndKind::TimedOut | AttemptEndKind::NotStarted => {
                self.on_failure(policy, others)
            }
        }
    }

    /// Takes the target out of use, twice as long with every repeat.
    pub(crate) fn eject(&mut self, now: Instant, policy: &EjectionPolicy, cause: Cause) {
        let time = self.next_pause(policy);
        self.state = State::Ejected { until: now + time };
        self.cause = cause;
        self.forgive_at = Some(now + time * (FORGIVE_AFTER + 1));
    }

    /// Slows the target down to one task per pause, for when the pool cannot spare it.
    pub(crate) fn pause(&mut self, now: Instant, policy: &EjectionPolicy) {
        let time = policy.base;
        self.consecutive = 0;
        self.state = State::Probation {
            not_before: Some(now + time),
        };
        self.forgive_at = Some(now + time * (FORGIVE_AFTER + 1));
    }

    fn next_pause(&mut self, policy: &EjectionPolicy) -> Duration {
        let time = policy.base * 2_u32.pow(self.level.min(MAX_DOUBLINGS));
        self.level = self.level.saturating_add(1);
        self.consecutive = 0;
        time
    }

    fn on_success(&mut self, now: Instant) {
        self.count(0.0);
        self.consecutive = 0;
        if let State::Probation { .. } = self.state {
            self.state = State::Healthy;
            // Results from before the ejection no longer describe the target.
            self.rate = 0.0;
            self.results = 0;
        }
        if self.state == State::Healthy && self.forgive_at.is_some_and(|time| now >= time) {
            self.forgive_at = None;
            self.level = 0;
        }
    }

    fn on_failure(&mut self, policy: &EjectionPolicy, others: f64) -> Verdict {
        self.count(1.0);
        self.consecutive = self.consecutive.saturating_add(1);
        let outlier = match self.state {
            State::Healthy => self.is_outlier(policy, others),
            // Where most others fail too, the result says nothing about this target.
            State::Probation { .. } => others < RATE_LIMIT,
            // A result of an attempt that started before the ejection adds nothing.
            State::Ejected { .. } => false,
        };
        if outlier { Verdict::Eject } else { Verdict::Keep }
    }

    fn count(&mut self, failure: f64) {
        self.results = self.results.saturating_add(1);
        let weight = (1.0 / f64::from(self.results)).max(RATE_WEIGHT);
        self.rate += weight * (failure - self.rate);
    }

    /// Reports whether the target fails clearly more often than the others do.
    ///
    /// A task that fails everywhere raises the rate of the others too, and then takes a longer run of failures.
    fn is_outlier(&self, policy: &EjectionPolicy, others: f64) -> bool {
        // After an ejection less evidence suffices, so that a flapping target does little harm on each return.
        let base = (policy.failures >> self.level.min(MAX_DOUBLINGS)).max(1);
        let run = others.powf(f64::from(self.consecutive)) < CHANCE && self.consecutive >= base;
        let rate =
            self.results >= RATE_MIN_RESULTS && self.rate > RATE_LIMIT && self.rate > RATE_OUTLIER * others;
        run || rate
    }
}
