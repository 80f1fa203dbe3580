//! Links to other control processes.

use chestnutfork_net::LinkId;
use chestnutfork_types::{NodeName, ReplicaId};
use indexmap::IndexMap;

use crate::message::ReplicaHello;

/// Control process at the other end of a link.
#[derive(Debug)]
struct Peer {
    name: NodeName,
    address: String,
    /// Id of its replica, known once it has introduced itself.
    replica: Option<ReplicaId>,
}

/// Open links to other control processes, and the introductions received on them.
///
/// Two processes may have two links, because each dials the other; messages are sent on the later one.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    links: IndexMap<LinkId, Peer>,
    hellos: IndexMap<NodeName, ReplicaHello>,
    /// Process name of each replica that has introduced itself.
    names: IndexMap<ReplicaId, NodeName>,
}

impl Peers {
    pub(crate) fn add(&mut self, link: LinkId, name: NodeName, address: String) {
        let replica = None;
        let peer = Peer {
            name,
            address,
            replica,
        };
        self.links.insert(link, peer);
    }

    pub(crate) fn remove(&mut self, link: LinkId) {
        self.links.shift_remove(&link);
    }

    pub(crate) fn record_hello(&mut self, link: LinkId, hello: ReplicaHello) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.replica = Some(hello.replica);
            self.names.insert(hello.replica, peer.name.clone());
            self.hellos.insert(peer.name.clone(), hello);
        }
    }

    pub(crate) fn link(&self, replica: ReplicaId) -> Option<LinkId> {
        let mut links = self.links.iter().rev();
        let found = links.find(|(_, peer)| peer.replica == Some(replica));
        found.map(|(&link, _)| link)
    }

    pub(crate) fn links(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.keys().copied()
    }

    /// Iterates over the addresses of the processes with an open link.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = String> + '_ {
        self.links.values().map(|peer| peer.address.clone())
    }

    pub(crate) fn hellos(&self) -> &IndexMap<NodeName, ReplicaHello> {
        &self.hellos
    }

    /// Returns the introduction of a replica with an open link.
    pub(crate) fn hello_of(&self, replica: ReplicaId) -> Option<&ReplicaHello> {
        self.link(replica)?;
        let mut hellos = self.hellos.values();
        hellos.find(|hello| hello.replica == replica)
    }

    /// Returns the name of a replica; it remains known after the link has closed.
    pub(crate) fn name(&self, replica: ReplicaId) -> Option<&str> {
        self.names.get(&replica).map(String::as_str)
    }

    /// Returns the link address of a replica with an open link.
    pub(crate) fn address(&self, replica: ReplicaId) -> Option<&str> {
        let link = self.link(replica)?;
        self.links.get(&link).map(|peer| peer.address.as_str())
    }

    /// Returns the operator address of a replica; it remains known after the link has closed.
    pub(crate) fn operators(&self, replica: ReplicaId) -> Option<&str> {
        let mut hellos = self.hellos.values();
        let hello = hellos.find(|hello| hello.replica == replica)?;
        Some(&hello.operator_address)
    }

    /// Returns the replicas with an open link, sorted by id.
    pub(crate) fn replicas(&self) -> Vec<ReplicaId> {
        let mut replicas: Vec<ReplicaId> = self.links.values().filter_map(|peer| peer.replica).collect();
        replicas.sort_unstable();
        replicas.dedup();
        replicas
    }
}
