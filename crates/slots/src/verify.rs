//! Verifier of the agent core's invariants.

use chestnutfork_types::{CreditId, ProcessId};
use thiserror::Error;

use crate::core::AgentCore;

/// Invariant of the agent core that does not hold; every violation is a bug to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Credits and running tasks take up more than the slots.
    #[error("{idle} idle credits and {running} running tasks exceed {slots} slots; report this as a bug")]
    SlotsExceeded {
        /// Idle credits.
        idle: usize,
        /// Running tasks.
        running: usize,
        /// Slots of the target.
        slots: usize,
    },
    /// A credit is in two tables.
    #[error("credit {credit} is in more than one state; report this as a bug")]
    CreditInSeveralTables {
        /// Id of the credit.
        credit: CreditId,
    },
    /// A credit was never issued.
    #[error("credit {credit} was never issued; report this as a bug")]
    CreditNeverIssued {
        /// Id of the credit.
        credit: CreditId,
    },
    /// An idle credit belongs to an entry that is not connected.
    #[error("idle credit belongs to entry {entry}, which is not connected; report this as a bug")]
    CreditWithoutLink {
        /// Owner of the credit.
        entry: ProcessId,
    },
    /// Idle credits exist although no task may start.
    #[error("{idle} credits are idle although no task may start; report this as a bug")]
    CreditNotVoided {
        /// Idle credits.
        idle: usize,
    },
    /// A table exceeds its bound.
    #[error("table of {len} ended tasks or results exceeds its bound; report this as a bug")]
    TableExceedsBound {
        /// Size of the table.
        len: usize,
    },
}

impl AgentCore {
    /// Lists the invariants that do not hold; the list is empty in a correct core.
    ///
    /// # Examples
    ///
    /// ```
    /// let core = chestnutfork_slots::AgentCore::builder("fd-1").build();
    /// assert!(core.verify().is_empty());
    /// ```
    #[must_use]
    pub fn verify(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        self.verify_slots(&mut found);
        self.verify_credits(&mut found);
        self.verify_bounds(&mut found);
        found
    }

    fn verify_slots(&self, found: &mut Vec<Violation>) {
        let idle = self.ledger.idle.len();
        let running = self.ledger.running.len();
        let slots = self.live_slots();
        if idle > 0 && !self.is_accepting() {
            found.push(Violation::CreditNotVoided { idle });
        }
        // Running tasks alone may exceed the slots after the target announced fewer.
        if idle > 0 && idle + running > slots {
            found.push(Violation::SlotsExceeded { idle, running, slots });
        }
    }

    fn verify_credits(&self, found: &mut Vec<Violation>) {
        let ledger = &self.ledger;
        for (&credit, idle) in &ledger.idle {
            if ledger.running.contains_key(&credit) || ledger.results.contains_key(&credit) {
                found.push(Violation::CreditInSeveralTables { credit });
            }
            if !self.entries.get(&idle.entry).is_some_and(|state| state.connected) {
                found.push(Violation::CreditWithoutLink { entry: idle.entry });
            }
        }
        for &credit in ledger.running.keys() {
            if ledger.results.contains_key(&credit) {
                found.push(Violation::CreditInSeveralTables { credit });
            }
        }
        for &credit in &ledger.ended {
            let live = ledger.idle.contains_key(&credit) || ledger.running.contains_key(&credit);
            if live || ledger.results.contains_key(&credit) {
                found.push(Violation::CreditInSeveralTables { credit });
            }
        }
        let known = ledger
            .idle
            .keys()
            .chain(ledger.running.keys())
            .chain(ledger.results.keys());
        for &credit in known.filter(|&&credit| credit > ledger.last || credit == 0) {
            found.push(Violation::CreditNeverIssued { credit });
        }
    }

    fn verify_bounds(&self, found: &mut Vec<Violation>) {
        let results = self.ledger.results.len();
        if results > self.settings.max_results {
            found.push(Violation::TableExceedsBound { len: results });
        }
        let ended = self.ledger.ended.len();
        if ended > self.settings.max_ended || ended != self.ledger.ended_order.len() {
            found.push(Violation::TableExceedsBound { len: ended });
        }
    }
}
