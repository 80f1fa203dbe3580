//! The time after a change of much of the usable capacity, in which orders beyond the share of this entry are limited.
//!
//! After a restart, a cut or a loss all entries have a backlog at the same time. If each of them orders from every worker with
//! reported free capacity, most of these orders reach a worker that another entry has filled. In normal operation few entries
//! need more than their share at the same time, and such orders save waits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::event::Notice;

/// Period over which changes of the usable capacity add up. The links of a restarted process open within a quarter of it.
const WINDOW: Duration = Duration::from_secs(1);
/// Divisor of the usable capacity that gives the smallest change that counts: a rack has a sixth of the smallest pool.
const CHANGE_DIVISOR: u64 = 8;
/// Time without a change and without waiting tasks after which the time ends. Tasks that were lost or repeated have ended by
/// then, and most of the longest ones that started meanwhile.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// The same for a process that has ordered nothing since the change: two heartbeats, so that each agent has reported.
const IDLE_TIME: Duration = Duration::from_millis(500);
/// Time after the latest change after which it ends although tasks wait: the load is then high for another reason.
const MAX_DURATION: Duration = Duration::from_secs(10);
/// Part of the orders, in tasks, that full workers may refuse meanwhile.
const MAX_REFUSED: f64 = 0.015;
/// Refusals that can be saved up, and owed: the tasks of one job.
const MAX_SAVED: f64 = 8.0;
/// Attempts at a job that may be ordered beyond the share meanwhile, and refusals after which its next order waits at the worker.
/// Three are allowed, and one order may hold several attempts.
const MAX_REFUSALS_OF_JOB: u32 = 2;
/// Time within which a refusal of an order arrives: a round trip to another failure domain, with some slack.
const REFUSAL_TIME: Duration = Duration::from_millis(10);

/// Start or end of the time after a change, to be logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Transition {
    /// Capacity changed by much.
    Began {
        /// Smallest usable capacity within the window, in thousandths of a core.
        least: u64,
        /// Largest usable capacity within the window, in thousandths of a core.
        most: u64,
        /// Age of the oldest observation.
        age: Duration,
    },
    /// No tasks have waited for a while, or the longest duration is over.
    Ended {
        /// Time since it began.
        lasted: Duration,
        /// Tasks that were ordered beyond the share.
        beyond_share: u64,
        /// Orders that full workers refused.
        refused: u64,
    },
}

impl From<Transition> for Notice {
    fn from(transition: Transition) -> Self {
        match transition {
            Transition::Began { least, most, age } => Self::ReturnBegan { least, most, age },
            Transition::Ended {
                lasted,
                beyond_share,
                refused,
            } => Self::ReturnEnded {
                lasted,
                beyond_share,
                refused,
            },
        }
    }
}

/// Recognises returns and losses of much of the usable capacity, and limits orders beyond the share after them.
#[derive(Debug)]
pub(crate) struct Returns {
    is_enabled: bool,
    /// Usable capacity at each change within the window, with at least one observation.
    observed: VecDeque<(Instant, u64)>,
    began_at: Option<Instant>,
    changed_at: Instant,
    /// Time from which there was no change and no task waited.
    quiet_since: Instant,
    /// Refusals that the orders so far allow.
    saved: f64,
    /// Whether a task was ordered.
    has_ordered: bool,
    /// When tasks were ordered beyond the share that may still be refused.
    unconfirmed: VecDeque<Instant>,
    beyond_share: u64,
    refused: u64,
}

impl Returns {
    /// Creates the state of a process that knows no worker yet.
    pub(crate) fn new(now: Instant, is_enabled: bool) -> Self {
        Self {
            is_enabled,
            observed: VecDeque::from([(now, 0)]),
            began_at: None,
            changed_at: now,
            quiet_since: now,
            saved: 0.0,
            has_ordered: false,
            unconfirmed: VecDeque::new(),
            beyond_share: 0,
            refused: 0,
        }
    }

    /// Processes the usable capacity, and whether tasks wait although placement was attempted.
    pub(crate) fn observe(&mut self, now: Instant, capacity: u64, has_waiting: bool) -> Option<Transition> {
        if !self.is_enabled {
            return None;
        }
        if self.observed.back().is_none_or(|&(_, latest)| latest != capacity) {
            self.observed.push_back((now, capacity));
        }
        // The oldest observation kept is the one in force at the beginning of the window.
        while self.observed.get(1).is_some_and(|&(at, _)| now >= at + WINDOW) {
            self.observed.pop_front();
        }
        let amounts = || self.observed.iter().map(|&(_, amount)| amount);
        let (least, most) = (amounts().min().unwrap_or(0), amounts().max().unwrap_or(0));
        let oldest = self.observed.front().map_or(now, |&(at, _)| at);
        let changed = most - least > most / CHANGE_DIVISOR;
        if changed || has_waiting {
            self.quiet_since = now;
        }
        if changed {
            self.changed_at = now;
            // Later changes are measured from here.
            self.observed = VecDeque::from([(now, capacity)]);
        }
        let quiet_time = if self.has_ordered { QUIET_TIME } else { IDLE_TIME };
        match self.began_at {
            None if changed => {
                self.began_at = Some(now);
                (self.saved, self.beyond_share, self.refused) = (0.0, 0, 0);
                self.has_ordered = false;
                let age = now.saturating_duration_since(oldest);
                Some(Transition::Began { least, most, age })
            }
            Some(began_at)
                if now >= self.quiet_since + quiet_time || now >= self.changed_at + MAX_DURATION =>
            {
                self.began_at = None;
                Some(Transition::Ended {
                    lasted: now.saturating_duration_since(began_at),
                    beyond_share: self.beyond_share,
                    refused: self.refused,
                })
            }
            _ => None,
        }
    }

    /// Returns whether orders beyond the share are limited.
    pub(crate) fn is_active(&self) -> bool {
        self.began_at.is_some()
    }

    /// Returns whether a task may be ordered beyond the share.
    ///
    /// `of_job` is the number of attempts at the same job that were ordered beyond the share before.
    pub(crate) fn allows_beyond_share(&self, now: Instant, of_job: u32) -> bool {
        let recent = self
            .unconfirmed
            .iter()
            .rev()
            .take_while(|&&at| now < at + REFUSAL_TIME);
        let needed = recent.fold(1.0, |sum, _| sum + 1.0);
        !self.is_active() || (of_job < MAX_REFUSALS_OF_JOB && self.saved >= needed)
    }

    /// Returns whether a job may be refused by another full worker; otherwise its next order waits at the worker.
    pub(crate) fn allows_refusal(&self, of_job: u32) -> bool {
        !self.is_active() || of_job < MAX_REFUSALS_OF_JOB
    }

    /// Records that a task was ordered.
    pub(crate) fn record_order(&mut self, now: Instant, in_share: bool) {
        if !self.is_active() {
            return;
        }
        self.has_ordered = true;
        self.saved = (self.saved + MAX_REFUSED).min(MAX_SAVED);
        if !in_share {
            while self
                .unconfirmed
                .pop_front_if(|at| now >= *at + REFUSAL_TIME)
                .is_some()
            {}
            self.unconfirmed.push_back(now);
            self.beyond_share += 1;
        }
    }

    /// Records that a full worker refused a task.
    pub(crate) fn record_refusal(&mut self) {
        self.refused += 1;
        self.saved = (self.saved - 1.0).max(-MAX_SAVED);
    }
}
