//! What runs side by side on the worker, and the reports to entries about kinds of tasks that slow each other down.

use std::time::{Duration, Instant};

use chestnutfork_interference::{Evidence, Observer};
use chestnutfork_types::{
    InterferenceReport, KindId, LinkNumber, PairEvidence, ProcessId, RunOutcome, TaskKey, WorkerToEntry,
};
use indexmap::IndexMap;

use crate::core::WorkerCore;
use crate::event::Action;

/// Interval between reports of the evidence of pairs, which changes once in a window of several seconds.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a kind is watched after the latest order that asks for it.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Maximum number of watched kinds.
const MAX_WATCHED: usize = 64;
/// Maximum number of kinds whose running tasks are reported.
const MAX_REPORTED_KINDS: usize = 16;

/// Observation of the worker's runs by the kinds of their tasks.
#[derive(Debug)]
pub(crate) struct Sharing {
    observer: Observer,
    evidence: Evidence,
    /// Kinds that entries ask for, and until when.
    watched: IndexMap<KindId, Instant>,
    evidence_at: Instant,
}

impl Sharing {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            observer: Observer::new(now),
            evidence: Evidence::new(now),
            watched: IndexMap::new(),
            evidence_at: now,
        }
    }

    /// Records that an entry asks for reports on kinds.
    pub(crate) fn watch(&mut self, now: Instant, kinds: &[KindId]) {
        for &kind in kinds {
            if self.watched.len() < MAX_WATCHED || self.watched.contains_key(&kind) {
                self.watched.insert(kind, now + WATCH_TIME);
            }
        }
    }

    /// Removes a run that has ended; only one that completed shows a run time.
    pub(crate) fn on_end(&mut self, now: Instant, task: TaskKey, outcome: RunOutcome) {
        let record = self.observer.on_end(now, task);
        let completed = record.filter(|run| outcome == RunOutcome::Completed && !run.declared.is_zero());
        if let Some(run) = completed {
            self.evidence.record(now, &run);
        }
    }

    /// Returns the evidence of pairs if a report of it is due.
    fn due_evidence(&mut self, now: Instant) -> Option<Vec<PairEvidence>> {
        if now < self.evidence_at {
            return None;
        }
        self.evidence_at = now + EVIDENCE_INTERVAL;
        self.watched.retain(|_, until| now < *until);
        let watched = &self.watched;
        Some(self.evidence.report(now, |kind| watched.contains_key(&kind)))
    }

    /// Returns the numbers of running tasks of the kinds that may interfere with others.
    fn running(&self) -> Vec<(KindId, u32)> {
        let relevant = self
            .observer
            .running()
            .filter(|(kind, _)| self.watched.contains_key(kind) || self.evidence.is_suspected(*kind));
        relevant.take(MAX_REPORTED_KINDS).collect()
    }
}

impl WorkerCore {
    /// Records the start of a run whose order states its kind.
    pub(crate) fn observe_start(&mut self, now: Instant, task: TaskKey) {
        let Some((kind, declared)) = self
            .runs
            .get(&task)
            .and_then(|run| Some((run.kind?, run.declared_run_time)))
        else {
            return;
        };
        let capacity = self.session.as_ref();
        let capacity = capacity.map_or(0, |session| session.worker.description.capacity.cpu_millis);
        let others = self
            .runs
            .iter()
            .filter(|(other, run)| **other != task && !run.is_waiting());
        let used: u64 = others.map(|(_, run)| run.resources.cpu_millis).sum();
        let utilisation = fraction(used, capacity);
        self.sharing
            .observer
            .on_start(now, task, kind, declared, utilisation);
    }

    /// Reports interference to the entries that read it, unless there is none now and was none in the report before.
    pub(crate) fn send_interference(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let readers = self.owners.iter().filter(|(_, owner)| owner.reads_interference);
        let readers: Vec<(LinkNumber, ProcessId)> = readers
            .filter_map(|(entry, owner)| Some((owner.link?, entry)))
            .collect();
        if readers.is_empty() {
            return;
        }
        let pairs = self.sharing.due_evidence(now);
        let running = self.sharing.running();
        let has_pairs = pairs.as_ref().is_some_and(|pairs| !pairs.is_empty());
        for (link, entry) in readers {
            let Some(owner) = self.owners.get_mut(entry) else {
                continue;
            };
            let any = has_pairs || !running.is_empty();
            if !any && !owner.reported_interference {
                continue;
            }
            // An empty report takes back the one before, once it covers the pairs as well.
            owner.reported_interference = any || pairs.is_none();
            let report = InterferenceReport {
                pairs: pairs.clone(),
                running: running.clone(),
            };
            actions.push(Action::ToEntry(link, WorkerToEntry::Interference(report)));
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a share of a worker's capacity needs no exact digits"
)]
fn fraction(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
