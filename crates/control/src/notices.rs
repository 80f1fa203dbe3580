//! Conversion of the core's notices to numbered log events.

use chestnutfork_config::{Patch, Verdict};
use chestnutfork_events::{ControlEvent, emit};
use chestnutfork_raft::MembershipChange;
use chestnutfork_types::ReplicaId;

use crate::message::Notice;

/// Logs a notice of the replica on the process named `node`.
pub(crate) fn log(node: &str, replica: ReplicaId, notice: &Notice) {
    match notice {
        Notice::Formed { members } => emit(&ControlEvent::Formed {
            replica,
            members: *members,
            node,
        }),
        Notice::Forming {
            known,
            members,
            missing,
        } => emit(&ControlEvent::Forming {
            known: *known,
            members: *members,
            missing: &missing.join(", "),
        }),
        Notice::NotMember => emit(&ControlEvent::NotMember { replica, node }),
        Notice::ElectionStarted { term } => emit(&ControlEvent::ElectionStarted { term: *term, node }),
        Notice::LeaderChanged { term, leader } => emit(&ControlEvent::LeaderChanged { term: *term, leader }),
        Notice::LeadershipLost { term } => emit(&ControlEvent::LeadershipLost {
            term: *term,
            reason: "quorum lost, disk write failed, higher term seen, or leadership transferred",
        }),
        Notice::MemberChange { change } => log_member_change(*change),
        Notice::MemberReplaced {
            remove,
            add,
            operator,
        } => emit(&ControlEvent::MemberReplaced {
            old: *remove,
            new: *add,
            operator,
        }),
        Notice::Verdict { patch, verdict } => log_verdict(patch, verdict),
        Notice::DocumentApplied {
            version,
            bytes,
            followers,
        } => emit(&ControlEvent::DocumentApplied {
            version: *version,
            bytes: *bytes,
            followers: *followers,
        }),
        Notice::EvacuationsApplied {
            revision,
            domains,
            watchers,
        } => emit(&ControlEvent::EvacuationsApplied {
            revision: *revision,
            domains: &domains.join(", "),
            watchers: *watchers,
        }),
        Notice::ViewProposed { view, members } => emit(&ControlEvent::ViewProposed {
            view: *view,
            members: *members,
            reason: "the set of entries with a lease or with a complete register copy changed",
        }),
        Notice::ViewFloorRaised {
            view,
            survivors,
            needed,
            floor_ms,
        } => emit(&ControlEvent::ViewFloorRaised {
            view: *view,
            survivors: *survivors,
            needed: *needed,
            floor_ms: *floor_ms,
            reason: "the leases of too many entries expired",
        }),
        Notice::NodeLost { name, is_entry } => emit(&ControlEvent::NodeLost {
            node: name,
            role: if *is_entry { "entry" } else { "agent" },
        }),
        Notice::RolloutLate {
            version,
            behind,
            first,
        } => emit(&ControlEvent::RolloutLate {
            version: *version,
            behind: *behind,
            first,
        }),
    }
}

fn log_member_change(change: MembershipChange) {
    let (kind, old, new) = match change {
        MembershipChange::AddLearner(new) => ("add", 0, new),
        MembershipChange::Promote(new) => ("promote", 0, new),
        MembershipChange::Remove(old) => ("remove", old, 0),
        MembershipChange::Replace(swap) => ("replace", swap.remove, swap.add),
    };
    emit(&ControlEvent::MemberChanging { kind, old, new });
}

fn log_verdict(patch: &Patch, verdict: &Verdict) {
    let id = format!("{:032x}", patch.id);
    let operator = &patch.operator;
    match verdict {
        Verdict::Accepted { version, .. } => emit(&ControlEvent::PatchAccepted {
            operator,
            patch: &id,
            base: patch.base,
            version: *version,
        }),
        Verdict::Conflict { current, .. } => emit(&ControlEvent::PatchConflict {
            operator,
            patch: &id,
            base: patch.base,
            version: *current,
        }),
        Verdict::Invalid { errors } => emit(&ControlEvent::PatchRefused {
            operator,
            patch: &id,
            errors: errors.len() as u64,
            first: &errors.first().map_or_else(String::new, ToString::to_string),
        }),
    }
}
