//! Duties of the leader: leases, late versions and the view of the entries.

use std::time::{Duration, Instant, SystemTime};

use chestnutfork_raft::Proposal;
use chestnutfork_register::View;
use chestnutfork_types::ProcessId;

use crate::core::ControlCore;
use crate::message::{EntryInfo, Notice, Output, ViewRecord};
use crate::state_machine::Command;

/// Added to the leader's clock for the floor of a view after too many entries were lost.
///
/// It covers ids up to 2 s ahead of an entry's clock, and a skew of 10 s between clocks.
const FLOOR_MARGIN: Duration = Duration::from_secs(12);
/// Number of proposals that nobody waits for.
const INTERNAL_REQUEST_ID: u64 = 0;

impl ControlCore {
    pub(crate) fn run_leader_maintenance(&mut self, now: Instant, wall: SystemTime) {
        self.expire_leases(now);
        self.report_late_rollout(now);
        self.propose_view(wall);
    }

    fn expire_leases(&mut self, now: Instant) {
        for lease in self.leases.expire(now) {
            let name = lease.info.name;
            let is_entry = lease.is_entry;
            self.outputs
                .push(Output::Notice(Notice::NodeLost { name, is_entry }));
        }
    }

    fn report_late_rollout(&mut self, now: Instant) {
        let Some((version, behind)) = self.leases.take_late_rollout(now) else {
            return;
        };
        let first = behind
            .first()
            .map_or_else(String::new, |lease| lease.info.name.clone());
        let behind = behind.len() as u64;
        let notice = Notice::RolloutLate {
            version,
            behind,
            first,
        };
        self.outputs.push(Output::Notice(notice));
    }

    /// Proposes the next view if the entries with a lease differ from the present one.
    ///
    /// A proposal that is not committed yet is proposed again; only one view of a number takes effect.
    fn propose_view(&mut self, wall: SystemTime) {
        let entries: Vec<EntryInfo> = self.leases.entries().map(|lease| lease.info.clone()).collect();
        let alive: Vec<ProcessId> = entries.iter().map(|info| info.process).collect();
        let Some(view) = self.next_view(wall, &alive) else {
            return;
        };
        let in_view =
            |info: &EntryInfo| view.members.contains(&info.process) || view.learners.contains(&info.process);
        let entries = entries.into_iter().filter(in_view).collect();
        self.log_view(&view, &alive);
        let command = Command::View(ViewRecord { view, entries }).to_bytes();
        let id = INTERNAL_REQUEST_ID;
        self.propose(Proposal { id, command });
    }

    fn log_view(&mut self, view: &View, alive: &[ProcessId]) {
        let notice = Notice::ViewProposed {
            view: view.number,
            members: view.members.len() as u64,
        };
        self.outputs.push(Output::Notice(notice));
        let Some(old) = self.state.view.as_ref().map(|record| &record.view) else {
            return;
        };
        let Some(floor) = view.floor.filter(|&floor| Some(floor) != old.floor) else {
            return;
        };
        let survivors = old.survivors.iter().filter(|id| alive.contains(id)).count();
        let quorum = old.settled_size / 2 + 1;
        let notice = Notice::ViewFloorRaised {
            view: view.number,
            survivors: survivors as u64,
            needed: (old.settled_size - quorum + 1) as u64,
            floor_ms: u64::try_from(floor.as_millis()).unwrap_or(u64::MAX),
        };
        self.outputs.push(Output::Notice(notice));
    }

    fn next_view(&self, wall: SystemTime, alive: &[ProcessId]) -> Option<View> {
        let since_epoch = wall
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        let Some(record) = &self.state.view else {
            return (!alive.is_empty()).then(|| View::initial(1, alive.to_vec()));
        };
        let number = record.view.number;
        let synced = self.leases.entries().filter(|lease| lease.synced >= number);
        let synced: Vec<ProcessId> = synced.map(|lease| lease.info.process).collect();
        record.view.next(alive, &synced, since_epoch + FLOOR_MARGIN)
    }
}
