//! Reports to operators: state of the group, of its subscribers, and the audit trail.

use std::time::Instant;

use chestnutfork_operator::body::{
    AuditBody, AuditRecordBody, ProcessBody, ReplicaBody, StatusBody, ViewBody,
};
use chestnutfork_raft::Progress;
use chestnutfork_types::{ConfigVersion, ReplicaId};

use crate::core::ControlCore;
use crate::leases::Lease;

/// Largest number of audit records in an answer.
const AUDIT_PAGE: usize = 500;

impl ControlCore {
    pub(crate) fn status(&self, now: Instant) -> StatusBody {
        let view = self.state.view.as_ref();
        let entries = view.map_or(&[][..], |record| &record.entries);
        StatusBody {
            node: self.cfg.name.clone(),
            leader: self.raft.leader().map(|leader| self.name_of(leader)),
            term: self.raft.term(),
            version: self.version(),
            replicas: self.replicas(now),
            view: ViewBody {
                number: self.state.view_number(),
                entries: entries.iter().map(|info| info.name.clone()).collect(),
            },
            processes: self.leases.live().map(|lease| process_body(now, lease)).collect(),
        }
    }

    /// Returns the members, then the replicas with an open link that could be admitted.
    fn replicas(&self, now: Instant) -> Vec<ReplicaBody> {
        let members = self.raft.membership();
        let progress = self.raft.progress(now);
        let others = self.peers.replicas().into_iter();
        let others = others.filter(|&id| !members.contains(id));
        let listed = members.members().chain(others);
        listed.map(|id| self.replica_body(id, &progress)).collect()
    }

    fn replica_body(&self, replica: ReplicaId, progress: &[Progress]) -> ReplicaBody {
        let members = self.raft.membership();
        let own = replica == self.replica();
        let known = progress.iter().find(|peer| peer.replica == replica);
        let alive = own || known.is_some_and(|peer| peer.recently_active);
        let state = match (members.contains(replica), alive, members.is_voter(replica)) {
            (false, ..) => "candidate",
            (true, false, _) => "lost",
            (true, true, false) => "learner",
            (true, true, true) if own => "leader",
            (true, true, true) => "follower",
        };
        let log_index = if own {
            self.raft.last_index()
        } else {
            known.map_or(0, |peer| peer.match_index)
        };
        ReplicaBody {
            name: self.name_of(replica),
            replica,
            address: self
                .peers
                .address(replica)
                .and_then(|address| address.parse().ok()),
            state: state.to_owned(),
            log_index,
        }
    }

    /// Returns audit records above a version, with in how many live processes each is in force now.
    pub(crate) fn audit(&self, since: ConfigVersion) -> AuditBody {
        let processes = self.leases.live().count();
        let mut records = self.state.config.audit_since(since);
        let body = |record: &chestnutfork_config::AuditRecord| {
            let has = |lease: &&Lease| lease.version >= record.version;
            AuditRecordBody::new(record, self.leases.live().filter(has).count(), processes)
        };
        let page = records.by_ref().take(AUDIT_PAGE).map(body).collect();
        AuditBody {
            records: page,
            more: records.next().is_some(),
        }
    }
}

fn process_body(now: Instant, lease: &Lease) -> ProcessBody {
    let since_renewal = now.saturating_duration_since(lease.renewed_at);
    ProcessBody {
        name: lease.info.name.clone(),
        role: if lease.is_entry { "entry" } else { "agent" }.to_owned(),
        failure_domain: lease.info.failure_domain.clone(),
        version: lease.version,
        silent_ms: u64::try_from(since_renewal.as_millis()).unwrap_or(u64::MAX),
    }
}
