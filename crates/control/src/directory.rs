//! Directory of the connected processes, by which entries, agents and control processes discover each other.
//!
//! The directory is soft state and is not replicated: every entry has a link to every control process, so each control
//! process can list the entries from its own links.

use chestnutfork_net::LinkId;
use chestnutfork_types::ConfigVersion;
use indexmap::{IndexMap, IndexSet};

use crate::core::ControlCore;
use crate::message::{ControlMessage, Output, PeerMessage};

/// Entry or agent that subscribes to documents and the directory.
#[derive(Debug)]
struct DocumentFollower {
    /// Link address of an entry; `None` for an agent.
    entry_address: Option<String>,
    /// Highest document version that the follower has or was sent.
    sent_version: ConfigVersion,
}

/// Document followers connected to this control process.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    followers: IndexMap<LinkId, DocumentFollower>,
    /// Addresses of control processes for which a dial was requested.
    dialed: IndexSet<String>,
}

impl Directory {
    /// Removes a follower and reports whether it was an entry.
    pub(crate) fn remove_follower(&mut self, link: LinkId) -> bool {
        let follower = self.followers.swap_remove(&link);
        follower.is_some_and(|follower| follower.entry_address.is_some())
    }

    /// Returns the followers with an older document and marks this version as sent to them.
    pub(crate) fn take_outdated(&mut self, version: ConfigVersion) -> Vec<LinkId> {
        let outdated = self
            .followers
            .iter_mut()
            .filter(|(_, follower)| follower.sent_version < version);
        outdated
            .map(|(&link, follower)| {
                follower.sent_version = version;
                link
            })
            .collect()
    }

    fn entries(&self) -> Vec<String> {
        let entries = self
            .followers
            .values()
            .filter_map(|follower| follower.entry_address.clone());
        let entries: IndexSet<String> = entries.collect();
        entries.into_iter().collect()
    }
}

impl ControlCore {
    pub(crate) fn on_follow(&mut self, link: LinkId, have: ConfigVersion) {
        let Some(identity) = self.subscribers.identity(link) else {
            return;
        };
        let entry_address = identity.is_entry.then(|| identity.info.address.clone());
        let is_entry = entry_address.is_some();
        let follower = DocumentFollower {
            entry_address,
            sent_version: have,
        };
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

    /// Sends the known addresses of control processes to the other control processes and to the followers.
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

    /// Dials the control processes at addresses not seen before.
    pub(crate) fn on_addresses(&mut self, addresses: Vec<String>) {
        for address in addresses {
            let own = address == self.cfg.link_address;
            if !own && self.directory.dialed.insert(address.clone()) {
                self.outputs.push(Output::Dial(address));
            }
        }
    }
}
