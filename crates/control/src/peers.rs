//! Links to other control processes.

use chestnutfork_net::LinkId;
use chestnutfork_types::{NodeName, ReplicaId};
use indexmap::IndexMap;

use crate::message::ReplicaHello;

/// Open links to other control processes, and what was told over them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    links: IndexMap<LinkId, NodeName>,
    /// Latest link to each replica that introduced itself.
    replicas: IndexMap<ReplicaId, LinkId>,
    hellos: IndexMap<NodeName, ReplicaHello>,
}

impl Peers {
    pub(crate) fn up(&mut self, link: LinkId, name: NodeName) {
        self.links.insert(link, name);
    }

    pub(crate) fn down(&mut self, link: LinkId) {
        self.links.swap_remove(&link);
        self.replicas.retain(|_, at| *at != link);
    }

    pub(crate) fn hello(&mut self, link: LinkId, hello: ReplicaHello) {
        let Some(name) = self.links.get(&link) else {
            return;
        };
        self.replicas.insert(hello.replica, link);
        self.hellos.insert(name.clone(), hello);
    }

    pub(crate) fn link(&self, replica: ReplicaId) -> Option<LinkId> {
        self.replicas.get(&replica).copied()
    }

    pub(crate) fn links(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.keys().copied()
    }

    pub(crate) fn hellos(&self) -> &IndexMap<NodeName, ReplicaHello> {
        &self.hellos
    }

    /// Returns the name of a replica with an open link.
    pub(crate) fn name(&self, replica: ReplicaId) -> Option<&str> {
        let link = self.replicas.get(&replica)?;
        self.links.get(link).map(String::as_str)
    }

    /// Returns the operator address of a replica, also after its link has closed.
    pub(crate) fn operators(&self, replica: ReplicaId) -> Option<&str> {
        let mut hellos = self.hellos.values();
        let hello = hellos.find(|hello| hello.replica == replica)?;
        Some(&hello.operators)
    }

    /// Iterates over the replicas with an open link.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.replicas.keys().copied()
    }
}
