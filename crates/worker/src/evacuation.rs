//! Evacuation of the worker's failure domain: nothing more is started, and runs in progress are left to finish.

use std::time::{Duration, Instant};

use chestnutfork_evacuation::Evacuations;

use crate::core::WorkerCore;
use crate::event::{Action, Notice};

/// Reason of refusals in an evacuated domain.
pub(crate) const EVACUATED: &str = "the failure domain is evacuated";

impl WorkerCore {
    /// Returns whether the failure domain of the worker is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        let session = self.session.as_ref();
        session.is_some_and(|session| {
            let domain = &session.worker.description.failure_domain;
            self.evacuations.is_evacuated(domain)
        })
    }

    pub(crate) fn on_evacuations(
        &mut self,
        now: Instant,
        state: Evacuations,
        age: Duration,
        actions: &mut Vec<Action>,
    ) {
        let before = self.is_evacuated();
        let Some(change) = self.evacuations.update(now, state.clone()) else {
            return;
        };
        let refused = self.return_queued_if_evacuated(now, actions);
        actions.push(Action::Notice(Notice::EvacuationsInForce {
            state,
            change,
            refused,
            age,
        }));
        if self.is_evacuated() != before {
            self.broadcast_description(now, actions);
        }
    }

    /// Returns the queued tasks as not started if the domain is evacuated, and their number.
    ///
    /// A task can also be queued during the evacuation, when the worker refuses a start that could be tried again.
    pub(crate) fn return_queued_if_evacuated(&mut self, now: Instant, actions: &mut Vec<Action>) -> u64 {
        if !self.is_evacuated() {
            return 0;
        }
        let queued = self.runs.values().filter(|run| run.is_waiting()).count();
        self.refuse_waiting(now, EVACUATED, actions);
        queued as u64
    }
}
