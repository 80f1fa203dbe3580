//! Directory of the processes that have a link to this one, for entries, agents and control processes to find each other.
//!
//! The directory is soft state: every entry has a link to every control process, so each control process knows the entries
//! by itself, and no list has to be replicated.

use chestnutfork_net::LinkId;
use chestnutfork_types::ConfigVersion;
use indexmap::{IndexMap, IndexSet};

use crate::core::ControlCore;
use crate::message::{ControlMessage, Output, PeerMessage};

/// Entry or agent that follows documents and the directory.
#[derive(Debug)]
struct DocumentFollower {
    /// Address for links, if it is an entry.
    entry: Option<String>,
    /// Highest version that it has or was sent.
    sent: ConfigVersion,
}

/// Followers of this control process.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    followers: IndexMap<LinkId, DocumentFollower>,
    /// Control processes that were named to this one.
    dialed: IndexSet<String>,
}

impl Directory {
    /// Forgets a follower and reports whether it was an entry.
    pub(crate) fn remove_follower(&mut self, link: LinkId) -> bool {
        let follower = self.followers.swap_remove(&link);
        follower.is_some_and(|follower| follower.entry.is_some())
    }

    /// Returns the followers with an older document and notes that they get this version.
    pub(crate) fn take_outdated(&mut self, version: ConfigVersion) -> Vec<LinkId> {
        let behind = self
            .followers
            .iter_mut()
            .filter(|(_, follower)| follower.sent < version);
        behind
            .map(|(&link, follower)| {
                follower.sent = version;
                link
            })
            .collect()
    }

    fn entries(&self) -> Vec<String> {
        let entries = self
            .followers
            .values()
            .filter_map(|follower| follower.entry.clone());
        let entries: IndexSet<String> = entries.collect();
        entries.into_iter().collect()
    }
}

impl ControlCore {
    pub(crate) fn on_follow(&mut self, link: LinkId, have: ConfigVersion) {
        let Some(identity) = self.subscribers.identity(link) else {
            return;
        };
        let entry = identity.is_entry.then(|| identity.info.address.clone());
        let is_entry = entry.is_some();
        let follower = DocumentFollower { entry, sent: have };
        self.directory.followers.insert(link, follower);
        self.distribute_document();
        if is_entry {
            self.distribute_directory();
        } else {
            let directory = self.directory_message();
            self.outputs.push(Output::ToSubscriber(link, directory));
        }
    }

    /// Sends the directory to all followers.
    pub(crate) fn distribute_directory(&mut self) {
        let message = self.directory_message();
        for &link in self.directory.followers.keys() {
            self.outputs.push(Output::ToSubscriber(link, message.clone()));
        }
    }

    fn directory_message(&self) -> ControlMessage {
        ControlMessage::Directory {
            controls: self.control_addresses(),
            entries: self.directory.entries(),
        }
    }

    fn control_addresses(&self) -> Vec<String> {
        let peers = self.peers.addresses();
        let addresses: IndexSet<String> = peers.chain([self.cfg.link_address.clone()]).collect();
        addresses.into_iter().collect()
    }

    /// Tells the other control processes and the followers which control processes there are.
    pub(crate) fn share_addresses(&mut self) {
        if self.cfg.voter_count.is_none() {
            return;
        }
        let addresses = self.control_addresses();
        for link in self.peers.links() {
            let message = PeerMessage::Addresses(addresses.clone());
            self.outputs.push(Output::ToPeer(link, message));
        }
        self.distribute_directory();
    }

    /// Dials control processes that are not known yet.
    pub(crate) fn on_addresses(&mut self, addresses: Vec<String>) {
        for address in addresses {
            let own = address == self.cfg.link_address;
            if !own && self.directory.dialed.insert(address.clone()) {
                self.outputs.push(Output::Dial(address));
            }
        }
    }
}
