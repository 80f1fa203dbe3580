//! Runs in progress on one worker, and how long which kinds are side by side.

use std::time::{Duration, Instant};

use chestnutfork_types::{KindId, TaskKey};
use indexmap::IndexMap;

use crate::record::{Neighbour, RunRecord};

/// Maximum number of kinds observed at a time; runs of further kinds are ignored until one of them is no longer running.
pub const MAX_KINDS: usize = 64;

/// Presence of a kind on the worker since it was first observed.
#[derive(Clone, Copy, Debug, Default)]
struct Presence {
    kind: KindId,
    running: u32,
    /// Time with at least one run in progress.
    any: Duration,
    /// Time with at least two, in which each run of the kind has another one beside it.
    several: Duration,
    /// Number of the latest start, by which the kind that has not run for longest is replaced.
    last_start: u64,
}

/// Run in progress.
#[derive(Clone, Debug)]
struct Observed {
    slot: usize,
    declared: Duration,
    utilisation: f64,
    started_at: Instant,
    /// State of each slot at the start: kind, time in presence, and whether it was present.
    before: Vec<(KindId, Duration, bool)>,
}

/// Observes the runs on one worker.
#[derive(Clone, Debug)]
pub struct Observer {
    presences: Vec<Presence>,
    runs: IndexMap<TaskKey, Observed>,
    starts: u64,
    updated_at: Instant,
}

impl Observer {
    /// Creates an observer of an idle worker.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_interference::Observer;
    /// use chestnutfork_types::TaskKey;
    ///
    /// let start = Instant::now();
    /// let mut observer = Observer::new(start);
    /// let [first, second] = [0, 1].map(|index| TaskKey { job: 1, step: 0, index });
    /// observer.on_start(start, first, 7, Duration::from_millis(50), 0.0);
    /// observer.on_start(start, second, 8, Duration::from_millis(50), 0.1);
    /// let record = observer.on_end(start + Duration::from_millis(60), second).expect("a run in progress");
    /// assert_eq!((record.kind, record.beside[0].kind, record.beside[0].at_start), (8, 7, true));
    /// ```
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            presences: Vec::new(),
            runs: IndexMap::new(),
            starts: 0,
            updated_at: now,
        }
    }

    /// Records the start of a run at a utilisation of the worker by other runs, from 0 to 1.
    pub fn on_start(
        &mut self,
        now: Instant,
        task: TaskKey,
        kind: KindId,
        declared: Duration,
        utilisation: f64,
    ) {
        self.on_end(now, task);
        self.advance(now);
        let Some(slot) = self.slot(kind) else {
            return;
        };
        let before = self.presences.iter().enumerate().map(|(at, presence)| {
            let time = if at == slot {
                presence.several
            } else {
                presence.any
            };
            (presence.kind, time, presence.running > 0)
        });
        let run = Observed {
            slot,
            declared,
            utilisation,
            started_at: now,
            before: before.collect(),
        };
        self.runs.insert(task, run);
        self.starts += 1;
        let presence = &mut self.presences[slot];
        presence.running += 1;
        presence.last_start = self.starts;
    }

    /// Removes a run that has ended, and returns its record if its start was observed.
    pub fn on_end(&mut self, now: Instant, task: TaskKey) -> Option<RunRecord> {
        self.advance(now);
        let run = self.runs.swap_remove(&task)?;
        self.presences[run.slot].running -= 1;
        let beside = self.presences.iter().enumerate().filter_map(|(at, presence)| {
            let known = run.before.get(at).filter(|(kind, ..)| *kind == presence.kind);
            let (_, before, at_start) = known.copied().unwrap_or_default();
            let time = if at == run.slot {
                presence.several
            } else {
                presence.any
            };
            // A kind that took the slot during the run has been present for less than the run.
            let lasted = time.saturating_sub(before).min(now - run.started_at);
            (at_start || !lasted.is_zero()).then_some(Neighbour {
                kind: presence.kind,
                at_start,
                lasted,
            })
        });
        Some(RunRecord {
            kind: self.presences[run.slot].kind,
            declared: run.declared,
            observed: now - run.started_at,
            utilisation: run.utilisation,
            beside: beside.collect(),
        })
    }

    /// Returns the number of runs in progress of each kind that has any.
    pub fn running(&self) -> impl Iterator<Item = (KindId, u32)> {
        let present = self.presences.iter().filter(|presence| presence.running > 0);
        present.map(|presence| (presence.kind, presence.running))
    }

    /// Returns the number of kinds that are remembered.
    #[must_use]
    pub fn kinds(&self) -> usize {
        self.presences.len()
    }

    /// Adds the time since the latest start or end to the kinds that are present.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        for presence in &mut self.presences {
            if presence.running > 0 {
                presence.any += elapsed;
            }
            if presence.running > 1 {
                presence.several += elapsed;
            }
        }
    }

    /// Returns the slot of a kind, or `None` if all slots are in use by kinds that are running.
    fn slot(&mut self, kind: KindId) -> Option<usize> {
        let known = self.presences.iter().position(|presence| presence.kind == kind);
        if known.is_some() {
            return known;
        }
        let new = Presence {
            kind,
            ..Presence::default()
        };
        if self.presences.len() < MAX_KINDS {
            self.presences.push(new);
            return Some(self.presences.len() - 1);
        }
        let idle = self.presences.iter().enumerate();
        let idle = idle.filter(|(_, presence)| presence.running == 0);
        let (slot, _) = idle.min_by_key(|(_, presence)| presence.last_start)?;
        self.presences[slot] = new;
        Some(slot)
    }
}
