//! Work that falls due at a time: deadlines, hedges, lost agents, expired credits, usage exchange.

use std::time::{Duration, Instant};

use chestnutfork_register as register;

use crate::agents::Agent;
use crate::core::{EntryCore, USAGE_INTERVAL};
use crate::event::{Action, PeerMessage, TeamUsage};
use crate::pump::count;

/// Time for which a result may stay unconfirmed.
const ACK_INTERVAL: Duration = Duration::from_millis(100);

impl Agent {
    /// Returns when the collected confirmations are due.
    pub(crate) fn acks_due(&self) -> Option<Instant> {
        self.acks_since.map(|since| since + ACK_INTERVAL)
    }
}

impl EntryCore {
    pub(crate) fn tick(&mut self, now: Instant, wall: Duration, actions: &mut Vec<Action>) {
        self.drive_register(now, wall, register::Event::Tick, actions);
        while let Some(&(at, attempt)) = self.hedges.first().filter(|&&(at, _)| at <= now) {
            self.hedges.remove(&(at, attempt));
            self.hedge(attempt);
        }
        while let Some(&(at, agent)) = self.lost_agents.first().filter(|&&(at, _)| at <= now) {
            self.lost_agents.remove(&(at, agent));
            self.agent_lost(now, wall, agent, actions);
        }
        self.router.on_timer(now);
        self.expire_credits(now);
        self.exchange_usage(now, actions);
    }

    /// Ends the jobs and waits whose deadline has passed.
    pub(crate) fn run_deadlines(&mut self, now: Instant, wall: Duration, actions: &mut Vec<Action>) {
        while let Some(&(at, job)) = self.deadlines.first().filter(|&&(at, _)| at <= now) {
            self.deadlines.remove(&(at, job));
            self.deadline_passed(now, wall, job, actions);
        }
    }

    fn expire_credits(&mut self, now: Instant) {
        for (_, agent) in self.agents.iter_mut() {
            let before = agent.usable_credits();
            agent.expire_credits(now);
            let after = agent.usable_credits();
            if before != after {
                self.router.set_credits(agent.target, count(after));
            }
        }
    }

    fn exchange_usage(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.next_usage {
            return;
        }
        self.next_usage = now + USAGE_INTERVAL;
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

    /// Returns when credits expire or confirmations are due at any agent.
    pub(crate) fn agents_wakeup(&self) -> Option<Instant> {
        let linked = self
            .agents
            .iter()
            .map(|(_, agent)| agent)
            .filter(|agent| agent.linked);
        linked
            .flat_map(|agent| [agent.usable_until, agent.paused_until, agent.acks_due()])
            .flatten()
            .min()
    }
}
