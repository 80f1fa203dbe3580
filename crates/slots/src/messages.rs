//! Messages of entries: demand, returned credits, dispatches, cancellations, resolutions and acknowledgements.

use std::time::Duration;

use chestnutfork_types::{
    AgentToEntry, AttemptOutcome, CreditId, Dispatch, EntryToAgent, ProcessId, RefusalReason, Resolution,
    TaskResult,
};

use crate::core::AgentCore;
use crate::event::Action;
use crate::ledger::{CreditState, RunningTask};

impl AgentCore {
    pub(crate) fn on_message(&mut self, entry: ProcessId, message: EntryToAgent, actions: &mut Vec<Action>) {
        let Some(state) = self.entries.get_mut(&entry).filter(|state| state.connected) else {
            return;
        };
        match message {
            EntryToAgent::Demand { waiting } => {
                state.waiting = waiting;
                state.unmet_demand = waiting;
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

    /// Removes returned credits.
    ///
    /// An entry returns fewer credits than were recalled only if it has no more. Any other credit that was issued to it
    /// before the recall and is still idle here was lost, and is voided so that its slot can be used.
    fn on_return(&mut self, entry: ProcessId, credits: &[CreditId]) {
        let recall = self.entries.get_mut(&entry).and_then(|state| state.recall.take());
        if let Some(recall) = recall
            && credits.len() < recall.count
        {
            let idle = &mut self.ledger.idle;
            idle.retain(|&credit, idle| idle.entry != entry || credit > recall.last_issued);
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
        // A dispatch uses up its credit even if it is refused, so that both sides count the same credits.
        if self.ledger.state(entry, credit) == CreditState::Idle {
            self.ledger.idle.swap_remove(&credit);
        }
        if let Some(reason) = refused {
            let message = AgentToEntry::Refused { credit, reason };
            actions.push(Action::Send { entry, message });
            return;
        }
        let running = RunningTask {
            entry,
            cancelled: false,
        };
        self.ledger.running.insert(credit, running);
        actions.push(Action::Start { entry, dispatch });
    }

    fn refuse_reason(&self, entry: ProcessId, dispatch: &Dispatch) -> Option<RefusalReason> {
        let leaving = self.draining || self.target.as_ref().is_some_and(|target| target.leaving);
        match self.ledger.state(entry, dispatch.credit) {
            CreditState::Idle => {}
            CreditState::Voided if leaving => return Some(RefusalReason::Leaving),
            _ => return Some(RefusalReason::InvalidCredit),
        }
        if dispatch.remaining.is_zero() {
            return Some(RefusalReason::Expired);
        }
        let config = self.config.as_ref();
        let unconfirmed =
            config.is_none_or(|config| !config.confirmed && config.refusing.contains(&dispatch.service));
        unconfirmed.then_some(RefusalReason::Unconfirmed)
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

    /// Reports the state of a dispatch to its entry.
    ///
    /// The credit of a dispatch that has not started is voided, so that the dispatch can never start afterwards.
    fn on_resolve(&mut self, entry: ProcessId, credit: CreditId, actions: &mut Vec<Action>) {
        let resolution = match self.ledger.state(entry, credit) {
            CreditState::Idle => {
                self.ledger.idle.swap_remove(&credit);
                Resolution::NeverStarted
            }
            CreditState::Voided => Resolution::NeverStarted,
            CreditState::Running => Resolution::Started,
            CreditState::Finished => Resolution::Finished(self.ledger.results[&credit].result.clone()),
            CreditState::Unknown => Resolution::Finished(unknown_result(credit)),
        };
        let message = AgentToEntry::Resolved { credit, resolution };
        actions.push(Action::Send { entry, message });
    }

    fn on_ack(&mut self, entry: ProcessId, credits: &[CreditId]) {
        for &credit in credits {
            if self.ledger.state(entry, credit) == CreditState::Finished {
                self.ledger.drop_result(credit, self.settings.max_ended);
            }
        }
    }
}

/// Returns the result of a task whose actual result was dropped before the entry requested it.
fn unknown_result(credit: CreditId) -> TaskResult {
    TaskResult {
        credit,
        outcome: AttemptOutcome::Unknown {
            reason: "the agent no longer holds the result; raise `result_retention`".into(),
        },
        run_time: Duration::ZERO,
        next_credit: None,
    }
}
