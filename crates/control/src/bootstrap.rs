//! Handshake between replicas, and bootstrap of the log with the initial member set.

use std::time::Instant;

use chestnutfork_raft::{Membership, Raft};
use chestnutfork_storage::Change;

use crate::core::ControlCore;
use crate::formation::{self, Formation};
use crate::message::{Notice, Output, PeerMessage, ReplicaHello};
use crate::persist;

impl ControlCore {
    pub(crate) fn hello(&self) -> PeerMessage {
        let members = self.raft.membership();
        PeerMessage::Hello(ReplicaHello {
            replica: self.replica(),
            members: members.voters.clone(),
            initial: self.raft.snapshot().meta.index == 0,
            operator_address: self.cfg.operator_address.clone(),
        })
    }

    /// Schedules the formation of the member set if this replica has none and all initial members are known.
    pub(crate) fn check_formation(&mut self) {
        if !self.raft.membership().voters.is_empty() || self.pending_formation.is_some() {
            return;
        }
        let decision = formation::decide(
            &self.cfg.name,
            self.replica(),
            &self.cfg.initial_members,
            self.peers.hellos(),
        );
        if self.formation.as_ref() == Some(&decision) {
            return;
        }
        match &decision {
            Formation::Ready(members) => self.pending_formation = Some(members.clone()),
            Formation::NotMember => self.outputs.push(Output::Notice(Notice::NotMember)),
            Formation::Waiting { missing } => {
                let members = self.cfg.initial_members.len() as u64;
                let notice = Notice::Forming {
                    known: members.saturating_sub(missing.len() as u64),
                    members,
                    missing: missing.clone(),
                };
                self.outputs.push(Output::Notice(notice));
            }
        }
        self.formation = Some(decision);
    }

    /// Restarts the log with the initial member set and returns the change that persists the set.
    pub(crate) fn form(&mut self, now: Instant, members: Membership) -> Option<Change> {
        let mut durable = self.raft.durable_state();
        if durable.snapshot.meta.index > 0 || !self.raft.storage_ok() {
            self.formation = None;
            return None;
        }
        durable.snapshot.meta.membership = members;
        let change = Change::Snapshot(persist::snapshot_record(&durable.snapshot));
        let raft = Raft::new(self.cfg.raft.clone(), durable, now).ok()?;
        self.raft = raft;
        let members = self.raft.membership().voters.len() as u64;
        self.outputs.push(Output::Notice(Notice::Formed { members }));
        // Replicas that have not received every introduction adopt the set from this message.
        let hello = self.hello();
        for link in self.peers.links() {
            self.outputs.push(Output::ToPeer(link, hello.clone()));
        }
        self.check_quorum();
        Some(change)
    }
}
