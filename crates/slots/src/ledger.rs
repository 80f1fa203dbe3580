//! Tables of idle credits, running tasks, unacknowledged results and ended tasks.
//!
//! A credit id is in at most one table at a time. For an id at or below `floor` that is in no table, the ledger cannot
//! tell whether its task was started.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_types::{CreditId, ProcessId, TaskResult};
use indexmap::{IndexMap, IndexSet};

/// Issued credit that is not used yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleCredit {
    pub(crate) entry: ProcessId,
    pub(crate) expires: Instant,
}

/// Task that runs at the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningTask {
    pub(crate) entry: ProcessId,
    pub(crate) cancelled: bool,
}

/// Unacknowledged result.
#[derive(Clone, Debug)]
pub(crate) struct PendingResult {
    pub(crate) entry: ProcessId,
    pub(crate) result: TaskResult,
    pub(crate) expires: Instant,
}

/// State of a credit from the point of view of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CreditState {
    Idle,
    Running,
    Finished,
    /// The task ended and its result is dropped, the credit is too old to tell, or it does not belong to the entry.
    Unknown,
    /// The credit was returned or voided before a task used it.
    Voided,
}

/// Credits of one agent incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) idle: IndexMap<CreditId, IdleCredit>,
    pub(crate) running: IndexMap<CreditId, RunningTask>,
    pub(crate) results: IndexMap<CreditId, PendingResult>,
    pub(crate) ended: IndexSet<CreditId>,
    /// Elements of `ended` in order of insertion, for eviction in constant time.
    pub(crate) ended_order: VecDeque<CreditId>,
    /// Largest id that was evicted from `ended`.
    pub(crate) floor: CreditId,
    pub(crate) last_issued: CreditId,
}

impl Ledger {
    pub(crate) fn issue(&mut self, entry: ProcessId, expires: Instant) -> CreditId {
        self.last_issued += 1;
        self.idle.insert(self.last_issued, IdleCredit { entry, expires });
        self.last_issued
    }

    /// Returns the number of slots that idle credits and running tasks occupy.
    pub(crate) fn used_slots(&self) -> usize {
        self.idle.len() + self.running.len()
    }

    /// Returns the state of a credit of `entry`; a credit of another entry is `Unknown`.
    pub(crate) fn state(&self, entry: ProcessId, credit: CreditId) -> CreditState {
        if let Some(idle) = self.idle.get(&credit) {
            return if_owned(idle.entry == entry, CreditState::Idle);
        }
        if let Some(running) = self.running.get(&credit) {
            return if_owned(running.entry == entry, CreditState::Running);
        }
        if let Some(pending) = self.results.get(&credit) {
            return if_owned(pending.entry == entry, CreditState::Finished);
        }
        let may_have_run = credit <= self.floor || credit > self.last_issued || self.ended.contains(&credit);
        if_owned(!may_have_run, CreditState::Voided)
    }

    /// Drops a result and records that its task has ended.
    pub(crate) fn drop_result(&mut self, credit: CreditId, max_ended: usize) {
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

    /// Returns the result that expires first, and its expiry time.
    pub(crate) fn oldest_result(&self) -> Option<(CreditId, Instant)> {
        let oldest = self.results.iter().min_by_key(|(_, pending)| pending.expires);
        oldest.map(|(&credit, pending)| (credit, pending.expires))
    }

    /// Stores a result until it is acknowledged or `retention` has passed.
    pub(crate) fn add_result(
        &mut self,
        now: Instant,
        entry: ProcessId,
        result: TaskResult,
        retention: Duration,
    ) {
        let expires = now + retention;
        self.results.insert(
            result.credit,
            PendingResult {
                entry,
                result,
                expires,
            },
        );
    }

    pub(crate) fn void_credits_of(&mut self, entry: ProcessId) {
        self.idle.retain(|_, idle| idle.entry != entry);
    }

    pub(crate) fn idle_count(&self, entry: ProcessId) -> usize {
        self.idle.values().filter(|idle| idle.entry == entry).count()
    }

    pub(crate) fn running_count(&self, entry: ProcessId) -> usize {
        self.running.values().filter(|task| task.entry == entry).count()
    }

    /// Reports whether an entry has running tasks or unacknowledged results.
    pub(crate) fn has_tasks_of(&self, entry: ProcessId) -> bool {
        self.running_count(entry) > 0 || self.results.values().any(|pending| pending.entry == entry)
    }
}

fn if_owned(own: bool, state: CreditState) -> CreditState {
    if own { state } else { CreditState::Unknown }
}
