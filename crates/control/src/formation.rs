//! Initial formation: the members meet once, and each persists the member set before it votes.

use chestnutfork_raft::Membership;
use chestnutfork_types::{NodeName, ReplicaId};
use indexmap::IndexMap;

use crate::message::ReplicaHello;

/// What a replica without a member set has found out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Formation {
    /// Initial members have not answered yet.
    Waiting {
        /// Their names.
        missing: Vec<NodeName>,
    },
    /// The member set to persist.
    Ready(Membership),
    /// The set exists without this replica, which can only be admitted by an operator.
    NotMember,
}

/// Decides about the formation from what the other initial members told.
///
/// A member set that exists is adopted only if it is the initial one and names this replica. A replica whose disk
/// was lost has a new id that no set names, so it never forms a second set beside the first one.
pub(crate) fn decide(
    own_name: &str,
    own_id: ReplicaId,
    initial: &[NodeName],
    hellos: &IndexMap<NodeName, ReplicaHello>,
) -> Formation {
    if let Some(formed) = hellos.values().find(|hello| !hello.members.is_empty()) {
        let admitted = formed.initial && formed.members.contains(&own_id);
        return if admitted {
            Formation::Ready(Membership::from_voters(formed.members.iter().copied()))
        } else {
            Formation::NotMember
        };
    }
    let known = |name: &NodeName| name == own_name || hellos.contains_key(name);
    let missing: Vec<NodeName> = initial.iter().filter(|name| !known(name)).cloned().collect();
    let listed = initial.iter().any(|name| name == own_name);
    if !missing.is_empty() || !listed {
        return Formation::Waiting { missing };
    }
    let others = initial.iter().filter_map(|name| hellos.get(name));
    let ids = others.map(|hello| hello.replica).chain([own_id]);
    Formation::Ready(Membership::from_voters(ids))
}
