//! Division of free slots among the connected entries.
//!
//! Free slots go to entries with waiting tasks in proportion to their demand, by the highest-averages method. Without
//! demand they are divided evenly, so that a lone task starts without a round trip. While demand is unmet, idle credits
//! are recalled from entries without demand: an unused slot costs more than the round trip of a later lone task.

use std::time::Instant;

use chestnutfork_types::{AgentToEntry, CreditId, ProcessId};

use crate::core::{AgentCore, Recall};
use crate::event::Action;

impl AgentCore {
    /// Grants free slots, recalls idle credits where others have demand, and schedules the next renewal.
    pub(crate) fn balance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_accepting() {
            return;
        }
        self.grant_free(now, actions);
        self.recall_unused(actions);
        if self.next_renewal.is_none() && !self.ledger.idle.is_empty() {
            self.next_renewal = Some(now + self.settings.renew_interval);
        }
    }

    /// Takes the credit that travels with a result of `entry`, if the freed slot goes to that entry.
    pub(crate) fn next_credit(&mut self, now: Instant, entry: ProcessId) -> Option<CreditId> {
        if !self.is_accepting() || self.free_slots() == 0 {
            return None;
        }
        let winner = self.pick(Some(entry))?;
        (winner == entry).then(|| self.issue(now, entry))
    }

    fn free_slots(&self) -> usize {
        self.live_slots().saturating_sub(self.ledger.used())
    }

    fn issue(&mut self, now: Instant, entry: ProcessId) -> CreditId {
        let expires = now + self.settings.credit_ttl;
        self.note_expiry(expires);
        if let Some(state) = self.entries.get_mut(&entry) {
            state.unmet = state.unmet.saturating_sub(1);
        }
        self.ledger.issue(entry, expires)
    }

    fn grant_free(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut grants: Vec<(ProcessId, Vec<CreditId>)> = Vec::new();
        for _ in 0..self.free_slots() {
            let Some(entry) = self.pick(None) else {
                break;
            };
            let credit = self.issue(now, entry);
            match grants.iter_mut().find(|(to, _)| *to == entry) {
                Some((_, credits)) => credits.push(credit),
                None => grants.push((entry, vec![credit])),
            }
        }
        let ttl = self.settings.credit_ttl;
        for (entry, credits) in grants {
            let message = AgentToEntry::Grant { credits, ttl };
            actions.push(Action::Send { entry, message });
        }
    }

    /// Picks the entry that the next free slot goes to; ties go to `prefer`, then to the entry that came first.
    fn pick(&self, prefer: Option<ProcessId>) -> Option<ProcessId> {
        let connected = self.entries.iter().filter(|(_, state)| state.connected);
        let mut best: Option<(ProcessId, u32, usize)> = None;
        for (&entry, state) in connected {
            let idle = self.ledger.idle_of(entry);
            let held = if state.waiting > 0 {
                idle + self.ledger.running_of(entry)
            } else {
                idle
            };
            let better = best.is_none_or(|(_, waiting, other)| {
                let mine = u64::from(state.waiting) * (other as u64 + 1);
                let theirs = u64::from(waiting) * (held as u64 + 1);
                let tie = held < other || (held == other && prefer == Some(entry));
                mine > theirs || (mine == theirs && tie)
            });
            if better {
                best = Some((entry, state.waiting, held));
            }
        }
        best.map(|(entry, _, _)| entry)
    }

    /// Recalls idle credits from entries without demand while another entry has unmet demand.
    fn recall_unused(&mut self, actions: &mut Vec<Action>) {
        let demand = self.entries.values().filter(|state| state.connected);
        let mut unmet: usize = demand.map(|state| state.unmet as usize).sum();
        if unmet == 0 {
            return;
        }
        for at in 0..self.entries.len() {
            let (&entry, state) = self.entries.get_index(at).expect("index is within the table");
            if !state.connected || state.waiting > 0 || state.recall.is_some() {
                continue;
            }
            let count = self.ledger.idle_of(entry).min(unmet);
            if count > 0 {
                unmet -= count;
                self.recall(entry, count, actions);
            }
        }
    }

    fn recall(&mut self, entry: ProcessId, count: usize, actions: &mut Vec<Action>) {
        // One recall at a time for each entry: it answers each one on the same link, or the link ends.
        let recall = Recall {
            count,
            last: self.ledger.last,
        };
        if let Some(state) = self.entries.get_mut(&entry) {
            state.recall = Some(recall);
        }
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let message = AgentToEntry::Recall { count };
        actions.push(Action::Send { entry, message });
    }

    /// Recalls half the surplus of the entry with the most idle credits if another one has none.
    pub(crate) fn even_out(&mut self, actions: &mut Vec<Action>) {
        let connected = self.entries.iter().filter(|(_, state)| state.connected);
        let counts: Vec<(ProcessId, usize)> = connected
            .map(|(&entry, _)| (entry, self.ledger.idle_of(entry)))
            .collect();
        let least = counts.iter().map(|&(_, idle)| idle).min();
        let most = counts.iter().max_by_key(|&&(_, idle)| idle);
        let (Some(least), Some(&(entry, most))) = (least, most) else {
            return;
        };
        let recalling = self.entries[&entry].recall.is_some();
        if least == 0 && most >= 2 && !recalling {
            self.recall(entry, most / 2, actions);
        }
    }

    /// Extends the idle credits of all connected entries.
    pub(crate) fn renew(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ttl = self.settings.credit_ttl;
        for idle in self.ledger.idle.values_mut() {
            idle.expires = now + ttl;
        }
        for (&entry, state) in &self.entries {
            if state.connected && self.ledger.idle_of(entry) > 0 {
                let message = AgentToEntry::Renew { ttl };
                actions.push(Action::Send { entry, message });
            }
        }
    }
}
