//! Copying of records after a view change, in chunks of bounded size.
//!
//! Learners and all members of an unsettled view copy from the survivors of the last settled view. A survivor replies
//! only in its current view, where it no longer grants claims of earlier views, so a copy contains every claim that it
//! granted before. Later copies contain only records that changed since.

use std::time::Instant;

use chestnutfork_types::{JobId, ProcessId};
use indexmap::IndexMap;

use crate::event::Action;
use crate::message::{PeerMessage, Record};
use crate::register::{Register, Resend};

/// Copy in progress.
#[derive(Clone, Debug)]
pub(crate) struct SyncState {
    /// Survivors whose records are not completely copied.
    pub(crate) sources: IndexMap<ProcessId, Resend>,
}

impl Register {
    /// Starts to copy if the installed view requires it of this entry.
    pub(crate) fn start_sync(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        self.sync = None;
        self.synced = None;
        let resend = self.first_resend(now);
        let Some(view) = &self.view else {
            return;
        };
        let is_member = view.members.contains(&me);
        let must_copy = view.learners.contains(&me) || (is_member && !view.settled);
        if !must_copy {
            return;
        }
        let survivors = view.survivors.iter().filter(|&&peer| peer != me);
        let sources: IndexMap<_, _> = survivors.map(|&peer| (peer, resend)).collect();
        for &peer in sources.keys() {
            self.pull(peer, actions);
        }
        self.sync = Some(SyncState { sources });
        self.finish_sync(actions);
    }

    fn pull(&self, peer: ProcessId, actions: &mut Vec<Action>) {
        let view = self.view_number().unwrap_or_default();
        let after = self.copied_up_to.get(&peer).copied().unwrap_or_default();
        let message = PeerMessage::Pull { view, after };
        actions.push(Action::Send { peer, message });
    }

    pub(crate) fn on_pull(&self, peer: ProcessId, after: u64, actions: &mut Vec<Action>) {
        let view = self.view_number().unwrap_or_default();
        let changes = self.table.changes(after, self.settings.chunk_records);
        let message = PeerMessage::Chunk {
            view,
            after,
            up_to: changes.up_to,
            done: changes.done,
            floor: self.table.floor,
            records: changes.records,
        };
        actions.push(Action::Send { peer, message });
    }

    pub(crate) fn on_chunk(
        &mut self,
        now: Instant,
        peer: ProcessId,
        (after, up_to, done): (u64, u64, bool),
        records: Vec<Record>,
        actions: &mut Vec<Action>,
    ) {
        let is_source = self
            .sync
            .as_ref()
            .is_some_and(|sync| sync.sources.contains_key(&peer));
        let expected = self.copied_up_to.get(&peer).copied().unwrap_or_default();
        if !is_source || after != expected {
            return;
        }
        self.copied_up_to.insert(peer, up_to);
        let jobs: Vec<JobId> = records.iter().map(|record| record.job).collect();
        for record in records {
            self.table.merge(record);
        }
        for job in jobs {
            self.reconsider_claim(job, actions);
        }
        let resend = self.first_resend(now);
        if let Some(sync) = &mut self.sync {
            if done {
                sync.sources.swap_remove(&peer);
            } else {
                sync.sources.insert(peer, resend);
                self.pull(peer, actions);
            }
        }
        self.finish_sync(actions);
    }

    fn finish_sync(&mut self, actions: &mut Vec<Action>) {
        if self.sync.as_ref().is_some_and(|sync| sync.sources.is_empty()) {
            self.sync = None;
            let view = self.view_number().unwrap_or_default();
            self.synced = Some(view);
            actions.push(Action::Synced { view });
        }
    }

    pub(crate) fn run_sync_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let sources = self.sync.iter().flat_map(|sync| &sync.sources);
        let sources: Vec<(ProcessId, Resend)> = sources.map(|(&peer, &resend)| (peer, resend)).collect();
        for (peer, resend) in sources {
            if resend.at <= now {
                let next = self.next_resend(now, resend);
                if let Some(sync) = &mut self.sync {
                    sync.sources.insert(peer, next);
                }
                self.pull(peer, actions);
            } else {
                self.schedule_timer(resend.at);
            }
        }
    }
}
