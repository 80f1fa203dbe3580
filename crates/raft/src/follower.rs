//! Messages from the leader: entries, heartbeats and snapshots.

use std::time::Instant;

use bytes::Bytes;
use chestnutfork_types::{LogIndex, ReplicaId, Term};

use crate::entry::{Entry, Snapshot, SnapshotMeta};
use crate::event::Action;
use crate::message::MessageBody;
use crate::raft::{Raft, Role};

/// Partially received snapshot.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    meta: SnapshotMeta,
    total: u64,
    buf: Vec<u8>,
}

impl IncomingSnapshot {
    fn len(&self) -> u64 {
        self.buf.len() as u64
    }
}

impl Raft {
    /// Follows the sender, which is the leader of the current term, and processes its message.
    pub(crate) fn on_leader_message(
        &mut self,
        now: Instant,
        from: ReplicaId,
        body: MessageBody,
        actions: &mut Vec<Action>,
    ) {
        if self.role == Role::Leader {
            // Two leaders in one term would violate election safety; the verifier reports that. Ignore the message.
            return;
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.last_leader_contact = Some(now);
        self.votes.clear();
        self.reset_election_deadline(now);
        match body {
            MessageBody::Append {
                prev_index,
                prev_term,
                entries,
                commit_index,
                round,
            } => {
                let match_index = self.append(prev_index, prev_term, &entries, actions);
                let reply = match match_index {
                    Some(match_index) => MessageBody::Accepted { match_index, round },
                    None => self.rejection(prev_index, prev_term, round),
                };
                self.send(from, reply, actions);
                let committed = match_index.unwrap_or(0).min(commit_index);
                self.commit_to(committed, actions);
            }
            MessageBody::SnapshotChunk {
                meta,
                offset,
                total,
                chunk,
                round,
            } => {
                if let Some(reply) = self.receive_chunk(meta, offset, total, &chunk, round, actions) {
                    self.send(from, reply, actions);
                }
            }
            _ => {}
        }
    }

    /// Appends entries if the entry before them matches, and returns the index of the last matching entry.
    fn append(
        &mut self,
        prev_index: LogIndex,
        prev_term: Term,
        entries: &[Entry],
        actions: &mut Vec<Action>,
    ) -> Option<LogIndex> {
        if prev_index < self.commit_index {
            // Committed entries match the log of every later leader.
            return Some(self.commit_index);
        }
        if self.log.term_at(prev_index) != Some(prev_term) {
            return None;
        }
        self.append_new(entries, actions);
        Some(prev_index + entries.len() as u64)
    }

    /// Builds a rejection with a hint that lets the leader skip all indexes that cannot match.
    fn rejection(&self, prev_index: LogIndex, prev_term: Term, round: u64) -> MessageBody {
        let hint_index = self.log.last_index_with_term_up_to(prev_index, prev_term);
        let hint_term = self.log.term_at(hint_index).unwrap_or(0);
        MessageBody::Rejected {
            prev_index,
            hint_index,
            hint_term,
            round,
        }
    }

    /// Appends the entries that the log does not have yet.
    fn append_new(&mut self, entries: &[Entry], actions: &mut Vec<Action>) {
        let present = entries
            .iter()
            .take_while(|entry| self.log.term_at(entry.index) == Some(entry.term))
            .count();
        let new = &entries[present..];
        if new.is_empty() {
            return;
        }
        self.log.append(new);
        self.push(Action::AppendLog(new.to_vec()), actions);
    }

    /// Receives a chunk of a snapshot, installs the snapshot once it is complete, and returns the reply, if any.
    fn receive_chunk(
        &mut self,
        meta: SnapshotMeta,
        offset: u64,
        total: u64,
        chunk: &Bytes,
        round: u64,
        actions: &mut Vec<Action>,
    ) -> Option<MessageBody> {
        if meta.index <= self.commit_index {
            self.incoming_snapshot = None;
            let match_index = self.commit_index;
            return Some(MessageBody::Accepted { match_index, round });
        }
        if total > self.cfg.max_snapshot_bytes {
            return None;
        }
        let index = meta.index;
        let incoming = self.incoming_snapshot_for(meta, total);
        if incoming.len() == offset && offset + chunk.len() as u64 <= total {
            incoming.buf.extend_from_slice(chunk);
        }
        let offset = incoming.len();
        if offset < total {
            return Some(MessageBody::SnapshotNext { index, offset, round });
        }
        self.install_incoming_snapshot(actions);
        Some(MessageBody::Accepted {
            match_index: index,
            round,
        })
    }

    fn incoming_snapshot_for(&mut self, meta: SnapshotMeta, total: u64) -> &mut IncomingSnapshot {
        let same = |old: &IncomingSnapshot| old.meta == meta && old.total == total;
        if !self.incoming_snapshot.as_ref().is_some_and(same) {
            self.incoming_snapshot = None;
        }
        self.incoming_snapshot.get_or_insert_with(|| IncomingSnapshot {
            meta,
            total,
            buf: Vec::new(),
        })
    }

    fn install_incoming_snapshot(&mut self, actions: &mut Vec<Action>) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let meta = incoming.meta;
        let data = Bytes::from(incoming.buf);
        let keep_suffix = self.log.term_at(meta.index) == Some(meta.term);
        self.commit_index = meta.index;
        let snapshot = Snapshot { meta, data };
        self.log.install_snapshot(snapshot.clone(), keep_suffix);
        let saved = snapshot.clone();
        self.push(
            Action::SaveSnapshot {
                snapshot: saved,
                keep_suffix,
            },
            actions,
        );
        self.push(Action::Restore(snapshot), actions);
    }
}
