//! Tables of credits, running tasks and results.
//!
//! A credit id is in at most one table at a time: idle, running, kept result, or ended. Ids below `floor` that are in
//! no table may have been started and forgotten.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_types::{CreditId, ProcessId, TaskResult};
use indexmap::{IndexMap, IndexSet};

/// Credit that is issued and unused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Idle {
    pub(crate) entry: ProcessId,
    pub(crate) expires: Instant,
}

/// Task that runs at the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) entry: ProcessId,
    pub(crate) cancelled: bool,
}

/// Result that waits for its acknowledgement.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub(crate) entry: ProcessId,
    pub(crate) result: TaskResult,
    pub(crate) expires: Instant,
}

/// What the ledger knows of a credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Idle,
    Running,
    Finished,
    /// The task ended and its result is dropped, or the credit is too old to tell.
    Forgotten,
    Unused,
}

/// All credits of one agent incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) idle: IndexMap<CreditId, Idle>,
    pub(crate) running: IndexMap<CreditId, Running>,
    pub(crate) results: IndexMap<CreditId, Kept>,
    pub(crate) ended: IndexSet<CreditId>,
    /// Members of `ended`, oldest first, so that eviction is cheap.
    pub(crate) ended_order: VecDeque<CreditId>,
    /// Largest id that was evicted from `ended`.
    pub(crate) floor: CreditId,
    pub(crate) last: CreditId,
}

impl Ledger {
    /// Issues a credit to an entry.
    pub(crate) fn issue(&mut self, entry: ProcessId, expires: Instant) -> CreditId {
        self.last += 1;
        self.idle.insert(self.last, Idle { entry, expires });
        self.last
    }

    /// Returns the number of slots that credits and running tasks take up.
    pub(crate) fn used(&self) -> usize {
        self.idle.len() + self.running.len()
    }

    /// Reports what became of a credit of `entry`; a credit of another entry counts as forgotten.
    pub(crate) fn fate(&self, entry: ProcessId, credit: CreditId) -> Fate {
        if let Some(idle) = self.idle.get(&credit) {
            return owned(idle.entry == entry, Fate::Idle);
        }
        if let Some(running) = self.running.get(&credit) {
            return owned(running.entry == entry, Fate::Running);
        }
        if let Some(kept) = self.results.get(&credit) {
            return owned(kept.entry == entry, Fate::Finished);
        }
        let forgotten = credit <= self.floor || credit > self.last || self.ended.contains(&credit);
        owned(!forgotten, Fate::Unused)
    }

    /// Drops a result and remembers that its task ran.
    pub(crate) fn forget(&mut self, credit: CreditId, max_ended: usize) {
        self.results.swap_remove(&credit);
        if self.ended.insert(credit) {
            self.ended_order.push_back(credit);
        }
        while self.ended.len() > max_ended {
            let Some(oldest) = self.ended_order.pop_front() else {
                break;
            };
            self.ended.swap_remove(&oldest);
            self.floor = self.floor.max(oldest);
        }
    }

    /// Returns the kept result that expires first.
    pub(crate) fn oldest_result(&self) -> Option<(CreditId, Instant)> {
        let oldest = self.results.iter().min_by_key(|(_, kept)| kept.expires);
        oldest.map(|(&credit, kept)| (credit, kept.expires))
    }

    /// Keeps a result until it is acknowledged or `retention` has passed.
    pub(crate) fn keep(&mut self, now: Instant, entry: ProcessId, result: TaskResult, retention: Duration) {
        let expires = now + retention;
        self.results.insert(
            result.credit,
            Kept {
                entry,
                result,
                expires,
            },
        );
    }

    /// Drops all idle credits of an entry.
    pub(crate) fn void_entry(&mut self, entry: ProcessId) {
        self.idle.retain(|_, idle| idle.entry != entry);
    }

    /// Counts the idle credits of an entry.
    pub(crate) fn idle_of(&self, entry: ProcessId) -> usize {
        self.idle.values().filter(|idle| idle.entry == entry).count()
    }

    /// Counts the running tasks of an entry.
    pub(crate) fn running_of(&self, entry: ProcessId) -> usize {
        self.running.values().filter(|task| task.entry == entry).count()
    }

    /// Reports whether anything of an entry is left to report.
    pub(crate) fn has_tasks_of(&self, entry: ProcessId) -> bool {
        self.running_of(entry) > 0 || self.results.values().any(|kept| kept.entry == entry)
    }
}

fn owned(own: bool, fate: Fate) -> Fate {
    if own { fate } else { Fate::Forgotten }
}
