//! Delays of the latest attempts beyond their run time.
//!
//! A process that is short of processor time sends orders and reads reports late, although the workers have room and the links
//! are up.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_types::{EndedRun, RunOutcome};

use crate::agents::AgentIndex;
use crate::core::BrokerCore;
use crate::event::{Action, Notice};

/// Number of reports that are considered.
const MAX_SAMPLES: usize = 64;
/// Number of recent reports below which single workers could account for the delays.
const MIN_SAMPLES: usize = 4;
/// Age from which an attempt says nothing about the present.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(250);
/// Part of the attempts, as a divisor, that had a shorter delay than the typical one. A full or slow worker delays some
/// attempts, a process that is behind delays all.
const QUANTILE_DIVISOR: usize = 4;
/// Delay from which the process counts as behind: calm processes have some milliseconds.
const BEHIND_FROM: Duration = Duration::from_millis(100);
/// Delay below which the process has caught up.
const CAUGHT_UP_BELOW: Duration = Duration::from_millis(50);

/// Delays that the latest reports of ended attempts show.
#[derive(Debug, Default)]
pub(crate) struct Delays {
    samples: VecDeque<(Instant, Duration)>,
    behind_since: Option<Instant>,
}

impl Delays {
    pub(crate) fn record(&mut self, now: Instant, delay: Duration) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, delay));
    }

    /// Returns the delay that nearly every recent attempt had, or zero if too few have ended recently.
    pub(crate) fn typical(&self, now: Instant) -> Duration {
        let recent = self
            .samples
            .iter()
            .rev()
            .take_while(|(at, _)| now < *at + MAX_SAMPLE_AGE);
        let mut delays: Vec<Duration> = recent.map(|&(_, delay)| delay).collect();
        if delays.len() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        let at = delays.len() / QUANTILE_DIVISOR;
        *delays.select_nth_unstable(at).1
    }
}

impl BrokerCore {
    /// Records the delay that a report of ended attempts shows.
    ///
    /// An agent reports the ends of a step together, so the delay is that of the attempt that ended last. Attempts that may
    /// wait at the worker, or that were ordered to stop, show none.
    pub(crate) fn record_delay(&mut self, now: Instant, at: AgentIndex, ended: &[EndedRun]) {
        let outstanding = &self.agents.get(at).outstanding;
        let delays = ended.iter().filter_map(|run| {
            let attempt = outstanding.get(&run.key)?;
            let measurable = attempt.refuse_if_full && !attempt.stopping && run.outcome != RunOutcome::Lost;
            let elapsed = now.saturating_duration_since(attempt.ordered_at);
            measurable.then(|| elapsed.saturating_sub(run.run_time))
        });
        if let Some(delay) = delays.min() {
            self.delays.record(now, delay);
        }
    }

    /// Returns the delay that this process currently adds to each attempt, or zero if too few have ended recently.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_broker::{BrokerConfig, BrokerCore};
    ///
    /// let now = Instant::now();
    /// let cfg = BrokerConfig::builder("zone-a", Duration::from_millis(1_300)).build();
    /// assert_eq!(BrokerCore::new(cfg, now).processing_delay(now), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn processing_delay(&self, now: Instant) -> Duration {
        self.delays.typical(now)
    }

    /// Reports when the process falls behind and when it has caught up.
    pub(crate) fn report_processing_delay(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let delay = self.delays.typical(now);
        match self.delays.behind_since {
            None if delay >= BEHIND_FROM => {
                self.delays.behind_since = Some(now);
                let (jobs, waiting) = (self.jobs.len() as u64, self.waiting.len() as u64);
                actions.push(Action::Notice(Notice::Behind { delay, jobs, waiting }));
            }
            Some(since) if delay < CAUGHT_UP_BELOW => {
                self.delays.behind_since = None;
                let lasted = now.saturating_duration_since(since);
                actions.push(Action::Notice(Notice::CaughtUp { lasted }));
            }
            _ => {}
        }
    }
}
