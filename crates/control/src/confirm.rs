//! Confirmations of the version in force, and lease renewals on their way to the leader.

use std::time::{Duration, Instant};

use crate::core::{ConfirmedVersion, ControlCore};
use crate::message::{Confirmation, ControlMessage, Output, PeerMessage, ProbeId};

/// Age up to which a follower passes on the leader's confirmation.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);

impl ControlCore {
    /// Answers a follower's probe with the latest quorum check, if it is recent.
    pub(crate) fn on_probe(&mut self, now: Instant, link: u64, probe: ProbeId) {
        if !self.is_leader() {
            return;
        }
        if let Some(confirmation) = self.confirmation(now, probe) {
            self.outputs
                .push(Output::ToPeer(link, PeerMessage::Confirm(confirmation)));
        }
    }

    /// Returns the latest confirmation with its age, unless it is too old to pass on.
    fn confirmation(&self, now: Instant, probe: ProbeId) -> Option<Confirmation> {
        let confirmed = self.confirmed?;
        let age = now.saturating_duration_since(confirmed.at);
        let version = confirmed.version;
        (age <= MAX_CONFIRMATION_AGE).then_some(Confirmation { probe, version, age })
    }

    /// Takes in the leader's answer to the latest probe.
    ///
    /// Its age counts from the time at which the probe was sent, so that a delay on the link only makes it older.
    pub(crate) fn on_confirm(&mut self, confirmation: Confirmation) {
        let (probe, sent_at) = self.last_probe;
        let at = sent_at.checked_sub(confirmation.age);
        let Some(at) = at.filter(|_| confirmation.probe == probe && !self.is_leader()) else {
            return;
        };
        let version = confirmation.version;
        self.confirmed = Some(ConfirmedVersion { version, at });
    }

    pub(crate) fn confirm_subscriber(&mut self, now: Instant, link: u64, probe: ProbeId) {
        if let Some(confirmation) = self.confirmation(now, probe) {
            let confirm = ControlMessage::Confirm(confirmation);
            self.outputs.push(Output::ToSubscriber(link, confirm));
        }
    }

    pub(crate) fn probe_leader(&mut self, now: Instant) {
        let link = self.leader_link();
        if let Some(link) = link {
            self.last_probe = (self.last_probe.0 + 1, now);
            self.outputs
                .push(Output::ToPeer(link, PeerMessage::Probe(self.last_probe.0)));
        }
    }

    /// Returns the link to another replica that leads.
    pub(crate) fn leader_link(&self) -> Option<u64> {
        let leader = self.raft.leader().filter(|&leader| leader != self.replica())?;
        self.peers.link(leader)
    }

    pub(crate) fn forward_renewals(&mut self, now: Instant) {
        if self.is_leader() {
            for renewal in self.subscribers.take_renewals(now) {
                self.leases.renew(now, renewal);
            }
            return;
        }
        let Some(link) = self.leader_link() else {
            return;
        };
        let renewals = self.subscribers.take_renewals(now);
        if !renewals.is_empty() {
            self.outputs
                .push(Output::ToPeer(link, PeerMessage::Renewals(renewals)));
        }
    }
}
