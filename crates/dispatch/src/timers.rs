//! Timed work: deadlines, hedges, agents without a link, credit expiry and the exchange of usage.

use std::time::{Duration, Instant};

use chestnutfork_register as register;

use crate::agents::Agent;
use crate::core::{EntryCore, USAGE_INTERVAL};
use crate::event::{Action, PeerMessage, TeamUsage};

/// Maximum delay before a result is acknowledged, so that acknowledgements can be batched.
const ACK_INTERVAL: Duration = Duration::from_millis(100);

impl Agent {
    /// Returns the time at which the batched acknowledgements are due.
    pub(crate) fn acks_due(&self) -> Option<Instant> {
        self.acks_since.map(|since| since + ACK_INTERVAL)
    }
}

impl EntryCore {
    pub(crate) fn on_tick(&mut self, now: Instant, wall: Duration, actions: &mut Vec<Action>) {
        self.handle_register_event(now, wall, register::Event::Tick, actions);
        while let Some(&(at, attempt)) = self.hedges.first().filter(|&&(at, _)| at <= now) {
            self.hedges.remove(&(at, attempt));
            self.start_hedge(attempt);
        }
        while let Some(&(at, agent)) = self.unlinked_agents.first().filter(|&&(at, _)| at <= now) {
            self.unlinked_agents.remove(&(at, agent));
            self.on_link_grace_expired(now, wall, agent, actions);
        }
        self.router.on_tick(now);
        self.expire_credits(now);
        self.send_usage(now, actions);
    }

    /// Ends the jobs and pending submissions whose deadline has passed.
    pub(crate) fn expire_deadlines(&mut self, now: Instant, wall: Duration, actions: &mut Vec<Action>) {
        while let Some(&(at, job)) = self.deadlines.first().filter(|&&(at, _)| at <= now) {
            self.deadlines.remove(&(at, job));
            self.on_deadline(now, wall, job, actions);
        }
    }

    fn send_usage(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.usage_due {
            return;
        }
        self.usage_due = now + USAGE_INTERVAL;
        let usage: Vec<_> = self
            .quotas
            .usage()
            .into_iter()
            .map(|(team, in_flight)| TeamUsage { team, in_flight })
            .collect();
        for &peer in &self.peers {
            actions.push(Action::ToPeer {
                peer,
                message: PeerMessage::Usage(usage.clone()),
            });
        }
    }
}
