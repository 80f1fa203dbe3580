//! Verifier for the invariants of the agent core.

use chestnutfork_types::{CreditId, ProcessId};
use thiserror::Error;

use crate::core::AgentCore;

/// Violated invariant of the agent core; every violation is a bug.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Idle credits and running tasks occupy more slots than the target has.
    #[error("{idle} idle credits and {running} running tasks exceed {slots} slots; report this as a bug")]
    SlotsExceeded {
        /// Number of idle credits.
        idle: usize,
        /// Number of running tasks.
        running: usize,
        /// Number of slots of the target.
        slots: usize,
    },
    /// A credit is in more than one table.
    #[error("credit {credit} is in more than one table; report this as a bug")]
    CreditInSeveralTables {
        /// Affected credit.
        credit: CreditId,
    },
    /// A credit was never issued.
    #[error("credit {credit} was never issued; report this as a bug")]
    CreditNeverIssued {
        /// Affected credit.
        credit: CreditId,
    },
    /// An idle credit belongs to an entry that is not connected.
    #[error("idle credit belongs to entry {entry}, which is not connected; report this as a bug")]
    CreditWithoutLink {
        /// Entry that the credit was issued to.
        entry: ProcessId,
    },
    /// Idle credits exist although no task may be started.
    #[error("{idle} credits are idle although no task may start; report this as a bug")]
    CreditNotVoided {
        /// Number of idle credits.
        idle: usize,
    },
    /// The number of ended tasks or of results exceeds its limit, or the eviction order has another length.
    #[error("{len} ended tasks or results violate the bound of their table; report this as a bug")]
    TableExceedsBound {
        /// Number of ended tasks or of results.
        len: usize,
    },
}

impl AgentCore {
    /// Returns the violated invariants; the list is empty in a correct core.
    ///
    /// # Examples
    ///
    /// ```
    /// let core = chestnutfork_slots::AgentCore::builder("fd-1").build();
    /// assert!(core.verify().is_empty());
    /// ```
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.verify_slots(&mut violations);
        self.verify_credits(&mut violations);
        self.verify_bounds(&mut violations);
        violations
    }

    fn verify_slots(&self, violations: &mut Vec<Violation>) {
        let idle = self.ledger.idle.len();
        let running = self.ledger.running.len();
        let slots = self.usable_slots();
        if idle > 0 && !self.is_accepting() {
            violations.push(Violation::CreditNotVoided { idle });
        }
        // Running tasks alone may exceed the slots after the target announced fewer.
        if idle > 0 && idle + running > slots {
            violations.push(Violation::SlotsExceeded { idle, running, slots });
        }
    }

    fn verify_credits(&self, violations: &mut Vec<Violation>) {
        let ledger = &self.ledger;
        for (&credit, idle) in &ledger.idle {
            if ledger.running.contains_key(&credit) || ledger.results.contains_key(&credit) {
                violations.push(Violation::CreditInSeveralTables { credit });
            }
            if !self.entries.get(&idle.entry).is_some_and(|state| state.connected) {
                violations.push(Violation::CreditWithoutLink { entry: idle.entry });
            }
        }
        for &credit in ledger.running.keys() {
            if ledger.results.contains_key(&credit) {
                violations.push(Violation::CreditInSeveralTables { credit });
            }
        }
        for &credit in &ledger.ended {
            let live = ledger.idle.contains_key(&credit) || ledger.running.contains_key(&credit);
            if live || ledger.results.contains_key(&credit) {
                violations.push(Violation::CreditInSeveralTables { credit });
            }
        }
        let stored = ledger
            .idle
            .keys()
            .chain(ledger.running.keys())
            .chain(ledger.results.keys());
        for &credit in stored.filter(|&&credit| credit > ledger.last_issued || credit == 0) {
            violations.push(Violation::CreditNeverIssued { credit });
        }
    }

    fn verify_bounds(&self, violations: &mut Vec<Violation>) {
        let results = self.ledger.results.len();
        if results > self.settings.max_results {
            violations.push(Violation::TableExceedsBound { len: results });
        }
        let ended = self.ledger.ended.len();
        if ended > self.settings.max_ended || ended != self.ledger.ended_order.len() {
            violations.push(Violation::TableExceedsBound { len: ended });
        }
    }
}
