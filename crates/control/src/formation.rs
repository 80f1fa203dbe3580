//! Decision on the initial formation of the replica set: once all initial members have introduced themselves, each
//! persists the member set before it votes.

use chestnutfork_raft::Membership;
use chestnutfork_types::{NodeName, ReplicaId};
use indexmap::IndexMap;

use crate::message::ReplicaHello;

/// Outcome of the decision for a replica without a member set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Formation {
    /// Some initial members have not introduced themselves yet.
    Waiting {
        /// Names of these members.
        missing: Vec<NodeName>,
    },
    /// The member set is determined and can be persisted.
    Ready(Membership),
    /// The set already exists without this replica, which joins only by a membership change.
    NotMember,
}

/// Determines the initial member set from the introductions of the other members.
///
/// An existing member set is adopted only if it is the initial one and contains this replica. A replica that lost its disk
/// has a new id, which no set contains, so it cannot form a second set.
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
