//! Hedging: second attempts of tasks whose first attempt exceeds the hedging delay.

use chestnutfork_limits::Queued;
use chestnutfork_routing::AttemptEndKind;

use crate::sim::{Attempt, Event, QueuedTask, Sim, delay};

impl Sim<'_> {
    /// Queues a second copy of a task that is still running, if the budget allows it.
    pub(crate) fn on_hedge(&mut self, index: usize) {
        let Some(attempt) = &self.attempts[index] else {
            return;
        };
        let mut copy = attempt.queued.clone();
        copy.item.avoid_targets.push(attempt.target);
        let copies = self.states[copy.item.job].copies[copy.item.task];
        if copies == 1 && copy.deadline > self.now && self.budget.try_spend() {
            self.states[copy.item.job].copies[copy.item.task] += 1;
            self.queue.requeue(copy);
        }
    }

    /// Removes the queued copies of a completed task and cancels the running ones.
    pub(crate) fn cancel_copies(&mut self, completed: &Queued<QueuedTask>) {
        let (job, task) = (completed.item.job, completed.item.task);
        if self.states[job].copies[task] == 0 {
            return;
        }
        self.states[job].copies[task] = 0;
        let is_other = |queued: &QueuedTask| queued.job != job || queued.task != task;
        let mut removed = Vec::new();
        self.queue
            .retain_at(&completed.team, completed.deadline, is_other, &mut removed);
        let is_copy =
            |attempt: &Attempt| !is_other(&attempt.queued.item) && attempt.kind != AttemptEndKind::Cancelled;
        let is_running_copy = |slot: &Option<Attempt>| slot.as_ref().is_some_and(is_copy);
        if let Some(at) = self.attempts.iter().rposition(is_running_copy) {
            let mut attempt = self.attempts[at].take().expect("found just before");
            attempt.kind = AttemptEndKind::Cancelled;
            attempt.run_time = self.now + delay(attempt.target) - attempt.start;
            let freed = self.now + 2 * delay(attempt.target);
            self.schedule(freed, Event::Result(self.attempts.len()));
            self.attempts.push(Some(attempt));
        }
    }
}
