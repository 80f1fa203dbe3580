//! Times in which nothing reached this process, because it was paused, stopped again and again, or cut off.
//!
//! What arrives after such a time may have waited in buffers. A caller may have given up meanwhile and submitted its job to
//! another entry, and the end of its connection may have been lost. A job of such a caller therefore ends before another
//! entry can have received it.
//!
//! A stop that begins before the process has read what waited during the former one continues the same silence: what waits
//! may have waited since its beginning, however short each stop is. A process that runs for a fifth of the time keeps up.

use std::time::{Duration, Instant};

use chestnutfork_types::{EntryToWorker, JobId};
use indexmap::IndexSet;

use crate::agents::AgentIndex;
use crate::core::BrokerCore;
use crate::event::{Action, Notice};
use crate::job::Job;

/// Delay of the timer from which the process counts as stopped; a quota of processor time delays it by less than 100 ms.
const STOP_THRESHOLD: Duration = Duration::from_millis(100);
/// Length of one or several stops from which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time without a message of any connected agent from which the process counts as paused or cut off: two heartbeats are
/// missing.
const SILENCE_THRESHOLD: Duration = Duration::from_millis(500);
/// Time after a pause in which the process reads what has arrived, before it places tasks.
const PAUSE_SETTLE_TIME: Duration = Duration::from_millis(100);
/// Divisor of the length of a silence that gives the time in which the requests that waited are read; they are read several
/// times as fast as they arrive.
const BACKLOG_DIVISOR: u32 = 4;
/// Longest time in which the requests that waited during a silence are read.
const MAX_BACKLOG_TIME: Duration = Duration::from_millis(500);

/// What is known of the latest time in which nothing reached this process.
#[derive(Debug)]
pub(crate) struct Silence {
    /// Time of the last event.
    handled_at: Instant,
    /// Arrival of the latest message of an agent.
    reported_at: Instant,
    /// Whether a link was given up after a time without a message of any agent; a killed agent closes its link at once.
    lost_silently: bool,
    /// When the latest silence began.
    since: Instant,
    /// When the last stop of that silence ended.
    ended_at: Instant,
}

impl Silence {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            handled_at: now,
            reported_at: now,
            lost_silently: false,
            since: now,
            ended_at: now,
        }
    }

    pub(crate) fn record_event(&mut self, now: Instant) {
        self.handled_at = now;
    }

    pub(crate) fn record_report(&mut self, now: Instant) {
        self.reported_at = now;
        self.lost_silently = false;
    }

    pub(crate) fn record_lost_link(&mut self, now: Instant) {
        self.lost_silently |= now >= self.reported_at + SILENCE_THRESHOLD;
    }

    /// Records a stop that ends now.
    fn record_stop(&mut self, began_at: Instant, now: Instant) {
        let running = began_at.saturating_duration_since(self.ended_at);
        self.since = if began_at < self.backlog_until() {
            // The process has read a part of what waited, so what still waits is younger.
            (self.since + running * (BACKLOG_DIVISOR + 1)).min(began_at)
        } else {
            began_at
        };
        self.ended_at = now;
        self.handled_at = now;
        // A short stop does not end a cut of the network that began before it.
        if self.is_pause() {
            self.record_report(now);
        }
    }

    fn length(&self) -> Duration {
        self.ended_at.saturating_duration_since(self.since)
    }

    /// Returns whether the latest silence was long enough for callers to have given up.
    fn is_pause(&self) -> bool {
        self.length() >= PAUSE_THRESHOLD
    }

    /// Returns until when submissions may be read that waited during the silence.
    fn backlog_until(&self) -> Instant {
        let backlog_time = self.length() / BACKLOG_DIVISOR;
        self.ended_at + backlog_time.clamp(PAUSE_SETTLE_TIME, MAX_BACKLOG_TIME)
    }

    /// Returns whether what the process reads now may have waited during a silence, also during one too short for a pause.
    pub(crate) fn may_have_waited(&self, now: Instant) -> bool {
        now < self.backlog_until()
    }

    /// Returns when the silence began if a submission that reached the process at the given time may have waited during it.
    pub(crate) fn backlog_since(&self, received_at: Instant) -> Option<Instant> {
        let waited = self.is_pause() && received_at < self.backlog_until();
        waited.then(|| self.since.min(received_at))
    }
}

impl BrokerCore {
    /// Detects that nothing reached this process for a while: its timer is late, all agents were silent although links to them
    /// were open, or the event has waited for so long that callers may have left since and submitted their jobs elsewhere.
    ///
    /// `is_arrival` states whether the event that is processed came from outside. The timer goes on while the process is cut
    /// off, and links are given up then, so only an arrival shows the end of the silence.
    pub(crate) fn detect_silence(
        &mut self,
        now: Instant,
        received_at: Instant,
        is_arrival: bool,
        actions: &mut Vec<Action>,
    ) {
        let late = now.saturating_duration_since(self.next_wakeup());
        let stopped = (late >= STOP_THRESHOLD).then_some(self.silence.handled_at);
        let unreported = now.saturating_duration_since(self.silence.reported_at);
        let expects_reports = self.agents.any_connected() || self.silence.lost_silently;
        let cut_off = is_arrival && unreported >= SILENCE_THRESHOLD && expects_reports;
        let cut_off = cut_off.then_some(self.silence.reported_at);
        let delayed = now >= received_at + self.cfg.unverified_job_time;
        let delayed = delayed.then_some(received_at);
        let Some(began_at) = stopped.into_iter().chain(cut_off).chain(delayed).min() else {
            return;
        };
        self.silence.record_stop(began_at, now);
        if !self.silence.is_pause() {
            return;
        }
        // Callers of jobs in progress may have left as well.
        let since = self.silence.since;
        let deadline = since + self.cfg.unverified_job_time;
        let mut limited = IndexSet::new();
        for job in self.jobs.values_mut() {
            if job.unverified_since.is_none_or(|known| since < known) {
                job.unverified_since = Some(since);
                limited.insert(job.id);
            }
            if deadline < job.deadline {
                job.deadline = deadline;
                limited.insert(job.id);
            }
        }
        if !limited.is_empty() {
            for (at, _) in self.agents.iter() {
                self.send_limits(now, at, |job| limited.contains(&job), actions);
            }
        }
        actions.push(Action::Notice(Notice::Paused {
            paused: self.silence.length(),
        }));
    }

    /// Sends an agent the deadlines of the selected jobs of which it runs attempts, and when these must have ended.
    ///
    /// The process may be stopped again when they pass, and the orders of these attempts carried later ones.
    pub(crate) fn send_limits(
        &self,
        now: Instant,
        at: AgentIndex,
        is_selected: impl Fn(JobId) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let agent = self.agents.get(at);
        let Some(link) = agent
            .link
            .filter(|_| agent.attempts_listed && agent.worker.reads_time_limits)
        else {
            return;
        };
        let attempts = agent.outstanding.iter().filter(|(_, run)| !run.stopping);
        let attempts = attempts.filter_map(|(&key, _)| {
            let job = self.jobs.get(&key.task.job).filter(|job| is_selected(job.id))?;
            Some((key, job))
        });
        let (mut deadlines, mut ends) = (Vec::new(), Vec::new());
        for (key, job) in attempts {
            deadlines.push((key, job.deadline.saturating_duration_since(now)));
            if let Some(since) = job.unverified_since.filter(|_| agent.worker.reads_end_limits) {
                ends.push((key, agent.end_limit(now, since + self.cfg.run_end_time)));
            }
        }
        if !deadlines.is_empty() {
            actions.push(Action::ToAgent(link, EntryToWorker::TimeLimits(deadlines)));
        }
        if !ends.is_empty() {
            actions.push(Action::ToAgent(link, EntryToWorker::EndLimits(ends)));
        }
    }

    /// Returns the earliest time at which the callers of a job that ends now may have left.
    ///
    /// The event that ends the job may have waited for the process, also during a stop that is too short to be noticed.
    pub(crate) fn callers_left_since(&self, now: Instant, job: &Job) -> Instant {
        let delay = self.processing_delay(now).max(STOP_THRESHOLD);
        let arrived = now.checked_sub(delay).unwrap_or(now);
        let silence = self.silence.may_have_waited(now).then_some(self.silence.since);
        let bounds = [silence, job.unverified_since, Some(job.deadline)];
        bounds.into_iter().flatten().fold(arrived, Instant::min)
    }

    /// Returns the deadline of a submission, which is earlier if it may have waited during a silence.
    pub(crate) fn unverified_deadline(&self, received_at: Instant, deadline: Instant) -> Instant {
        let since = self.silence.backlog_since(received_at);
        since.map_or(deadline, |since| {
            deadline.min(since + self.cfg.unverified_job_time)
        })
    }

    pub(crate) fn may_place(&self, now: Instant) -> bool {
        !self.silence.is_pause() || now >= self.silence.ended_at + PAUSE_SETTLE_TIME
    }
}
