//! Messages to entries: ended attempts, heartbeats, load reports and descriptions of the worker.

use std::time::{Duration, Instant};

use chestnutfork_types::{
    EndedRun, LinkNumber, ProcessId, Resources, RunOutcome, TaskKey, WorkerDescription, WorkerLoad,
    WorkerToEntry,
};

use crate::core::WorkerCore;
use crate::event::Action;
use crate::health::run_time_ratio;
use crate::session::Session;

/// Divisor of the capacity that gives the free amount below which capacity is scarce and load changes are reported between
/// heartbeats.
const SCARCE_DIVISOR: u64 = 3;
/// Divisor of the capacity that gives the smallest change reported between heartbeats, which is less than one task.
const REPORTED_CHANGE_DIVISOR: u64 = 16;
/// Time beyond a heartbeat interval after which an entry without a recent acknowledgement counts as overloaded and receives
/// heartbeats only.
const ACKNOWLEDGEMENT_SLACK: Duration = Duration::from_millis(50);

impl WorkerCore {
    /// Reports ended runs to the connected entries.
    pub(crate) fn send_reports(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = self
            .owners
            .iter()
            .filter(|(entry, owner)| owner.outbox.iter().any(|ended| !self.can_defer(*entry, ended)));
        let waiting: Vec<(LinkNumber, ProcessId)> = due
            .filter_map(|(entry, owner)| Some((owner.link?, entry)))
            .collect();
        for (link, entry) in waiting {
            let load = self.load(now, entry);
            let ended = self.owners.take_outbox(entry);
            self.owners.record_report(entry, now, load.share);
            actions.push(Action::ToEntry(link, WorkerToEntry::Ended(ended, load)));
        }
    }

    /// Returns whether a completed run can be reported later: other runs of its step are in progress here, so the entry
    /// cannot proceed before their ends, which are reported with it.
    fn can_defer(&self, entry: ProcessId, ended: &EndedRun) -> bool {
        let TaskKey { job, step, .. } = ended.key.task;
        let mut others = self.runs.values();
        ended.outcome == RunOutcome::Completed
            && others.any(|run| {
                let task = run.key.task;
                run.owner == entry && task.job == job && task.step == step && !run.is_stopping()
            })
    }

    pub(crate) fn send_heartbeats(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = now >= self.heartbeat_at;
        let changed = self.load_changed() && now >= self.load_report_at;
        if !due && !changed {
            return;
        }
        self.load_report_at = now + self.cfg.load_report_interval;
        self.reported_free = self.free();
        self.share_rotation += 1;
        let number = due.then(|| {
            self.heartbeat_at = now + self.cfg.heartbeat_interval;
            self.owners.next_heartbeat(now)
        });
        let links: Vec<(LinkNumber, ProcessId)> = self
            .owners
            .iter()
            .filter_map(|(entry, owner)| Some((owner.link?, entry)))
            .collect();
        if number.is_some() {
            self.send_interference(now, actions);
        }
        let limit = self.cfg.heartbeat_interval + ACKNOWLEDGEMENT_SLACK;
        for (link, entry) in links {
            if number.is_none() && !self.owners.has_acknowledged_within(entry, now, limit) {
                continue;
            }
            let mut load = self.load(now, entry);
            if number.is_none() && !self.owners.is_report_due(entry, now, load.share) {
                continue;
            }
            self.owners.record_report(entry, now, load.share);
            load.demand = number.and_then(|_| self.demand.sum_for(now, entry));
            let message = number.map_or(WorkerToEntry::Load(load), |number| {
                WorkerToEntry::Heartbeat(number, load)
            });
            actions.push(Action::ToEntry(link, message));
        }
    }

    /// Returns whether the load has changed enough to affect the placement decisions of entries.
    ///
    /// The report of an ended run includes the load, so its entry already knows the freed capacity. Only larger changes
    /// justify a report to all entries.
    pub(crate) fn load_changed(&self) -> bool {
        let Some(session) = self.session.as_ref() else {
            return false;
        };
        let capacity = session.worker.description.capacity.cpu_millis;
        let (free, reported) = (self.free(), self.reported_free);
        let scarce = self.is_scarce(free) || self.is_scarce(reported);
        scarce && free.cpu_millis.abs_diff(reported.cpu_millis) >= capacity / REPORTED_CHANGE_DIVISOR
    }

    /// Returns whether so little capacity is free that entries could fill it twice between two heartbeats.
    pub(crate) fn is_scarce(&self, free: Resources) -> bool {
        let session = self.session.as_ref();
        session.is_some_and(|session| {
            free.cpu_millis < session.worker.description.capacity.cpu_millis / SCARCE_DIVISOR
        })
    }

    pub(crate) fn free(&self) -> Resources {
        let capacity = self
            .session
            .as_ref()
            .map(|session| session.worker.description.capacity);
        let used = self.runs.values().map(|run| run.resources);
        let used = used.fold(Resources::default(), Resources::saturating_add);
        capacity.unwrap_or_default().saturating_sub(used)
    }

    pub(crate) fn load(&mut self, now: Instant, entry: ProcessId) -> WorkerLoad {
        let started = self.runs.values().filter(|run| run.started_at.is_some());
        let known = started.filter(|run| !run.declared_run_time.is_zero());
        let mut in_progress: Vec<f64> = known
            .map(|run| run_time_ratio(run.run_time(now), run.declared_run_time))
            .collect();
        let waiting = self.runs.values().filter(|run| run.is_waiting()).count();
        let last_order = self.owners.get_mut(entry).map_or(0, |owner| owner.last_order);
        let session = self.session.as_ref();
        let health = session.map(|session| session.health).unwrap_or_default();
        WorkerLoad {
            free: self.free(),
            share: self.share(now, entry),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            run_time_permille: health.run_time_permille(&mut in_progress),
            failure_permille: health.failure_permille(now),
            available: session.is_some_and(|session| session.available && session.is_announced()),
            last_order,
            demand: None,
        }
    }

    pub(crate) fn description(&self) -> WorkerDescription {
        let session = self.session.as_ref();
        let mut description = session
            .map(|session| session.worker.description.clone())
            .unwrap_or_default();
        description.leaving |= self.draining || session.is_some_and(Session::is_withdrawn);
        // Entries, also those that do not know of the evacuation, place nothing on a worker that is leaving.
        description.leaving |= self.is_evacuated();
        description.stores_losses = true;
        description.reads_resources = true;
        description.reads_time_limits = true;
        description.reads_end_limits = true;
        description.reads_demand = true;
        description
    }

    /// Returns the first message to an entry: the description of the worker and its recent crashes.
    pub(crate) fn describe(&self, now: Instant) -> WorkerToEntry {
        WorkerToEntry::Describe(self.description(), self.crashes.reports(now))
    }

    pub(crate) fn broadcast_description(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let message = self.describe(now);
        self.crashes.mark_reported();
        let links = self.owners.iter().filter_map(|(_, owner)| owner.link);
        actions.extend(links.map(|link| Action::ToEntry(link, message.clone())));
    }
}
