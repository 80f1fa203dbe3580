//! Copying of records after a view change, in bounded chunks.
//!
//! Learners, and all members of an unsettled view, copy from the survivors of the last settled view. A survivor answers
//! only in its current view, so a copy misses no record that was granted before. Later copies take only what changed.

use std::time::Instant;

use chestnutfork_types::{JobId, ProcessId};
use indexmap::IndexMap;

use crate::event::Action;
use crate::message::{PeerMessage, Record};
use crate::register::{Register, Resend};

/// Copy under way.
#[derive(Clone, Debug)]
pub(crate) struct Sync {
    /// Members that are not copied completely yet.
    pub(crate) sources: IndexMap<ProcessId, Resend>,
}

impl Register {
    /// Starts to copy, if the installed view asks this entry to.
    pub(crate) fn start_sync(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let me = self.settings.me;
        self.sync = None;
        self.synced = None;
        let resend = self.first_resend(now);
        let Some(view) = &self.view else {
            return;
        };
        let votes = view.members.contains(&me);
        let copies = view.learners.contains(&me) || (votes && !view.settled);
        if !copies {
            return;
        }
        let survivors = view.survivors.iter().filter(|&&peer| peer != me);
        let sources: IndexMap<_, _> = survivors.map(|&peer| (peer, resend)).collect();
        for &peer in sources.keys() {
            self.pull(peer, actions);
        }
        self.sync = Some(Sync { sources });
        self.finish_sync(actions);
    }

    fn pull(&self, peer: ProcessId, actions: &mut Vec<Action>) {
        let view = self.view_number().unwrap_or_default();
        let after = self.copied.get(&peer).copied().unwrap_or_default();
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
        let pulls = self
            .sync
            .as_ref()
            .is_some_and(|sync| sync.sources.contains_key(&peer));
        let expected = self.copied.get(&peer).copied().unwrap_or_default();
        if !pulls || after != expected {
            return;
        }
        self.copied.insert(peer, up_to);
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
                let later = self.later(now, resend);
                if let Some(sync) = &mut self.sync {
                    sync.sources.insert(peer, later);
                }
                self.pull(peer, actions);
            } else {
                self.note_due(resend.at);
            }
        }
    }
}
