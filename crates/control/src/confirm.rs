//! Confirmations of the current version, and forwarding of lease renewals to the leader.

use std::time::{Duration, Instant};

use crate::core::{ConfirmedVersion, ControlCore};
use crate::message::{Confirmation, ControlMessage, Output, PeerMessage, ProbeId};

/// Maximum age of a quorum check that a replica still reports as a confirmation. It bounds how long an isolated follower
/// can confirm a stale version.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);

impl ControlCore {
    /// Answers a follower's probe with the latest quorum check, if that is recent enough.
    pub(crate) fn on_probe(&mut self, now: Instant, link: u64, probe: ProbeId) {
        if !self.is_leader() {
            return;
        }
        if let Some(confirmation) = self.confirmation(now, probe) {
            self.outputs
                .push(Output::ToPeer(link, PeerMessage::Confirm(confirmation)));
        }
    }

    /// Returns the latest confirmation with its age, unless it is older than [`MAX_CONFIRMATION_AGE`].
    fn confirmation(&self, now: Instant, probe: ProbeId) -> Option<Confirmation> {
        let confirmed = self.confirmed?;
        let age = now.saturating_duration_since(confirmed.at);
        let version = confirmed.version;
        (age <= MAX_CONFIRMATION_AGE).then_some(Confirmation { probe, version, age })
    }

    /// Records the leader's answer to the latest probe.
    ///
    /// The age is counted from the time at which the probe was sent, so a delay on the link can only overstate it.
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

    /// Returns the link to the leader, unless this replica leads or the leader is unknown.
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
