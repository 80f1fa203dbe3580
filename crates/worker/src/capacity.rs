//! Capacity of the worker, which may change while it runs: runs continue when it shrinks, and starts wait for room.

use std::time::Instant;

use chestnutfork_types::{Resources, TaskKey};

use crate::core::WorkerCore;
use crate::event::Action;
use crate::run::Run;

impl WorkerCore {
    /// Returns the capacity that the worker announced last.
    pub(crate) fn capacity(&self) -> Resources {
        let session = self.session.as_ref();
        session.map_or_else(Resources::default, |session| session.worker.description.capacity)
    }

    /// Returns the capacity that started runs use, including runs that are being stopped.
    pub(crate) fn used(&self) -> Resources {
        let started = self.runs.values().filter(|run| !run.is_waiting());
        started.fold(Resources::default(), |sum, run| sum.saturating_add(run.resources))
    }

    /// Records by how much the runs in progress exceed the capacity, after it has been announced or a run was taken over.
    pub(crate) fn record_excess(&mut self) {
        self.excess = self.used().saturating_sub(self.capacity());
    }

    /// Lowers the recorded excess after the end of a run, so that no start can use the capacity that is missing.
    pub(crate) fn lower_excess(&mut self) {
        if self.excess != Resources::default() {
            let current = self.used().saturating_sub(self.capacity());
            self.excess = Resources {
                cpu_millis: self.excess.cpu_millis.min(current.cpu_millis),
                memory_mb: self.excess.memory_mb.min(current.memory_mb),
                gpus: self.excess.gpus.min(current.gpus),
            };
        }
    }

    /// Refuses waiting runs that need more than the whole capacity; the most urgent one would keep all others from
    /// starting.
    pub(crate) fn refuse_oversized(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.session.is_none() {
            return;
        }
        let capacity = self.capacity();
        let oversized = |run: &&Run| run.is_waiting() && !run.resources.fits_within(capacity);
        let tasks: Vec<TaskKey> = self
            .runs
            .values()
            .filter(oversized)
            .map(|run| run.key.task)
            .collect();
        for task in tasks {
            let reason = "the task needs more than the capacity of the worker";
            self.refuse_run(now, task, reason, actions);
        }
    }
}
