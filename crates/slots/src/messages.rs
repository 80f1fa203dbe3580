//! Messages of entries: dispatches, demand, cancellation and the questions after a lost link.

use std::time::Duration;

use chestnutfork_types::{
    AgentToEntry, AttemptOutcome, CreditId, Dispatch, EntryToAgent, ProcessId, RefuseReason, Resolution,
    TaskResult,
};

use crate::core::AgentCore;
use crate::event::Action;
use crate::ledger::{Fate, Running};

impl AgentCore {
    pub(crate) fn on_message(&mut self, entry: ProcessId, message: EntryToAgent, actions: &mut Vec<Action>) {
        let Some(state) = self.entries.get_mut(&entry).filter(|state| state.connected) else {
            return;
        };
        match message {
            EntryToAgent::Demand { waiting } => {
                state.waiting = waiting;
                state.unmet = waiting;
            }
            EntryToAgent::Return { credits } => self.on_return(entry, &credits),
            EntryToAgent::Dispatch(dispatch) => self.on_dispatch(entry, dispatch, actions),
            EntryToAgent::Cancel { credit } => self.on_cancel(entry, credit, actions),
            EntryToAgent::Resolve { credits } => {
                for credit in credits {
                    self.on_resolve(entry, credit, actions);
                }
            }
            EntryToAgent::Ack { credits } => self.on_ack(entry, &credits),
        }
    }

    /// Takes back credits.
    ///
    /// An entry returns less than was recalled only if it holds no more. Credits issued before that recall that are
    /// still idle here are then lost, and their slots would stay unused.
    fn on_return(&mut self, entry: ProcessId, credits: &[CreditId]) {
        let recall = self.entries.get_mut(&entry).and_then(|state| state.recall.take());
        if let Some(recall) = recall
            && credits.len() < recall.count
        {
            let idle = &mut self.ledger.idle;
            idle.retain(|&credit, idle| idle.entry != entry || credit > recall.last);
        }
        for credit in credits {
            if self
                .ledger
                .idle
                .get(credit)
                .is_some_and(|idle| idle.entry == entry)
            {
                self.ledger.idle.swap_remove(credit);
            }
        }
    }

    fn on_dispatch(&mut self, entry: ProcessId, dispatch: Dispatch, actions: &mut Vec<Action>) {
        let credit = dispatch.credit;
        let refused = self.refuse_reason(entry, &dispatch);
        // A dispatch spends its credit whether it starts or not, so that both sides count the same.
        if self.ledger.fate(entry, credit) == Fate::Idle {
            self.ledger.idle.swap_remove(&credit);
        }
        if let Some(reason) = refused {
            let message = AgentToEntry::Refused { credit, reason };
            actions.push(Action::Send { entry, message });
            return;
        }
        let running = Running {
            entry,
            cancelled: false,
        };
        self.ledger.running.insert(credit, running);
        actions.push(Action::Start { entry, dispatch });
    }

    fn refuse_reason(&self, entry: ProcessId, dispatch: &Dispatch) -> Option<RefuseReason> {
        let leaving = self.draining || self.target.as_ref().is_some_and(|target| target.leaving);
        match self.ledger.fate(entry, dispatch.credit) {
            Fate::Idle => {}
            Fate::Unused if leaving => return Some(RefuseReason::Leaving),
            _ => return Some(RefuseReason::NoCredit),
        }
        if dispatch.remaining.is_zero() {
            return Some(RefuseReason::Expired);
        }
        let config = self.config.as_ref();
        let unconfirmed =
            config.is_none_or(|config| !config.confirmed && config.refusing.contains(&dispatch.service));
        unconfirmed.then_some(RefuseReason::Unconfirmed)
    }

    fn on_cancel(&mut self, entry: ProcessId, credit: CreditId, actions: &mut Vec<Action>) {
        let Some(task) = self.ledger.running.get_mut(&credit) else {
            return;
        };
        if task.entry == entry && !task.cancelled {
            task.cancelled = true;
            actions.push(Action::Stop { credit });
        }
    }

    /// Answers what became of a dispatch; one that did not start can never start afterwards.
    fn on_resolve(&mut self, entry: ProcessId, credit: CreditId, actions: &mut Vec<Action>) {
        let state = match self.ledger.fate(entry, credit) {
            Fate::Idle => {
                self.ledger.idle.swap_remove(&credit);
                Resolution::NeverStarted
            }
            Fate::Unused => Resolution::NeverStarted,
            Fate::Running => Resolution::Started,
            Fate::Finished => Resolution::Finished(self.ledger.results[&credit].result.clone()),
            Fate::Forgotten => Resolution::Finished(forgotten_result(credit)),
        };
        let message = AgentToEntry::Resolved { credit, state };
        actions.push(Action::Send { entry, message });
    }

    fn on_ack(&mut self, entry: ProcessId, credits: &[CreditId]) {
        for &credit in credits {
            if self.ledger.fate(entry, credit) == Fate::Finished {
                self.ledger.forget(credit, self.settings.max_ended);
            }
        }
    }
}

/// Builds the result of a task whose real result was dropped before the entry asked for it.
fn forgotten_result(credit: CreditId) -> TaskResult {
    TaskResult {
        credit,
        outcome: AttemptOutcome::Unknown {
            reason: "the agent no longer holds the result; raise `result_retention`".into(),
        },
        run_time: Duration::ZERO,
        next: None,
    }
}
