//! Evacuation of failure domains: proposals, and distribution to entries and agents.

use std::time::Instant;

use chestnutfork_evacuation::Revision;
use chestnutfork_net::LinkId;
use chestnutfork_raft::Proposal;
use chestnutfork_types::FailureDomain;
use indexmap::IndexMap;

use crate::core::ControlCore;
use crate::message::{ControlMessage, Notice, Output, RequestId};
use crate::state_machine::Command;

/// Entry or agent that subscribes to the evacuations.
#[derive(Debug, Default)]
struct Watcher {
    /// Revision that was sent last.
    sent: Option<Revision>,
    /// Whether document versions are announced on the link once the evacuations have been sent on it.
    holds_announcements: bool,
}

/// Subscribers to the evacuations.
#[derive(Debug)]
pub(crate) struct EvacuationWatchers {
    links: IndexMap<LinkId, Watcher>,
    /// Whether everything that was committed before the election of a known leader has been applied since the start.
    ///
    /// Until then the evacuations may be older than the document, and entries would use both.
    recovered: bool,
    /// Revision in force that was logged.
    logged: Revision,
    /// When the revision in force was applied, or recovered after a start.
    since: Instant,
}

impl EvacuationWatchers {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            links: IndexMap::new(),
            recovered: false,
            logged: 0,
            since: now,
        }
    }

    pub(crate) fn remove(&mut self, link: LinkId) {
        self.links.swap_remove(&link);
    }

    /// Holds the announcements of documents on a link, and returns `true`, if the evacuations must be sent on it first.
    pub(crate) fn hold_announcements(&mut self, link: LinkId) -> bool {
        let waiting = self.links.get_mut(&link).filter(|watcher| watcher.sent.is_none());
        let held = waiting.map(|watcher| watcher.holds_announcements = true);
        held.is_some()
    }

    /// Returns the watchers with an older revision, and whether announcements on their links were held, and marks the revision
    /// as sent to them.
    fn take_outdated(&mut self, revision: Revision) -> Vec<(LinkId, bool)> {
        let outdated = self
            .links
            .iter_mut()
            .filter(|(_, watcher)| watcher.sent.is_none_or(|sent| sent < revision));
        let taken = outdated.map(|(&link, watcher)| {
            watcher.sent = Some(revision);
            (link, std::mem::take(&mut watcher.holds_announcements))
        });
        taken.collect()
    }
}

impl ControlCore {
    /// Reports whether a request may change the evacuations, so that it must be proposed.
    ///
    /// An entry that is not applied yet may be an earlier request for the same domain, so the order of the log decides.
    pub(crate) fn may_change_evacuation(&self, domain: &str, evacuated: bool) -> bool {
        !self.is_settled() || self.state.evacuations.contains(domain) != evacuated
    }

    pub(crate) fn propose_evacuation(&mut self, id: RequestId, domain: FailureDomain, evacuated: bool) {
        let command = Command::Evacuate { domain, evacuated }.to_bytes();
        self.propose(Proposal { id, command });
    }

    /// Subscribes a process to the evacuations.
    pub(crate) fn on_watch_evacuations(&mut self, now: Instant, link: LinkId) {
        self.evacuation_watchers.links.insert(link, Watcher::default());
        self.distribute_evacuations(now);
    }

    /// Sends the evacuations in force to the watchers with an older revision.
    pub(crate) fn distribute_evacuations(&mut self, now: Instant) {
        let watchers = &mut self.evacuation_watchers;
        if !watchers.recovered {
            if self.raft.leader().is_none() || self.applied_term != self.raft.term() {
                return;
            }
            watchers.recovered = true;
            watchers.since = now;
        }
        let state = &self.state.evacuations;
        let changed = state.revision > watchers.logged;
        if changed {
            watchers.logged = state.revision;
            watchers.since = now;
        }
        let outdated = watchers.take_outdated(state.revision);
        let age = now.saturating_duration_since(watchers.since);
        if changed {
            self.outputs.push(Output::Notice(Notice::EvacuationsApplied {
                revision: state.revision,
                domains: state.domains.iter().cloned().collect(),
                watchers: outdated.len() as u64,
            }));
        }
        for (link, held) in outdated {
            let state = state.clone();
            let message = ControlMessage::Evacuations { state, age };
            self.outputs.push(Output::ToSubscriber(link, message));
            if held {
                self.publisher.watch(link);
            }
        }
    }
}
